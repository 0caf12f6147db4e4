/**
 * Tracks which other gateways serve callers. The store lists them and their heartbeats show which are alive, so that
 * a crashed gateway leaves the look-up answers without a write to the store.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {GatewayRecord} from './gateway_types';
import type {ObjectChanges, ObjectList, SourceObject} from './object_source';

/** State of a gateway in its heartbeats. */
export type PeerState = 'starting' | 'serving' | 'leaving';

/** Membership fields of a heartbeat. */
export interface PeerHeartbeat {
  readonly name: string;
  /** Start of the process in milliseconds since the Unix epoch; a later start replaces an earlier one. */
  readonly startedAtMs: number;
  /** Increases with each heartbeat of a process. */
  readonly sequence: number;
  readonly state: PeerState;
}

/** A gateway without a heartbeat for this long counts as dead and is not named to callers. */
export const heartbeatTimeoutMs = 2_500;

/** The list of active gateways may be this old, which is short compared with `heartbeatTimeoutMs`. */
const activeNamesRefreshMs = 100;

interface ReceivedHeartbeat {
  readonly heartbeat: PeerHeartbeat;
  readonly heardAtMs: number;
}

/** The listed gateways and their latest heartbeats. */
export class PeerTable {
  private records: ReadonlyMap<string, GatewayRecord> = new Map();
  private activeNames: readonly string[] = [];
  private activeNamesUpdatedAtMs = Number.NEGATIVE_INFINITY;
  private readonly lastHeartbeats = new Map<string, ReceivedHeartbeat>();

  constructor(
    readonly ownRecord: GatewayRecord,
    private readonly time: TimeSource,
  ) {}

  /** Replaces all records. */
  replace(list: ObjectList<GatewayRecord>): void {
    this.records = new Map();
    for (const object of list.objects) this.put(object);
  }

  /** Applies changed and deleted records. */
  apply({changes}: ObjectChanges<GatewayRecord>): void {
    for (const {object, deleted} of changes) {
      if (!deleted) this.put(object);
      else this.records = withoutKey(this.records, object.name);
    }
  }

  /**
   * Records a heartbeat, unless it is older than the latest one: datagrams may arrive out of order. Returns true for the
   * first heartbeat of a process.
   */
  recordHeartbeat(heartbeat: PeerHeartbeat): boolean {
    const known = this.lastHeartbeats.get(heartbeat.name)?.heartbeat;
    if (known !== undefined && !isNewer(heartbeat, known)) return false;
    this.lastHeartbeats.set(heartbeat.name, {heartbeat, heardAtMs: this.time.monotonicMs()});
    return known?.startedAtMs !== heartbeat.startedAtMs;
  }

  /** Whether the store lists this gateway's own record. */
  get isOwnRecordListed(): boolean {
    return this.records.has(this.ownRecord.name);
  }

  /** All listed gateways except this one. */
  otherGateways(): readonly GatewayRecord[] {
    return [...this.records.values()].filter(({name}) => name !== this.ownRecord.name);
  }

  /** Other gateways that are alive and serve callers. */
  servingPeers(): readonly GatewayRecord[] {
    return this.otherGateways().filter(({name}) => this.isServing(name));
  }

  /**
   * Names of all gateways that are alive, including this one. Returns the same array while nothing has changed, so
   * that callers can cache derived values.
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

  /** Number of listed gateways, alive or not; includes this one. */
  listedGatewayCount(): number {
    return this.otherGateways().length + 1;
  }

  /**
   * Fraction of the listed gateways that are in this gateway's region; an estimate of the fraction of callers there,
   * because gateways run close to callers.
   */
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
      received !== undefined && this.time.monotonicMs() - received.heardAtMs <= heartbeatTimeoutMs
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
