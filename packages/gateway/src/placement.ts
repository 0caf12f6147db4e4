/**
 * Chooses the target of a request: the one that is expected to answer first, where a target that knows the request's object
 * answers much sooner than one that does not.
 *
 * Pattern of load: most objects are asked for again and again, and a service has room for its requests only while most of
 * them meet a target that knows their object. Choosing by load alone moves objects to targets that do not know them, which
 * makes all work longer and fills the service until nothing meets its object any more. So every gateway takes the same
 * first choice for an object (rendezvous hashing over the targets of its region) and leaves it only when the wait there is
 * longer than what the other target needs for an unknown object.
 */
import {combineHashes, hash32} from '@cuminsill/utils';
import type {ColdLimit} from './cold_target_limiter';
import type {RoundTripTimes} from './round_trip_times';
import type {ServiceTimeEstimator} from './service_time_estimator';
import type {Target} from './target';

/** What is placed. */
export interface PlacementRequest {
  /** Identifies the object that the request concerns; undefined when it does not say. */
  readonly objectKey: string | undefined;
  /** Regions that may see the request; empty when all may. */
  readonly homeRegions: readonly string[];
  /** Size of the body, in bytes. */
  readonly bodyBytes: number;
  /** Targets that this request was sent to before. */
  readonly attemptedTargetIds: ReadonlySet<string>;
}

/** What the choice depends on beside the request. */
export interface PlacementView {
  readonly nowMs: number;
  readonly ownName: string;
  readonly ownRegion: string;
  /** Part of all callers that are in the gateway's region, between 0 and 1. */
  readonly ownCallerFraction: number;
  readonly gatewayNames: readonly string[];
  readonly evacuatedDomains: ReadonlySet<string>;
  readonly coldLimit: ColdLimit;
  readonly serviceTime: ServiceTimeEstimator;
  readonly roundTripTimes: RoundTripTimes;
}

/** A chosen target and why. */
export interface Placement {
  readonly target: Target;
  /** Time until the answer, in milliseconds. */
  readonly expectedMs: number;
  /** Part of it that the request waits for a slot. */
  readonly waitMs: number;
}

/** Expected cost of a failed try, as a multiple of the work that is lost with it. */
const failureCostFactor = 2;
/** A failing target that may still be tried counts as slower by at least this. */
const baseFailureCostMs = 400;
/** Targets among which an object moves as their load changes; at others it counts as unknown. */
const cachingTargetsPerObject = 3;
/**
 * An object that a target learns makes it forget another, which then costs as much again, and the longer work makes all
 * others at the target wait. Multiple of the work that knowing saves.
 */
const evictionCostFactor = 1;
/**
 * A target without a free slot learns an object only if no other choice is left. When all targets are full, moving objects
 * makes all work longer and nobody's wait shorter.
 */
const fullTargetCostMs = 10_000;
/**
 * Regions within this round trip share their first choices: the way is lost in the variation of the work. A fixed bound,
 * because one that followed the measured work would move all objects at once when it crossed a region's distance.
 */
const maxNearRoundTripMs = 40;
/** Part of all slots that callers need on a busy day. A region with room for its part of that keeps all its objects. */
const plannedUtilization = 0.6;
/** Bodies of this size stay in their region while it has room: links between regions are narrow. */
const minLargeBodyBytes = 16 * 1024;
/** Part of the usable slots at targets with an entry above which the others are not used. */
const minListedSlotFraction = 0.5;
const maxHash = 2 ** 32 - 1;
/** The position of a target stands in the lowest digits of its sorting key, which is exact up to 2 ** 53. */
const maxRankedTargets = 2 ** 20;
/** Keeps the order of choices equal at all gateways while targets look alike. */
const costPerRankMs = 4;

/** The best target; undefined when none may be used. */
export function placeRequest(
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
 * Leaves out targets whose entry is missing while enough others are there. When most entries are missing, they lapsed during
 * an outage of the store and their targets live; when few are, these targets have more likely left.
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
  if (!target.isCold(view.nowMs)) return true;
  if (!target.coldLimiter.isIntervalOver(view.nowMs)) return false;
  return target.coldLimiter.isSender(view.coldLimit, target.id, view.ownName, view.gatewayNames);
}

/**
 * Rank of each target for the object, in the order of `targets`; 0 for the first choice. Near targets go first: those of the gateway's region, and
 * those of regions close by. For objects beyond the near targets' share, far targets go first.
 */
function rankTargets(
  request: PlacementRequest,
  staysNear: boolean,
  targets: readonly Target[],
  view: PlacementView,
): readonly number[] {
  const ranks = new Array<number>(targets.length).fill(0);
  const {objectKey} = request;
  if (objectKey === undefined) return ranks;
  const objectHash = hash32(objectKey);
  const sortKeys = new Float64Array(targets.length);
  targets.forEach((target, index) => {
    const isInPreferredGroup = isNear(target, request.bodyBytes, view) === staysNear;
    const weight = maxHash - combineHashes(target.idHash, objectHash);
    sortKeys[index] = ((isInPreferredGroup ? 0 : maxHash + 1) + weight) * maxRankedTargets + index;
  });
  // Sorts numbers, without a comparison function: this runs for each request over all targets of a service.
  sortKeys.sort();
  sortKeys.forEach((key, rank) => (ranks[key % maxRankedTargets] = rank));
  return ranks;
}

/**
 * True when the object's first choice is near. Where near targets have less room than the callers of the region need on a
 * busy day, a fixed part of the objects belongs elsewhere: moving requests only once the region is full would move many of
 * them at the same moment, to targets that do not know their objects. Targets that cannot be reached count too, so that
 * their failures do not move the objects of the others.
 */
function prefersNearTargets(
  {objectKey, bodyBytes}: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
): boolean {
  if (objectKey === undefined || bodyBytes >= minLargeBodyBytes) return true;
  const assignable = targets.filter(
    target => target.isAssignable && !view.evacuatedDomains.has(target.failureDomain),
  );
  const nearSlots = slotsOf(assignable.filter(target => isNear(target, bodyBytes, view)));
  const neededSlots = slotsOf(assignable) * view.ownCallerFraction * plannedUtilization;
  return hash32(objectKey) / 2 ** 32 < nearSlots / neededSlots;
}

function slotsOf(targets: readonly Target[]): number {
  return targets.reduce((sum, {slots}) => sum + slots, 0);
}

function isNear(
  target: Target,
  bodyBytes: number,
  {ownRegion, roundTripTimes: latency}: PlacementView,
): boolean {
  if (target.region === ownRegion) return true;
  if (bodyBytes >= minLargeBodyBytes) return false;
  return latency.expectedMs(target.failureDomain) <= maxNearRoundTripMs;
}

interface Candidate {
  readonly placement: Placement;
  /** Expected time, and what the choice takes from other requests. */
  readonly costMs: number;
}

function evaluateTarget(
  target: Target,
  rank: number,
  request: PlacementRequest,
  view: PlacementView,
): Candidate {
  const {nowMs, serviceTime: timing} = view;
  const {objectKey} = request;
  const mayBeCached = objectKey !== undefined && rank < cachingTargetsPerObject;
  const isCached = mayBeCached && (rank === 0 || target.recentObjects.has(objectKey, nowMs));
  const slowness = target.health.slowness(nowMs);
  const serviceTimeMs = timing.expectedMs(isCached) * slowness;
  const waitMs = expectedWaitMs(target, timing.averageMs() * slowness, nowMs);
  const failureRate = target.health.failureRate(nowMs);
  const failureCostMs = failureRate * (baseFailureCostMs + failureCostFactor * serviceTimeMs);
  const roundTripMs = view.roundTripTimes.expectedMs(target.failureDomain);
  const expectedMs = roundTripMs + serviceTimeMs + waitMs + failureCostMs;
  const savedMs = timing.expectedMs(false) - timing.expectedMs(true);
  const isCacheMiss = objectKey !== undefined && !isCached;
  const evictionCostMs = isCacheMiss ? savedMs * evictionCostFactor : 0;
  const fullCostMs = isCacheMiss && waitMs > 0 ? fullTargetCostMs : 0;
  const costMs = expectedMs + evictionCostMs + fullCostMs + rank * costPerRankMs;
  return {placement: {target, expectedMs, waitMs}, costMs};
}

function expectedWaitMs(target: Target, workMs: number, nowMs: number): number {
  const requestsAhead = target.load.estimateRequests(nowMs, workMs);
  const {slots} = target;
  if (requestsAhead < slots) return 0;
  return ((requestsAhead - slots + 1) / slots) * workMs;
}
