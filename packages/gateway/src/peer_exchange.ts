/**
 * Heartbeats between gateways over UDP. A heartbeat carries what its sender believes and others may miss: its state, the
 * revisions of the store that it has seen, and the requests that it suspects of taking targets down.
 */
import * as dgram from 'node:dgram';
import type {SocketAddress} from '@cuminsill/types';
import {decodePeerMessage} from './peer_message';
import type {PeerMessage} from './peer_message';

/** Time between two heartbeats, in milliseconds. */
export const heartbeatIntervalMs = 500;
/** Peers that get each heartbeat at most; with more of them, each heartbeat goes to the next part of the list. */
export const peersPerHeartbeat = 32;
/** Suspicions per heartbeat, so that it fits into one datagram. */
const maxSuspicions = 8;

/** What the exchange asks and tells its owner. */
export interface PeerExchangeOwner {
  heartbeat(): PeerMessage;
  peers(): readonly SocketAddress[];
  received(message: PeerMessage): void;
  unreadable(from: string): void;
}

/** Sends and receives heartbeats. */
export class PeerExchange {
  private readonly socket = dgram.createSocket('udp4');
  private timer: NodeJS.Timeout | undefined;
  private nextPeer = 0;

  constructor(
    private readonly address: SocketAddress,
    private readonly owner: PeerExchangeOwner,
  ) {}

  /** Starts to listen and to send. Rejects when the port is taken. */
  async start(): Promise<void> {
    this.socket.on('message', (data, from) => this.receive(data, from.address));
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.address.port, this.address.host, resolve);
    });
    this.socket.on('error', () => undefined);
    this.timer = setInterval(() => this.sendNow(), heartbeatIntervalMs);
  }

  /** Sends a heartbeat at once, for a change that the others should hear of without delay. */
  sendNow(): void {
    const {suspicions, ...rest} = this.owner.heartbeat();
    const message = {...rest, suspicions: suspicions.slice(0, maxSuspicions)};
    const data = Buffer.from(JSON.stringify(message));
    for (const {host, port} of this.nextPeers()) {
      // An unreachable peer is noticed by its missing heartbeats.
      this.socket.send(data, port, host, () => undefined);
    }
  }

  /** Stops. */
  close(): void {
    clearInterval(this.timer);
    this.socket.close();
  }

  private nextPeers(): readonly SocketAddress[] {
    const peers = this.owner.peers();
    if (peers.length <= peersPerHeartbeat) return peers;
    const start = this.nextPeer % peers.length;
    this.nextPeer = start + peersPerHeartbeat;
    return [...peers, ...peers].slice(start, start + peersPerHeartbeat);
  }

  private receive(data: Buffer, from: string): void {
    const message = decodePeerMessage(data.toString('utf8'));
    if (message === undefined) this.owner.unreadable(from);
    else this.owner.received(message);
  }
}
