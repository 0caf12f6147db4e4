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
export const silentAfterMs = 2_500;

/** A gateway that falls silent may be counted this much longer; short against `silentAfterMs`. */
const namesRefreshMs = 100;

interface PeerLife {
  readonly heartbeat: PeerHeartbeat;
  readonly heardAtMs: number;
}

/** Knows the other gateways. */
export class PeerTable {
  private records: ReadonlyMap<string, GatewayRecord> = new Map();
  private names: readonly string[] = [];
  private namesAtMs = Number.NEGATIVE_INFINITY;
  private readonly lives = new Map<string, PeerLife>();

  constructor(
    readonly own: GatewayRecord,
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
  heard(heartbeat: PeerHeartbeat): void {
    const known = this.lives.get(heartbeat.name)?.heartbeat;
    if (known !== undefined && !isNewer(heartbeat, known)) return;
    this.lives.set(heartbeat.name, {heartbeat, heardAtMs: this.time.monotonicMs()});
  }

  /** Gateways to send heartbeats to. */
  others(): readonly GatewayRecord[] {
    return [...this.records.values()].filter(({name}) => name !== this.own.name);
  }

  /** Other gateways that serve callers now. */
  servingOthers(): readonly GatewayRecord[] {
    return this.others().filter(({name}) => this.isServing(name));
  }

  /**
   * Names of all gateways that may be sending to targets, including this one; the same list as before while nothing has
   * changed, so that what is derived from it can be kept.
   */
  namesInUse(): readonly string[] {
    const nowMs = this.time.monotonicMs();
    if (nowMs - this.namesAtMs < namesRefreshMs) return this.names;
    this.namesAtMs = nowMs;
    const others = this.others().filter(({name}) => this.isHeard(name));
    const names = [this.own.name, ...others.map(({name}) => name)];
    if (!isSameList(names, this.names)) this.names = names;
    return this.names;
  }

  /** Number of gateways in the platform's list, whether or not they live; at least this one. */
  listedCount(): number {
    return this.others().length + 1;
  }

  /** Part of the listed gateways that are in the own region; gateways stand where callers are. */
  ownRegionShare(): number {
    const inRegion = this.others().filter(({region}) => region === this.own.region).length;
    return (inRegion + 1) / this.listedCount();
  }

  private put({name, content}: SourceObject<GatewayRecord>): void {
    if (content === undefined || content.name !== name) return;
    this.records = new Map(this.records).set(name, content);
  }

  private isServing(name: string): boolean {
    return this.isHeard(name) && this.lives.get(name)?.heartbeat.state === 'serving';
  }

  private isHeard(name: string): boolean {
    const life = this.lives.get(name);
    return life !== undefined && this.time.monotonicMs() - life.heardAtMs <= silentAfterMs;
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
