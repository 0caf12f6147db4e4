/**
 * Divides the slots of all targets among the entries. The division is a pure function of the configuration and the
 * members, so entries with the same view agree on it without exchanging messages. The number of slots of each entry
 * follows the expected traffic by the largest-remainder method. Rendezvous hashing decides which slots an entry gets,
 * so that few slots change their owner when the members change.
 */
import type {Configuration, Member, RegionShare, Target} from '@cuminsill/types';
import {hash32} from '@cuminsill/utils';
import {DivisionCache} from './division_cache';
import type {RouteTable} from './routes';
import {drainedSites, sortRegionsByLatency} from './routes';

/** One slot of one target. */
export interface TargetSlot {
  readonly targetId: string;
  /** Counted from 0. During slow start, the slots of a target open in this order. */
  readonly slotIndex: number;
}

/** A slot that this entry owns, and whether another entry owned it in the previous division. */
export interface OwnSlot extends TargetSlot {
  readonly hadOtherOwner: boolean;
}

/** An entry with its weight in the division of one pool. */
export interface WeightedEntry {
  readonly instanceId: string;
  readonly weight: number;
}

/** The slots that one entry owns in one pool. */
export interface EntrySlots {
  readonly instanceId: string;
  readonly slots: readonly TargetSlot[];
}

/** The division of the slots of one service in one region. */
export interface PoolDivision {
  readonly serviceId: string;
  readonly regionId: string;
  readonly entries: readonly EntrySlots[];
}

/** The members that hold slots, ordered by id: those that serve and are not unreachable. */
export function slotHolders(members: readonly Member[]): readonly Member[] {
  return members
    .filter(member => member.state === 'serving' && member.reachability !== 'unreachable')
    .sort((a, b) => (a.instance.id < b.instance.id ? -1 : 1));
}

/** Number of slots of each entry by the largest-remainder method; entries of equal weight differ by at most one. */
export function slotQuotas(
  poolKey: string,
  slotCount: number,
  entries: readonly WeightedEntry[],
): readonly number[] {
  const total = entries.reduce((sum, entry) => sum + entry.weight, 0);
  const exactQuotas = entries.map(entry => (entry.weight / total) * slotCount);
  const quotas = exactQuotas.map(value => Math.floor(value + 1e-9));
  const order = entries
    .map((entry, index) => ({
      index,
      remainder: Math.round(((exactQuotas[index] ?? 0) - (quotas[index] ?? 0)) * 1e9),
      tieBreak: hash32(`${entry.instanceId}/${poolKey}`),
    }))
    .sort((a, b) => b.remainder - a.remainder || b.tieBreak - a.tieBreak || a.index - b.index);
  let remaining = slotCount - quotas.reduce((sum, quota) => sum + quota, 0);
  for (const {index} of order) {
    if (remaining <= 0) break;
    quotas[index] = (quotas[index] ?? 0) + 1;
    remaining -= 1;
  }
  return quotas;
}

/** Below this number of candidates, a 32-bit score and an index fit into the 53-bit integers of a number. */
const maxPackedCandidates = 2 ** 21;

/** Returns the indexes of the scores by descending score; equal scores stay in the order of their indexes. */
export function orderByScore(scores: Uint32Array): Uint32Array {
  const count = scores.length;
  if (count >= maxPackedCandidates) {
    return Uint32Array.from(scores.keys()).sort(
      (a, b) => (scores[b] ?? 0) - (scores[a] ?? 0) || a - b,
    );
  }
  // Sorting numbers is many times faster than sorting objects with a comparator.
  const packed = new Float64Array(count);
  scores.forEach((score, index) => {
    packed[index] = (0xffffffff - score) * maxPackedCandidates + index;
  });
  return Uint32Array.from(packed.sort(), value => value % maxPackedCandidates);
}

/** Assigns each slot to one entry: takes the pairs by descending rendezvous score, up to the quota of each entry. */
export function assignSlots(
  poolKey: string,
  slots: readonly TargetSlot[],
  entries: readonly WeightedEntry[],
): readonly EntrySlots[] {
  const openQuotas = slotQuotas(poolKey, slots.length, entries).slice();
  const seeds = entries.map(entry => hash32(entry.instanceId));
  // A candidate is a pair of entry and slot; its index also decides the order of equal scores.
  const scores = new Uint32Array(entries.length * slots.length);
  slots.forEach((slot, slotPosition) => {
    const slotKey = `${slot.targetId}/${slot.slotIndex}`;
    seeds.forEach((seed, entryIndex) => {
      if (openQuotas[entryIndex] === 0) return;
      scores[entryIndex * slots.length + slotPosition] = hash32(slotKey, seed);
    });
  });
  const isSlotTaken = new Uint8Array(slots.length);
  const slotsByEntry: TargetSlot[][] = entries.map(() => []);
  for (const candidate of orderByScore(scores)) {
    const entryIndex = Math.floor(candidate / slots.length);
    const slotPosition = candidate % slots.length;
    const slot = slots[slotPosition];
    const quota = openQuotas[entryIndex] ?? 0;
    if (slot === undefined || quota === 0 || isSlotTaken[slotPosition] === 1) continue;
    isSlotTaken[slotPosition] = 1;
    openQuotas[entryIndex] = quota - 1;
    slotsByEntry[entryIndex]?.push(slot);
  }
  return entries.map((entry, index) => ({
    instanceId: entry.instanceId,
    slots: slotsByEntry[index] ?? [],
  }));
}

/** Larger of a region's shares before and after a move, so that the regions at both ends of the move have slots. */
function maxPlannedShare(
  regionId: string,
  before: readonly RegionShare[],
  after: readonly RegionShare[],
): number {
  const shareIn = (shares: readonly RegionShare[]): number =>
    shares.find(region => region.regionId === regionId)?.share ?? 0;
  return Math.max(shareIn(before), shareIn(after));
}

/** Expected rate of requests from the entries of each region to each pool. */
class ExpectedTraffic {
  private readonly holdersByRegion = new Map<string, Member[]>();
  private readonly servingRegionIds = new Map<string, string | undefined>();

  constructor(
    private readonly configuration: Configuration,
    private readonly routes: RouteTable,
    private readonly holders: readonly Member[],
  ) {
    for (const holder of holders) {
      const regionHolders = this.holdersByRegion.get(holder.instance.regionId) ?? [];
      regionHolders.push(holder);
      this.holdersByRegion.set(holder.instance.regionId, regionHolders);
    }
    for (const {id} of configuration.catalog.regions) {
      const regionIds = [...this.holdersByRegion.keys()];
      this.servingRegionIds.set(id, sortRegionsByLatency(configuration.catalog, id, regionIds)[0]);
    }
  }

  /**
   * Entries that are expected to send requests to a pool. If there are none, all entries of the pool's region, or all
   * entries if that region has none.
   */
  weightedEntriesFor(serviceId: string, regionId: string): readonly WeightedEntry[] {
    const rates = new Map<string, number>();
    const demands = this.configuration.catalog.demands.filter(
      demand => demand.serviceId === serviceId,
    );
    for (const region of this.configuration.catalog.regions) {
      const servingRegionId = this.servingRegionIds.get(region.id);
      if (servingRegionId === undefined) continue;
      const demand = demands.find(candidate => candidate.callerRegionId === region.id);
      const requestsPerS = demands.length === 0 ? 1 : (demand?.requestsPerS ?? 0);
      const route = this.routes.route(serviceId, region.id);
      const share = maxPlannedShare(regionId, route.previousShares, route.shares);
      rates.set(servingRegionId, (rates.get(servingRegionId) ?? 0) + requestsPerS * share);
    }
    const weightedEntries = this.holders
      .map(({instance}) => ({
        instanceId: instance.id,
        weight:
          (rates.get(instance.regionId) ?? 0) /
          (this.holdersByRegion.get(instance.regionId)?.length ?? 1),
      }))
      .filter(entry => entry.weight > 0);
    if (weightedEntries.length > 0) return weightedEntries;
    const localHolders = this.holdersByRegion.get(regionId) ?? this.holders;
    return localHolders.map(({instance}) => ({instanceId: instance.id, weight: 1}));
  }
}

/** Lists the slots of the targets. */
export function slotsOfTargets(targets: readonly Target[]): readonly TargetSlot[] {
  return targets.flatMap(target =>
    Array.from({length: target.slots}, (_, slotIndex) => ({targetId: target.id, slotIndex})),
  );
}

/**
 * Divides the slots of every pool among the members that hold slots; targets of drained sites have no slots.
 * @param cache Cache of earlier divisions, so that unchanged pools are not divided again.
 */
export function divideSlots(
  configuration: Configuration,
  routes: RouteTable,
  members: readonly Member[],
  cache = new DivisionCache(),
): readonly PoolDivision[] {
  const holders = slotHolders(members);
  if (holders.length === 0) return [];
  const traffic = new ExpectedTraffic(configuration, routes, holders);
  const drained = drainedSites(configuration.intents);
  const targetsByPool = new Map<string, Target[]>();
  for (const target of configuration.catalog.targets) {
    if (drained.has(target.siteId)) continue;
    const key = JSON.stringify([target.serviceId, target.regionId]);
    const poolTargets = targetsByPool.get(key) ?? [];
    poolTargets.push(target);
    targetsByPool.set(key, poolTargets);
  }
  const divisions: PoolDivision[] = [];
  for (const [key, targets] of targetsByPool) {
    const first = targets[0];
    if (first === undefined) continue;
    const {serviceId, regionId} = first;
    const sorted = targets.sort((a, b) => (a.id < b.id ? -1 : 1));
    const entries = traffic.weightedEntriesFor(serviceId, regionId);
    const entrySlots = cache.getOrCompute(key, sorted, entries, () =>
      assignSlots(key, slotsOfTargets(sorted), entries),
    );
    divisions.push({serviceId, regionId, entries: entrySlots});
  }
  cache.evictUnused();
  return divisions;
}
