/**
 * Heartbeats between gateways over UDP. A heartbeat carries the sender's state and the requests that it suspects of
 * crashing targets.
 */
import * as dgram from 'node:dgram';
import type {SocketAddress} from '@cuminsill/types';
import {decodePeerMessage} from './peer_message';
import type {PeerMessage} from './peer_message';

/** Interval of heartbeats. */
export const heartbeatIntervalMs = 500;
/** With more peers than this, each heartbeat goes to the next part of the list. */
export const maxPeersPerHeartbeat = 32;
/** Limits the size of a heartbeat to one datagram. */
const maxSuspicionsPerHeartbeat = 8;

/** Supplies heartbeats and receivers, and handles received heartbeats. */
export interface PeerExchangeHandlers {
  nextHeartbeat(): PeerMessage;
  peerAddresses(): readonly SocketAddress[];
  onHeartbeat(message: PeerMessage): void;
  onUnreadable(from: string): void;
  /** Called with the number of suspicions that a heartbeat had no room for. */
  onSuspicionsLeftOut(count: number): void;
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

  /** Starts to listen and to send. Rejects when the port is in use. */
  async start(): Promise<void> {
    this.socket.on('message', (data, from) => this.receive(data, from.address));
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.address.port, this.address.host, resolve);
    });
    this.socket.on('error', () => undefined);
    this.timer = setInterval(() => this.sendHeartbeat(), heartbeatIntervalMs);
  }

  /** Sends a heartbeat at once, so that other gateways learn of a change without delay. */
  sendHeartbeat(): void {
    const {suspicions, ...rest} = this.handlers.nextHeartbeat();
    const message = {...rest, suspicions: suspicions.slice(0, maxSuspicionsPerHeartbeat)};
    const leftOut = suspicions.length - message.suspicions.length;
    if (leftOut > 0) this.handlers.onSuspicionsLeftOut(leftOut);
    const data = Buffer.from(JSON.stringify(message));
    for (const {host, port} of this.nextReceivers()) {
      // Send errors are ignored: an unreachable peer is detected by its missing heartbeats.
      this.socket.send(data, port, host, () => undefined);
    }
  }

  /** Stops sending and receiving. */
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
