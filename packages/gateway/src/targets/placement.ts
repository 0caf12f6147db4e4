/**
 * Chooses the target that is expected to answer a request first. A target answers much faster for an object that it
 * has handled recently and still holds in its cache.
 *
 * Most objects are requested repeatedly, and a service has enough capacity only while most requests are cache hits.
 * Balancing by load alone moves objects to targets that have not cached them. Cache misses take longer, fill the
 * service and spread further until almost no request is a hit. So all gateways choose the same preferred target for
 * an object (rendezvous hashing over the targets of the region), and use another only when the wait at the preferred
 * target exceeds the cost of a cache miss.
 */
import {hash32} from '@cuminsill/utils';
import {ObjectRankings} from './object_rankings';
import {observeRegion} from './region_observation';
import type {ColdLimit} from './cold_target_limiter';
import type {RegionalShare} from '../regional_shares';
import type {RoundTripTimes} from './round_trip_times';
import type {ServiceTimeEstimator} from './service_time_estimator';
import type {Target} from './target';
import {minUsedRatio} from './work_duration';

/** Properties of the request that affect placement. */
export interface PlacementRequest {
  /** Identifies the object that the request concerns; undefined when the request does not state it. */
  readonly objectKey: string | undefined;
  /** Regions in which the request may be run; empty when any region may. */
  readonly homeRegions: readonly string[];
  /** Size of the request body. */
  readonly bodyBytes: number;
  /** Targets of earlier attempts. */
  readonly attemptedTargetIds: ReadonlySet<string>;
  /** Target latency of the request's route. */
  readonly latencyObjectiveMs: number;
}

/** State of the gateway that the choice depends on. */
export interface PlacementView {
  readonly nowMs: number;
  readonly ownName: string;
  readonly ownRegion: string;
  /** Fraction of all callers that are in the gateway's region, between 0 and 1. */
  readonly ownCallerFraction: number;
  /** Gateways that share the limit that a target names, including this one. */
  readonly gatewayNames: readonly string[];
  /** Gateways that are ranked as senders to cold targets; undefined while this one may not send to any. */
  readonly senderNames: readonly string[] | undefined;
  readonly evacuatedDomains: ReadonlySet<string>;
  readonly coldLimit: ColdLimit;
  readonly serviceTime: ServiceTimeEstimator;
  readonly roundTripTimes: RoundTripTimes;
  /** Fraction of the service's objects that are kept near. */
  readonly regionalShare: RegionalShare;
}

/** A chosen target with the expected times. */
export interface Placement {
  readonly target: Target;
  /** Expected time until the answer. */
  readonly expectedMs: number;
  /** Part of the expected time that the request waits for a slot. */
  readonly waitMs: number;
  /** True when the target has handled the object for this gateway lately and probably holds it. */
  readonly isHeld: boolean;
}

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
/** Makes all gateways choose in the same order of rank while targets have similar costs. */
const costPerRankMs = 4;
/** More than the rounding error of a sum of costs. */
const roundingMarginMs = 0.001;

/**
 * Rankings of each service, for the lifetime of its estimator: both belong to one gateway and service.
 */
const rankingsByService = new WeakMap<ServiceTimeEstimator, ObjectRankings>();

/** Returns the target with the lowest cost; undefined when none is usable. */
export function placeRequest(
  request: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
): Placement | undefined {
  const listed = preferListed(targets, request, view);
  const {objectKey} = request;
  if (objectKey === undefined) return placeWithoutObject(request, listed, view);
  const objectHash = hash32(objectKey);
  const prefersNear = prefersNearTargets(objectHash, request, targets, view);
  const order = rankingsOf(view.serviceTime).orderOf(objectHash, targets);
  const search = new RankedSearch(request, view);
  const isListed = listed === targets ? undefined : new Set(listed);
  for (const isPreferred of [true, false]) {
    const searchesNear = isPreferred === prefersNear;
    for (const index of order) {
      const target = targets[index];
      if (target === undefined || isListed?.has(target) === false) continue;
      if (isNear(target, request.bodyBytes, view) !== searchesNear) continue;
      if (search.isComplete) return search.placement;
      if (!isUsable(target, request, view)) continue;
      search.evaluate(target, index);
    }
  }
  return search.placement;
}

/** Without an object all targets have the same rank; the first in the list is chosen among equal ones. */
function placeWithoutObject(
  request: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
): Placement | undefined {
  let best: Candidate | undefined;
  for (const target of targets) {
    if (!isUsable(target, request, view)) continue;
    const candidate = evaluateTarget(target, 0, request, view);
    if (best === undefined || candidate.costMs < best.costMs) best = candidate;
  }
  return best?.placement;
}

function rankingsOf(serviceTime: ServiceTimeEstimator): ObjectRankings {
  const known = rankingsByService.get(serviceTime);
  if (known !== undefined) return known;
  const rankings = new ObjectRankings();
  rankingsByService.set(serviceTime, rankings);
  return rankings;
}

/**
 * Evaluates usable targets in the order of their rank. Near targets, in the gateway's region and regions close by, rank
 * first. Far targets rank first for objects beyond the capacity of the near ones.
 */
class RankedSearch {
  private rank = 0;
  private best: Candidate | undefined;
  private bestIndex = 0;
  /** Least cost of a target at which the object counts as uncached, without the cost of its rank. */
  private readonly minUncachedCostMs: number;

  constructor(
    private readonly request: PlacementRequest,
    private readonly view: PlacementView,
  ) {
    const uncachedMs = view.serviceTime.expectedMs(false);
    const savedMs = uncachedMs - view.serviceTime.expectedMs(true);
    this.minUncachedCostMs = uncachedMs * minUsedRatio + savedMs * evictionCostFactor;
  }

  get placement(): Placement | undefined {
    return this.best?.placement;
  }

  /** True when no target of a higher rank can have a lower cost. */
  get isComplete(): boolean {
    if (this.best === undefined || this.rank < cachingTargetsPerObject) return false;
    const minCostMs = this.minUncachedCostMs + this.rank * costPerRankMs;
    return minCostMs - roundingMarginMs > this.best.costMs;
  }

  /** Evaluates the target of the next rank. Among equal costs the first in the list of targets is chosen. */
  evaluate(target: Target, index: number): void {
    const candidate = evaluateTarget(target, this.rank, this.request, this.view);
    this.rank += 1;
    const bestMs = this.best?.costMs ?? Infinity;
    const isBetter =
      this.best === undefined ||
      candidate.costMs < bestMs ||
      (candidate.costMs === bestMs && index < this.bestIndex);
    if (!isBetter) return;
    this.best = candidate;
    this.bestIndex = index;
  }
}

/**
 * Leaves out targets without a record while enough listed targets are usable. When most records are missing, they
 * expired during an outage of the store and their targets are alive; when few are missing, those targets have more
 * likely left.
 */
function preferListed(
  targets: readonly Target[],
  request: PlacementRequest,
  view: PlacementView,
): readonly Target[] {
  if (!targets.some(target => target.isRemovalDeferred)) return targets;
  const usable = targets.filter(target => isUsable(target, request, view));
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
 * True when the object's preferred target is near. When near targets have fewer slots than the region's callers need,
 * some of the objects go to far targets: moving requests only once the region is full would move many of them at the
 * same moment to targets that have not cached their objects. Unreachable targets count too, so that their failures do
 * not move the objects of other targets.
 */
function prefersNearTargets(
  objectHash: number,
  {bodyBytes, latencyObjectiveMs}: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
): boolean {
  if (bodyBytes >= minLargeBodyBytes) return true;
  const {nowMs, regionalShare, ownCallerFraction, evacuatedDomains} = view;
  const isCounted = (target: Target) =>
    target.isAssignable && !evacuatedDomains.has(target.failureDomain);
  let nearSlots = 0;
  let allSlots = 0;
  for (const target of targets) {
    if (!isCounted(target)) continue;
    allSlots += target.slots;
    if (isNear(target, bodyBytes, view)) nearSlots += target.slots;
  }
  const capacity = {nearSlots, allSlots, ownCallerFraction};
  if (regionalShare.isUpdateDue(nowMs)) {
    const isNearTarget = (target: Target) => isNear(target, bodyBytes, view);
    const observation = observeRegion(targets.filter(isCounted), isNearTarget, capacity, view);
    regionalShare.update(nowMs, {...observation, latencyObjectiveMs});
  }
  return objectHash / 2 ** 32 < regionalShare.nearFraction(capacity);
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
