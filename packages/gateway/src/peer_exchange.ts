/**
 * Heartbeats between gateways over UDP. A heartbeat carries the sender's state and the requests that it suspects of
 * crashing targets.
 */
import * as dgram from 'node:dgram';
import type {PoisonSuspicion, SocketAddress} from '@cuminsill/types';
import {decodePeerMessage} from './peer_message';
import type {PeerMessage} from './peer_message';
import {SuspicionRotation} from './suspicion_rotation';

/** Interval of heartbeats. */
export const heartbeatIntervalMs = 500;
/** With more peers than this, each heartbeat goes to the next part of the list. */
export const maxPeersPerHeartbeat = 32;
/** Keeps a datagram below the usual size of a packet. */
const maxSuspicionsPerDatagram = 8;
/** Bounds the traffic of a heartbeat. More than one datagram is sent only while there are suspicions to spread. */
const maxDatagramsPerHeartbeat = 4;

/** Supplies heartbeats and receivers, and handles received heartbeats. */
export interface PeerExchangeHandlers {
  nextHeartbeat(): PeerMessage;
  peerAddresses(): readonly SocketAddress[];
  onHeartbeat(message: PeerMessage): void;
  onUnreadable(from: string): void;
  /** Called with the number of new or changed suspicions that a heartbeat had no room for. */
  onSuspicionsLeftOut(count: number): void;
}

/** Sends and receives heartbeats. */
export class PeerExchange {
  private readonly socket = dgram.createSocket('udp4');
  private timer: NodeJS.Timeout | undefined;
  private nextPeerIndex = 0;
  private readonly rotation = new SuspicionRotation();
  private carriedSuspicions: readonly PoisonSuspicion[] = [];

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
    const {suspicions, ...head} = this.handlers.nextHeartbeat();
    const peers = this.handlers.peerAddresses();
    // All peers get the same suspicions before the next ones are chosen.
    const startsRound = this.nextPeerIndex === 0 || this.nextPeerIndex >= peers.length;
    if (startsRound) this.chooseSuspicions(suspicions);
    const datagrams = partsOf(this.carriedSuspicions, maxSuspicionsPerDatagram).map(part =>
      Buffer.from(JSON.stringify({...head, suspicions: part})),
    );
    for (const receiver of this.nextReceivers(peers)) {
      for (const data of datagrams) this.send(data, receiver);
    }
  }

  private chooseSuspicions(suspicions: readonly PoisonSuspicion[]): void {
    const unsentCount = this.rotation.countUnsent(suspicions);
    const maxCount = maxSuspicionsPerDatagram * maxDatagramsPerHeartbeat;
    const count = Math.min(maxCount, Math.max(maxSuspicionsPerDatagram, unsentCount));
    this.carriedSuspicions = this.rotation.next(suspicions, count);
    if (unsentCount > count) this.handlers.onSuspicionsLeftOut(unsentCount - count);
  }

  private send(data: Buffer, {host, port}: SocketAddress): void {
    // Send errors are ignored: an unreachable peer is detected by its missing heartbeats.
    this.socket.send(data, port, host, () => undefined);
  }

  /** Sends all suspicions soon, because a gateway has started that knows none of them. */
  spreadAllAgain(): void {
    this.rotation.forgetSent();
  }

  /** Stops sending and receiving. */
  close(): void {
    clearInterval(this.timer);
    this.socket.close();
  }

  private nextReceivers(peers: readonly SocketAddress[]): readonly SocketAddress[] {
    const start = this.nextPeerIndex < peers.length ? this.nextPeerIndex : 0;
    this.nextPeerIndex = start + maxPeersPerHeartbeat;
    return peers.slice(start, this.nextPeerIndex);
  }

  private receive(data: Buffer, from: string): void {
    const message = decodePeerMessage(data.toString('utf8'));
    if (message === undefined) this.handlers.onUnreadable(from);
    else this.handlers.onHeartbeat(message);
  }
}

/** Splits the items into parts of limited size; there is at least one part, which may be empty. */
function partsOf<Item>(items: readonly Item[], maxSize: number): ReadonlyArray<readonly Item[]> {
  const count = Math.max(1, Math.ceil(items.length / maxSize));
  return Array.from({length: count}, (_, part) =>
    items.slice(part * maxSize, (part + 1) * maxSize),
  );
}
