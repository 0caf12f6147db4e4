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
export const maxPeersPerHeartbeat = 32;
/** Suspicions per heartbeat, so that it fits into one datagram. */
const maxSuspicionsPerHeartbeat = 8;

/** What the exchange asks and tells its owner. */
export interface PeerExchangeHandlers {
  nextHeartbeat(): PeerMessage;
  peerAddresses(): readonly SocketAddress[];
  onHeartbeat(message: PeerMessage): void;
  onUnreadable(from: string): void;
}

/** Sends and receives heartbeats. */
export class PeerExchange {
  private readonly socket = dgram.createSocket('udp4');
  private timer: NodeJS.Timeout | undefined;
  private nextPeerIndex = 0;

  constructor(
    private readonly address: SocketAddress,
    private readonly handlers: PeerExchangeHandlers,
  ) {}

  /** Starts to listen and to send. Rejects when the port is taken. */
  async start(): Promise<void> {
    this.socket.on('message', (data, from) => this.receive(data, from.address));
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.address.port, this.address.host, resolve);
    });
    this.socket.on('error', () => undefined);
    this.timer = setInterval(() => this.sendHeartbeat(), heartbeatIntervalMs);
  }

  /** Sends a heartbeat at once, for a change that the others should hear of without delay. */
  sendHeartbeat(): void {
    const {suspicions, ...rest} = this.handlers.nextHeartbeat();
    const message = {...rest, suspicions: suspicions.slice(0, maxSuspicionsPerHeartbeat)};
    const data = Buffer.from(JSON.stringify(message));
    for (const {host, port} of this.nextReceivers()) {
      // An unreachable peer is noticed by its missing heartbeats.
      this.socket.send(data, port, host, () => undefined);
    }
  }

  /** Stops. */
  close(): void {
    clearInterval(this.timer);
    this.socket.close();
  }

  private nextReceivers(): readonly SocketAddress[] {
    const peers = this.handlers.peerAddresses();
    if (peers.length <= maxPeersPerHeartbeat) return peers;
    const start = this.nextPeerIndex % peers.length;
    this.nextPeerIndex = start + maxPeersPerHeartbeat;
    return [...peers, ...peers].slice(start, start + maxPeersPerHeartbeat);
  }

  private receive(data: Buffer, from: string): void {
    const message = decodePeerMessage(data.toString('utf8'));
    if (message === undefined) this.handlers.onUnreadable(from);
    else this.handlers.onHeartbeat(message);
  }
}
