/**
 * Heartbeats between gateways over UDP. A heartbeat carries the sender's state, the latest heartbeats of other gateways, and
 * the requests that it suspects of crashing targets. In a large fleet it goes to a few gateways, which pass its content on.
 */
import * as dgram from 'node:dgram';
import type {PoisonSuspicion, SocketAddress} from '@cuminsill/types';
import type {JsonObject} from '@cuminsill/utils';
import {asObject, parseJson} from '@cuminsill/utils';
import {decodePeerFields, encodePeerMessage} from './peer_message';
import type {PeerMessage} from './peer_message';
import {SuspicionRotation} from '../poison/suspicion_rotation';

/** Interval of heartbeats. */
export const heartbeatIntervalMs = 500;
/** Keeps a datagram below the usual size of a packet. */
const maxSuspicionsPerDatagram = 8;
/** Bounds the traffic of a heartbeat. More than one datagram is sent only while there are suspicions to spread. */
const maxDatagramsPerHeartbeat = 4;

/** Supplies heartbeats and receivers, and handles received heartbeats. */
export interface PeerExchangeHandlers {
  nextHeartbeat(): PeerMessage;
  /** The gateways to which the next heartbeat goes. */
  nextReceivers(): readonly SocketAddress[];
  onHeartbeat(message: PeerMessage): void;
  onUnreadable(from: string): void;
  /** Called with the fields of a message that is no heartbeat. */
  onCoordination(fields: JsonObject, from: string): void;
  /** Called with the number of new or changed suspicions that a heartbeat had no room for. */
  onSuspicionsLeftOut(count: number): void;
}

/** Sends and receives heartbeats. */
export class PeerExchange {
  private readonly socket = dgram.createSocket('udp4');
  private timer: NodeJS.Timeout | undefined;
  private readonly rotation = new SuspicionRotation();

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
    const {suspicions, relayed, answers, ...head} = this.handlers.nextHeartbeat();
    const receivers = this.handlers.nextReceivers();
    const parts = partsOf(this.chooseSuspicions(suspicions), maxSuspicionsPerDatagram);
    const datagrams = parts.map((part, index) => {
      const inFirst = index === 0 ? {relayed, answers} : {relayed: [], answers: []};
      return Buffer.from(encodePeerMessage({...head, ...inFirst, suspicions: part}));
    });
    for (const receiver of receivers) {
      for (const data of datagrams) this.send(data, receiver);
    }
  }

  private chooseSuspicions(suspicions: readonly PoisonSuspicion[]): readonly PoisonSuspicion[] {
    const unsentCount = this.rotation.countUnsent(suspicions);
    const maxCount = maxSuspicionsPerDatagram * maxDatagramsPerHeartbeat;
    const count = Math.min(maxCount, Math.max(maxSuspicionsPerDatagram, unsentCount));
    if (unsentCount > count) this.handlers.onSuspicionsLeftOut(unsentCount - count);
    return this.rotation.next(suspicions, count);
  }

  /** Sends a datagram that is no heartbeat. */
  sendDatagram(data: Buffer, receiver: SocketAddress): void {
    this.send(data, receiver);
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

  private receive(data: Buffer, from: string): void {
    const fields = asObject(parseJson(data.toString('utf8')));
    if (typeof fields?.['kind'] === 'string') {
      this.handlers.onCoordination(fields, from);
      return;
    }
    const message = fields === undefined ? undefined : decodePeerFields(fields);
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
