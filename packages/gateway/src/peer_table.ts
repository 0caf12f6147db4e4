/**
 * The other gateways: which of them serve callers now. The platform's list names them and their own heartbeats say whether
 * they live, so that a gateway that lost power leaves the look-up answers without anybody writing to the store.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {GatewayRecord} from './gateway_types';
import type {ObjectChanges, ObjectList, SourceObject} from './object_source';

/** What a gateway says of itself in a heartbeat. */
export type PeerState = 'starting' | 'serving' | 'leaving';

/** Content of a heartbeat that concerns membership. */
export interface PeerHeartbeat {
  readonly name: string;
  /** Start of the process in milliseconds since the Unix epoch; a later start replaces an earlier one. */
  readonly startedAtMs: number;
  /** Grows with each heartbeat of a process. */
  readonly sequence: number;
  readonly state: PeerState;
}

/** A gateway without a heartbeat for this long is not named to callers. */
export const heartbeatTimeoutMs = 2_500;

/** A gateway that falls silent may be counted this much longer; short against `silentAfterMs`. */
const activeNamesRefreshMs = 100;

interface ReceivedHeartbeat {
  readonly heartbeat: PeerHeartbeat;
  readonly receivedAtMs: number;
}

/** Knows the other gateways. */
export class PeerTable {
  private records: ReadonlyMap<string, GatewayRecord> = new Map();
  private activeNames: readonly string[] = [];
  private activeNamesUpdatedAtMs = Number.NEGATIVE_INFINITY;
  private readonly lastHeartbeats = new Map<string, ReceivedHeartbeat>();

  constructor(
    readonly ownRecord: GatewayRecord,
    private readonly time: TimeSource,
  ) {}

  /** Takes over a complete list. */
  replace(list: ObjectList<GatewayRecord>): void {
    this.records = new Map();
    for (const object of list.objects) this.put(object);
  }

  /** Takes over changes. */
  apply({changes}: ObjectChanges<GatewayRecord>): void {
    for (const {object, deleted} of changes) {
      if (!deleted) this.put(object);
      else this.records = withoutKey(this.records, object.name);
    }
  }

  /** Takes over a heartbeat. Older ones than the last are ignored, because datagrams may overtake each other. */
  recordHeartbeat(heartbeat: PeerHeartbeat): void {
    const known = this.lastHeartbeats.get(heartbeat.name)?.heartbeat;
    if (known !== undefined && !isNewer(heartbeat, known)) return;
    this.lastHeartbeats.set(heartbeat.name, {heartbeat, receivedAtMs: this.time.monotonicMs()});
  }

  /** Gateways to send heartbeats to. */
  otherGateways(): readonly GatewayRecord[] {
    return [...this.records.values()].filter(({name}) => name !== this.ownRecord.name);
  }

  /** Other gateways that serve callers now. */
  servingPeers(): readonly GatewayRecord[] {
    return this.otherGateways().filter(({name}) => this.isServing(name));
  }

  /**
   * Names of all gateways that may be sending to targets, including this one; the same list as before while nothing has
   * changed, so that what is derived from it can be kept.
   */
  activeGatewayNames(): readonly string[] {
    const nowMs = this.time.monotonicMs();
    if (nowMs - this.activeNamesUpdatedAtMs < activeNamesRefreshMs) return this.activeNames;
    this.activeNamesUpdatedAtMs = nowMs;
    const others = this.otherGateways().filter(({name}) => this.isAlive(name));
    const names = [this.ownRecord.name, ...others.map(({name}) => name)];
    if (!isSameList(names, this.activeNames)) this.activeNames = names;
    return this.activeNames;
  }

  /** Number of gateways in the platform's list, whether or not they live; at least this one. */
  listedGatewayCount(): number {
    return this.otherGateways().length + 1;
  }

  /** Part of the listed gateways that are in the own region; gateways stand where callers are. */
  ownRegionFraction(): number {
    const inRegion = this.otherGateways().filter(
      ({region}) => region === this.ownRecord.region,
    ).length;
    return (inRegion + 1) / this.listedGatewayCount();
  }

  private put({name, content}: SourceObject<GatewayRecord>): void {
    if (content === undefined || content.name !== name) return;
    this.records = new Map(this.records).set(name, content);
  }

  private isServing(name: string): boolean {
    return this.isAlive(name) && this.lastHeartbeats.get(name)?.heartbeat.state === 'serving';
  }

  private isAlive(name: string): boolean {
    const received = this.lastHeartbeats.get(name);
    return (
      received !== undefined &&
      this.time.monotonicMs() - received.receivedAtMs <= heartbeatTimeoutMs
    );
  }
}

function isNewer(next: PeerHeartbeat, known: PeerHeartbeat): boolean {
  if (next.startedAtMs !== known.startedAtMs) return next.startedAtMs > known.startedAtMs;
  return next.sequence > known.sequence;
}

function isSameList(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((name, index) => name === right[index]);
}

function withoutKey<Value>(
  map: ReadonlyMap<string, Value>,
  key: string,
): ReadonlyMap<string, Value> {
  const copy = new Map(map);
  copy.delete(key);
  return copy;
}
