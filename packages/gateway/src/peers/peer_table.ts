/**
 * Tracks which other gateways serve callers. The store lists them and their heartbeats show which are alive, so that
 * a crashed gateway leaves the look-up answers without a write to the store. A gateway that is heard again after its record
 * was removed counts as listed: the store may serve its new record to the others and turn this gateway away.
 */
import type {TimeSource} from '@cuminsill/utils';
import {hash32} from '@cuminsill/utils';
import type {GatewayRecord} from '../gateway_types';
import type {ObjectChanges, ObjectList, SourceObject} from '../store/object_source';
import {CachedNames} from './cached_names';
import {needsRelays} from './peer_gossip';

/** State of a gateway in its heartbeats. */
export type PeerState =
  | 'starting'
  | 'serving'
  | 'leaving'
  /** Serves callers through other gateways, because it does not reach the targets itself. */
  | 'isolated';

/** Membership fields of a heartbeat. */
export interface PeerHeartbeat {
  readonly name: string;
  /** Start of the process in milliseconds since the Unix epoch; a later start replaces an earlier one. */
  readonly startedAtMs: number;
  /** Increases with each heartbeat of a process. */
  readonly sequence: number;
  readonly state: PeerState;
}

/** The latest heartbeat of a gateway, as another one passes it on. */
export interface RelayedHeartbeat {
  /** Hash of the gateway's name. */
  readonly nameHash: number;
  readonly startedAtMs: number;
  readonly sequence: number;
  readonly state: PeerState;
  /** Time since the gateway sent it, in milliseconds. */
  readonly ageMs: number;
}

/** A gateway without a heartbeat for this long counts as dead and is not named to callers. */
export const heartbeatTimeoutMs = 2_500;

/** Lists of names may be this old, which is short compared with `heartbeatTimeoutMs`. */
const namesRefreshMs = 100;

/** Bounds the size of a datagram to about 12 kB. */
const maxRelayedHeartbeats = 500;

/** Former records of gateways that are not heard again are forgotten after this time, longer than a restart takes. */
const maxFormerRecordAgeMs = 60_000;

/** Earlier sizes of the fleet are remembered for this long, longer than the windows of limits. */
const maxSizeAgeMs = 60_000;

interface EarlierSize {
  readonly size: number;
  /** When a record was removed. */
  readonly endedAtMs: number;
}

/** The record of a gateway that the store no longer lists. */
interface FormerRecord {
  readonly record: GatewayRecord;
  readonly removedAtMs: number;
}

/** Since when the store has listed this gateway. */
export interface OwnListing {
  /** When it was first seen, on the monotonic clock. */
  readonly sinceMs: number;
  /** True for a record that a former process has written: it was in the first list. */
  readonly isFromFormerProcess: boolean;
}

interface ReceivedHeartbeat {
  readonly heartbeat: PeerHeartbeat;
  /** When it was sent, as far as this gateway can tell. */
  readonly heardAtMs: number;
}

/** The listed gateways and their latest heartbeats. */
export class PeerTable {
  private records: ReadonlyMap<string, GatewayRecord> = new Map();
  private formerRecords: ReadonlyMap<string, FormerRecord> = new Map();
  /** Earlier numbers of records, as long as they may still matter. */
  private earlierSizes: readonly EarlierSize[] = [];
  private nameByHash: ReadonlyMap<number, string> = new Map();
  private readonly activeNames = new CachedNames(namesRefreshMs);
  private readonly presumedActiveNames = new CachedNames(namesRefreshMs);
  private readonly knownNames = new CachedNames(namesRefreshMs);
  private firstListAtMs: number | undefined;
  private listing: OwnListing | undefined;
  private readonly lastHeartbeats = new Map<string, ReceivedHeartbeat>();
  /** Gateways of which a heartbeat was heard that has not been passed on. */
  private readonly heardNames = new Set<string>();

  /** @param regionCount Number of regions of the deployment. */
  constructor(
    readonly ownRecord: GatewayRecord,
    private readonly time: TimeSource,
    private readonly regionCount = 1,
  ) {}

  /** Replaces all records. */
  replace(list: ObjectList<GatewayRecord>): void {
    const isFirst = this.firstListAtMs === undefined;
    this.firstListAtMs ??= this.time.monotonicMs();
    this.setRecords(new Map(list.objects.flatMap(readableRecords)), isFirst);
  }

  /** Applies changed and deleted records. */
  apply({changes}: ObjectChanges<GatewayRecord>): void {
    const records = new Map(this.records);
    for (const {object, deleted} of changes) {
      if (deleted) records.delete(object.name);
      else for (const [name, record] of readableRecords(object)) records.set(name, record);
    }
    this.setRecords(records);
  }

  /**
   * Records a heartbeat, unless it is older than the latest one: datagrams may arrive out of order. Returns true for the
   * first heartbeat of a process.
   */
  recordHeartbeat(heartbeat: PeerHeartbeat): boolean {
    return this.recordSent(heartbeat, 0);
  }

  /** Records heartbeats that another gateway passed on. Returns true if one of them is the first of its process. */
  recordRelayed(relayed: readonly RelayedHeartbeat[]): boolean {
    let hasNewProcess = false;
    for (const {nameHash, ageMs, ...heartbeat} of relayed) {
      const name = this.nameByHash.get(nameHash);
      if (name === undefined || name === this.ownRecord.name) continue;
      if (this.recordSent({name, ...heartbeat}, ageMs)) hasNewProcess = true;
    }
    return hasNewProcess;
  }

  /**
   * Heartbeats that were heard since the last call, to be passed on; none while each gateway sends to all others. The latest
   * heard go first if there are too many for one datagram.
   */
  takeHeardHeartbeats(): readonly RelayedHeartbeat[] {
    const names = [...this.heardNames].slice(-maxRelayedHeartbeats);
    this.heardNames.clear();
    if (!needsRelays(this.listedGatewayCount() - 1)) return [];
    const nowMs = this.time.monotonicMs();
    return names.flatMap(name => {
      const received = this.lastHeartbeats.get(name);
      if (received === undefined) return [];
      const {startedAtMs, sequence, state} = received.heartbeat;
      const ageMs = Math.round(nowMs - received.heardAtMs);
      return [{nameHash: hash32(name), startedAtMs, sequence, state, ageMs}];
    });
  }

  private recordSent(heartbeat: PeerHeartbeat, ageMs: number): boolean {
    const known = this.lastHeartbeats.get(heartbeat.name)?.heartbeat;
    if (known !== undefined && !isNewer(heartbeat, known)) return false;
    const heardAtMs = this.time.monotonicMs() - ageMs;
    this.lastHeartbeats.set(heartbeat.name, {heartbeat, heardAtMs});
    // Deleting first moves the name to the end, so that the set is ordered by when its heartbeat was heard.
    this.heardNames.delete(heartbeat.name);
    this.heardNames.add(heartbeat.name);
    return known?.startedAtMs !== heartbeat.startedAtMs;
  }

  /** Whether the store lists this gateway's own record. */
  get isOwnRecordListed(): boolean {
    return this.records.has(this.ownRecord.name);
  }

  /** Since when the store has listed this gateway's own record; undefined while it does not. */
  get ownListing(): OwnListing | undefined {
    return this.listing;
  }

  /** All listed gateways except this one, and those that were heard again since their record was removed. */
  otherGateways(): readonly GatewayRecord[] {
    const listed = [...this.records.values()].filter(({name}) => name !== this.ownRecord.name);
    return [...listed, ...this.heardFormerGateways()];
  }

  private heardFormerGateways(): readonly GatewayRecord[] {
    return [...this.formerRecords.values()].flatMap(({record, removedAtMs}) => {
      const received = this.lastHeartbeats.get(record.name);
      if (received === undefined || received.heardAtMs <= removedAtMs) return [];
      return received.heartbeat.state !== 'leaving' && this.isAlive(record.name) ? [record] : [];
    });
  }

  /** Other gateways that are alive, serve callers and reach targets. */
  servingPeers(): readonly GatewayRecord[] {
    return this.peersIn('serving');
  }

  /** Other gateways that are alive and serve callers through gateways that reach targets. */
  isolatedPeers(): readonly GatewayRecord[] {
    return this.peersIn('isolated');
  }

  /** The record of another gateway; undefined when it is none of `otherGateways`. */
  findGateway(name: string): GatewayRecord | undefined {
    if (name === this.ownRecord.name) return undefined;
    return (
      this.records.get(name) ?? this.heardFormerGateways().find(former => former.name === name)
    );
  }

  /** Other gateways that are alive, in any state. */
  livePeers(): readonly GatewayRecord[] {
    return this.otherGateways().filter(({name}) => this.isAlive(name));
  }

  /** True for the host of a gateway. Only gateways may ask others to relay requests. */
  isGatewayHost(host: string | undefined): boolean {
    const gateways = [...this.records.values(), ...this.heardFormerGateways()];
    return gateways.some(({peerAddress}) => peerAddress.host === host);
  }

  /**
   * Names of all gateways that are alive, including this one. Returns the same array while nothing has changed, so
   * that callers can cache derived values.
   */
  activeGatewayNames(): readonly string[] {
    return this.activeNames.get(this.time.monotonicMs(), () =>
      this.namesWhere(name => this.isAlive(name)),
    );
  }

  /**
   * Same, with the gateways that this one has had no time to hear. A gateway that has just started would otherwise take the
   * whole of a limit that all of them share.
   */
  presumedActiveGatewayNames(): readonly string[] {
    const nowMs = this.time.monotonicMs();
    const isYoung = nowMs - (this.firstListAtMs ?? nowMs) <= heartbeatTimeoutMs;
    return this.presumedActiveNames.get(nowMs, () =>
      this.namesWhere(name => this.isAlive(name) || (isYoung && !this.lastHeartbeats.has(name))),
    );
  }

  private namesWhere(isCounted: (name: string) => boolean): readonly string[] {
    const others = this.otherGateways().filter(({name}) => isCounted(name));
    return [this.ownRecord.name, ...others.map(({name}) => name)];
  }

  /**
   * Names of all gateways that may be running, including this one: the listed ones, alive or not, those whose record was
   * removed lately, and those that were heard lately without a record. Returns the same array while nothing has changed.
   */
  knownGatewayNames(): readonly string[] {
    const nowMs = this.time.monotonicMs();
    return this.knownNames.get(nowMs, () => this.namesKnownSince(nowMs - maxFormerRecordAgeMs));
  }

  private namesKnownSince(sinceMs: number): readonly string[] {
    const former = [...this.formerRecords.values()].filter(
      ({removedAtMs}) => removedAtMs >= sinceMs,
    );
    const names = new Set([
      this.ownRecord.name,
      ...this.records.keys(),
      ...former.map(({record}) => record.name),
      ...this.unlistedHeardNames(sinceMs),
    ]);
    return [...names].sort();
  }

  /** Number of listed gateways, alive or not; includes this one. */
  listedGatewayCount(): number {
    return this.records.size + (this.isOwnRecordListed ? 0 : 1);
  }

  /**
   * Number of gateways among which a limit that holds for all of them is divided: the largest that was known within the
   * given time, since gateways that have just gone may have used their part. Counts gateways that the store does not
   * list but that were heard. Undefined before the store's first answer.
   */
  fleetSize(withinMs: number): number | undefined {
    if (this.firstListAtMs === undefined) return undefined;
    const sinceMs = this.time.monotonicMs() - withinMs;
    const currentSize = this.listedGatewayCount() + this.unlistedHeardNames(sinceMs).length;
    const earlierSizes = this.earlierSizes
      .filter(({endedAtMs}) => endedAtMs >= sinceMs)
      .map(({size}) => size);
    return Math.max(currentSize, ...earlierSizes);
  }

  /**
   * Fraction of the listed gateways that are in this gateway's region; an estimate of the fraction of callers there,
   * because gateways run close to callers. Before the first list, all regions count as equal: a gateway that took itself
   * for the only one would send objects to far targets, which do not hold them.
   */
  ownRegionFraction(): number {
    if (this.firstListAtMs === undefined) return 1 / this.regionCount;
    const inRegion = this.otherGateways().filter(
      ({region}) => region === this.ownRecord.region,
    ).length;
    return (inRegion + 1) / this.listedGatewayCount();
  }

  private unlistedHeardNames(sinceMs: number): readonly string[] {
    return [...this.lastHeartbeats].flatMap(([name, {heardAtMs}]) => {
      const isListed = this.records.has(name) || name === this.ownRecord.name;
      return heardAtMs >= sinceMs && !isListed ? [name] : [];
    });
  }

  private setRecords(records: ReadonlyMap<string, GatewayRecord>, isFirst = false): void {
    const endedAtMs = this.time.monotonicMs();
    if (!records.has(this.ownRecord.name)) this.listing = undefined;
    else this.listing ??= {sinceMs: endedAtMs, isFromFormerProcess: isFirst};
    if (records.size < this.records.size) {
      const recent = this.earlierSizes.filter(size => endedAtMs - size.endedAtMs <= maxSizeAgeMs);
      this.earlierSizes = [...recent, {size: this.records.size, endedAtMs}];
    }
    this.formerRecords = this.formerRecordsAfter(records, endedAtMs);
    this.records = records;
    const names = [...this.formerRecords.keys(), ...records.keys()];
    this.nameByHash = new Map(names.map(name => [hash32(name), name]));
  }

  private formerRecordsAfter(
    records: ReadonlyMap<string, GatewayRecord>,
    nowMs: number,
  ): ReadonlyMap<string, FormerRecord> {
    const removed = [...this.records.values()].map(record => ({record, removedAtMs: nowMs}));
    const kept = [...this.formerRecords.values(), ...removed].filter(
      ({record: {name}, removedAtMs}) => {
        const heardAtMs = this.lastHeartbeats.get(name)?.heardAtMs ?? removedAtMs;
        const isRecent = nowMs - Math.max(removedAtMs, heardAtMs) <= maxFormerRecordAgeMs;
        return isRecent && !records.has(name) && name !== this.ownRecord.name;
      },
    );
    return new Map(kept.map(former => [former.record.name, former]));
  }

  private peersIn(state: PeerState): readonly GatewayRecord[] {
    return this.otherGateways().filter(
      ({name}) => this.isAlive(name) && this.lastHeartbeats.get(name)?.heartbeat.state === state,
    );
  }

  /** Age of the latest heartbeat of a gateway in milliseconds; infinite when none was heard. */
  heartbeatAgeMs(name: string): number {
    const received = this.lastHeartbeats.get(name);
    return received === undefined ? Infinity : this.time.monotonicMs() - received.heardAtMs;
  }

  /** Whether a gateway has announced that it stops. */
  isLeaving(name: string): boolean {
    return this.lastHeartbeats.get(name)?.heartbeat.state === 'leaving';
  }

  private isAlive(name: string): boolean {
    const received = this.lastHeartbeats.get(name);
    if (received === undefined) return false;
    return this.time.monotonicMs() - received.heardAtMs <= heartbeatTimeoutMs;
  }
}

function isNewer(next: PeerHeartbeat, known: PeerHeartbeat): boolean {
  if (next.startedAtMs !== known.startedAtMs) return next.startedAtMs > known.startedAtMs;
  return next.sequence > known.sequence;
}

/** The record of an object with its name; none when it cannot be read. */
function readableRecords({
  name,
  content,
}: SourceObject<GatewayRecord>): ReadonlyArray<readonly [string, GatewayRecord]> {
  return content?.name === name ? [[name, content]] : [];
}
