/** The choice of a target without caches, as the reference for the test of the cached one. */
import {combineHashes, hash32} from '@cuminsill/utils';
import {observeRegion} from '../src/targets/region_observation';
import type {Placement, PlacementRequest, PlacementView} from '../src/targets/placement';
import type {Target} from '../src/targets/target';

/** Expected cost of a failed attempt, as a multiple of its service time. */
const failureCostFactor = 2;
/** Minimum cost of a failed attempt, which makes a failing target count as slower. */
const baseFailureCostMs = 400;
/** Number of highest-ranked targets that may have cached an object; at all others the object counts as uncached. */
const cachingTargetsPerObject = 3;
/**
 * Cost of a cache miss for other requests, as a multiple of the time that a hit saves: caching the object evicts
 * another one, which later costs a miss itself, and the longer service time makes the other requests at the target
 * wait.
 */
const evictionCostFactor = 1;
/**
 * Cost that keeps an object from moving to a target without a free slot while there is another choice. When all
 * targets are full, moving objects makes service times longer and no wait shorter.
 */
const fullTargetCostMs = 10_000;
/**
 * Regions within this round-trip time share their preferred targets, because the round trip is small compared with
 * the variation of service times. The bound is fixed: one derived from the service time would move all objects of a
 * region at the moment when it crossed that region's round-trip time.
 */
const maxNearRoundTripMs = 40;
/** Larger bodies stay in the region while it has free capacity, because bandwidth between regions is low. */
const minLargeBodyBytes = 16 * 1024;
/** When listed targets have at least this fraction of the usable slots, targets without a record are not used. */
const minListedSlotFraction = 0.5;
const maxHash = 2 ** 32 - 1;
/** The low digits of a sort key hold the target's index; keys stay below 2 ** 53, so they are exact. */
const maxRankedTargets = 2 ** 20;
/** Makes all gateways choose in the same order of rank while targets have similar costs. */
const costPerRankMs = 4;

/** Returns the target with the lowest cost; undefined when none is usable. */
export function placeWithoutCache(
  request: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
): Placement | undefined {
  const usable = preferListed(targets.filter(target => isUsable(target, request, view)));
  const prefersNear = prefersNearTargets(request, targets, view);
  const ranks = rankTargets(request, prefersNear, usable, view);
  let best: Candidate | undefined;
  usable.forEach((target, index) => {
    const candidate = evaluateTarget(target, ranks[index] ?? 0, request, view);
    if (best === undefined || candidate.costMs < best.costMs) best = candidate;
  });
  return best?.placement;
}

/**
 * Leaves out targets without a record while enough listed targets are usable. When most records are missing, they
 * expired during an outage of the store and their targets are alive; when few are missing, those targets have more
 * likely left.
 */
function preferListed(usable: readonly Target[]): readonly Target[] {
  const listed = usable.filter(target => !target.isRemovalDeferred);
  return slotsOf(listed) >= slotsOf(usable) * minListedSlotFraction ? listed : usable;
}

function isUsable(target: Target, request: PlacementRequest, view: PlacementView): boolean {
  if (!target.isAssignable || request.attemptedTargetIds.has(target.id)) return false;
  if (target.health.reachability !== 'reachable') return false;
  if (view.evacuatedDomains.has(target.failureDomain)) return false;
  const {homeRegions} = request;
  if (homeRegions.length > 0 && !homeRegions.includes(target.region)) return false;
  if (!target.directives.maySend(target.id, view)) return false;
  if (!target.isCold(view.nowMs)) return true;
  if (!target.coldLimiter.isIntervalOver(view.nowMs)) return false;
  const {coldLimit, ownName, senderNames} = view;
  if (senderNames === undefined) return false;
  return target.coldLimiter.isSender(coldLimit, target.id, ownName, senderNames);
}

/**
 * Returns the rank of each target for the object, in the order of `targets`; the preferred target has rank 0. Near
 * targets, in the gateway's region and regions close by, rank first. Far targets rank first for objects beyond the
 * capacity of the near ones.
 */
function rankTargets(
  request: PlacementRequest,
  prefersNear: boolean,
  targets: readonly Target[],
  view: PlacementView,
): readonly number[] {
  const ranks = new Array<number>(targets.length).fill(0);
  const {objectKey} = request;
  if (objectKey === undefined) return ranks;
  const objectHash = hash32(objectKey);
  const sortKeys = new Float64Array(targets.length);
  targets.forEach((target, index) => {
    const isInPreferredGroup = isNear(target, request.bodyBytes, view) === prefersNear;
    const weight = maxHash - combineHashes(target.idHash, objectHash);
    sortKeys[index] = ((isInPreferredGroup ? 0 : maxHash + 1) + weight) * maxRankedTargets + index;
  });
  // Sorting numbers without a comparison function is fast; this runs for each request over all targets of a service.
  sortKeys.sort();
  sortKeys.forEach((key, rank) => (ranks[key % maxRankedTargets] = rank));
  return ranks;
}

/**
 * True when the object's preferred target is near. When near targets have fewer slots than the region's callers need,
 * some of the objects go to far targets: moving requests only once the region is full would move many of them at the
 * same moment to targets that have not cached their objects. Unreachable targets count too, so that their failures do
 * not move the objects of other targets.
 */
function prefersNearTargets(
  {objectKey, bodyBytes, latencyObjectiveMs}: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
): boolean {
  if (objectKey === undefined || bodyBytes >= minLargeBodyBytes) return true;
  const {nowMs, regionalShare, ownCallerFraction} = view;
  const assignable = targets.filter(
    target => target.isAssignable && !view.evacuatedDomains.has(target.failureDomain),
  );
  const isNearTarget = (target: Target) => isNear(target, bodyBytes, view);
  const nearSlots = slotsOf(assignable.filter(isNearTarget));
  const capacity = {nearSlots, allSlots: slotsOf(assignable), ownCallerFraction};
  if (regionalShare.isUpdateDue(nowMs)) {
    const observation = observeRegion(assignable, isNearTarget, capacity, view);
    regionalShare.update(nowMs, {...observation, latencyObjectiveMs});
  }
  return hash32(objectKey) / 2 ** 32 < regionalShare.nearFraction(capacity);
}

function slotsOf(targets: readonly Target[]): number {
  return targets.reduce((sum, {slots}) => sum + slots, 0);
}

function isNear(
  target: Target,
  bodyBytes: number,
  {ownRegion, roundTripTimes}: PlacementView,
): boolean {
  if (target.region === ownRegion) return true;
  if (bodyBytes >= minLargeBodyBytes) return false;
  return roundTripTimes.expectedMs(target.failureDomain) <= maxNearRoundTripMs;
}

interface Candidate {
  readonly placement: Placement;
  /** Expected time plus the cost for other requests. */
  readonly costMs: number;
}

function evaluateTarget(
  target: Target,
  rank: number,
  request: PlacementRequest,
  view: PlacementView,
): Candidate {
  const {nowMs, serviceTime} = view;
  const {objectKey} = request;
  const mayBeCached = objectKey !== undefined && rank < cachingTargetsPerObject;
  const isCached = mayBeCached && (rank === 0 || target.recentObjects.has(objectKey, nowMs));
  const durationRatio = target.workDuration.factor(nowMs, serviceTime.durationModel);
  const slowness = target.health.slowness(nowMs) * durationRatio;
  const serviceTimeMs = serviceTime.expectedMs(isCached) * slowness;
  const waitMs = expectedWaitMs(target, serviceTime.averageMs() * slowness, nowMs);
  const failureRate = target.health.failureRate(nowMs);
  const failureCostMs = failureRate * (baseFailureCostMs + failureCostFactor * serviceTimeMs);
  const roundTripMs = view.roundTripTimes.expectedMs(target.failureDomain);
  const expectedMs = roundTripMs + serviceTimeMs + waitMs + failureCostMs;
  const savedMs = serviceTime.expectedMs(false) - serviceTime.expectedMs(true);
  const isCacheMiss = objectKey !== undefined && !isCached;
  const evictionCostMs = isCacheMiss ? savedMs * evictionCostFactor : 0;
  const fullCostMs = isCacheMiss && waitMs > 0 ? fullTargetCostMs : 0;
  const costMs = expectedMs + evictionCostMs + fullCostMs + rank * costPerRankMs;
  const isHeld = mayBeCached && target.recentObjects.has(objectKey, nowMs);
  return {placement: {target, expectedMs, waitMs, isHeld}, costMs};
}

function expectedWaitMs(target: Target, averageServiceTimeMs: number, nowMs: number): number {
  const requestsAhead = target.load.estimateRequests(nowMs, averageServiceTimeMs);
  const {slots} = target;
  if (requestsAhead < slots) return 0;
  return ((requestsAhead - slots + 1) / slots) * averageServiceTimeMs;
}
