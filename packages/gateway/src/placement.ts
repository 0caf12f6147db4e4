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
import type {ColdLimit} from './cold_gate';
import type {PathLatency} from './path_latency';
import type {ServiceTiming} from './service_timing';
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
  readonly triedIds: ReadonlySet<string>;
}

/** What the choice depends on beside the request. */
export interface PlacementView {
  readonly nowMs: number;
  readonly ownName: string;
  readonly ownRegion: string;
  /** Part of all callers that are in the gateway's region, between 0 and 1. */
  readonly ownDemandShare: number;
  readonly gatewayNames: readonly string[];
  readonly evacuatedDomains: ReadonlySet<string>;
  readonly coldLimit: ColdLimit;
  readonly timing: ServiceTiming;
  readonly latency: PathLatency;
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
const failureBaseMs = 400;
/** Targets among which an object moves as their load changes; at others it counts as unknown. */
const homesPerObject = 3;
/**
 * An object that a target learns makes it forget another, which then costs as much again, and the longer work makes all
 * others at the target wait. Multiple of the work that knowing saves.
 */
const displacementFactor = 1;
/**
 * A target without a free slot learns an object only if no other choice is left. When all targets are full, moving objects
 * makes all work longer and nobody's wait shorter.
 */
const crowdedCostMs = 10_000;
/**
 * Regions within this round trip share their first choices: the way is lost in the variation of the work. A fixed bound,
 * because one that followed the measured work would move all objects at once when it crossed a region's distance.
 */
const nearRoundTripMs = 40;
/** Part of all slots that callers need on a busy day. A region with room for its part of that keeps all its objects. */
const plannedUse = 0.6;
/** Bodies of this size stay in their region while it has room: links between regions are narrow. */
const largeBodyBytes = 16 * 1024;
/** Part of the usable slots at targets with an entry above which the others are not used. */
const leastSureShare = 0.5;
const largestHash = 2 ** 32 - 1;
/** The position of a target stands in the lowest digits of its sorting key, which is exact up to 2 ** 53. */
const maxRankedTargets = 2 ** 20;
/** Keeps the order of choices equal at all gateways while targets look alike. */
const rankStepMs = 4;

/** The best target; undefined when none may be used. */
export function placeRequest(
  request: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
): Placement | undefined {
  const usable = withoutDoubtful(targets.filter(target => isUsable(target, request, view)));
  const staysNear = belongsNear(request, targets, view);
  const ranks = rankTargets(request, staysNear, usable, view);
  let best: Candidate | undefined;
  usable.forEach((target, index) => {
    const candidate = consider(target, ranks[index] ?? 0, request, view);
    if (best === undefined || candidate.costMs < best.costMs) best = candidate;
  });
  return best?.placement;
}

/**
 * Leaves out targets whose entry is missing while enough others are there. When most entries are missing, they lapsed during
 * an outage of the store and their targets live; when few are, these targets have more likely left.
 */
function withoutDoubtful(usable: readonly Target[]): readonly Target[] {
  const sure = usable.filter(target => !target.isDoubtful);
  return slotsOf(sure) >= slotsOf(usable) * leastSureShare ? sure : usable;
}

function isUsable(target: Target, request: PlacementRequest, view: PlacementView): boolean {
  if (!target.isAssignable || request.triedIds.has(target.id)) return false;
  if (target.health.reachability !== 'reachable') return false;
  if (view.evacuatedDomains.has(target.failureDomain)) return false;
  const {homeRegions} = request;
  if (homeRegions.length > 0 && !homeRegions.includes(target.region)) return false;
  if (!target.isCold(view.nowMs)) return true;
  if (!target.coldGate.isOpen(view.nowMs)) return false;
  return target.coldGate.maySend(view.coldLimit, target.id, view.ownName, view.gatewayNames);
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
  const order = new Float64Array(targets.length);
  targets.forEach((target, index) => {
    const isFirst = isNear(target, request.bodyBytes, view) === staysNear;
    const weight = largestHash - combineHashes(target.idHash, objectHash);
    order[index] = ((isFirst ? 0 : largestHash + 1) + weight) * maxRankedTargets + index;
  });
  // Sorts numbers, without a comparison function: this runs for each request over all targets of a service.
  order.sort();
  order.forEach((key, rank) => (ranks[key % maxRankedTargets] = rank));
  return ranks;
}

/**
 * True when the object's first choice is near. Where near targets have less room than the callers of the region need on a
 * busy day, a fixed part of the objects belongs elsewhere: moving requests only once the region is full would move many of
 * them at the same moment, to targets that do not know their objects. Targets that cannot be reached count too, so that
 * their failures do not move the objects of the others.
 */
function belongsNear(
  {objectKey, bodyBytes}: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
): boolean {
  if (objectKey === undefined || bodyBytes >= largeBodyBytes) return true;
  const staying = targets.filter(
    target => target.isAssignable && !view.evacuatedDomains.has(target.failureDomain),
  );
  const nearSlots = slotsOf(staying.filter(target => isNear(target, bodyBytes, view)));
  const neededSlots = slotsOf(staying) * view.ownDemandShare * plannedUse;
  return hash32(objectKey) / 2 ** 32 < nearSlots / neededSlots;
}

function slotsOf(targets: readonly Target[]): number {
  return targets.reduce((sum, {slots}) => sum + slots, 0);
}

function isNear(target: Target, bodyBytes: number, {ownRegion, latency}: PlacementView): boolean {
  if (target.region === ownRegion) return true;
  if (bodyBytes >= largeBodyBytes) return false;
  return latency.roundTripMs(target.failureDomain) <= nearRoundTripMs;
}

interface Candidate {
  readonly placement: Placement;
  /** Expected time, and what the choice takes from other requests. */
  readonly costMs: number;
}

function consider(
  target: Target,
  rank: number,
  request: PlacementRequest,
  view: PlacementView,
): Candidate {
  const {nowMs, timing} = view;
  const {objectKey} = request;
  const isHome = objectKey !== undefined && rank < homesPerObject;
  const knowsObject = isHome && (rank === 0 || target.objects.has(objectKey, nowMs));
  const slowness = target.health.slownessNow(nowMs);
  const workMs = timing.workMs(knowsObject) * slowness;
  const waitMs = expectedWaitMs(target, timing.meanWorkMs() * slowness, nowMs);
  const failureRate = target.health.failureRate(nowMs);
  const failureMs = failureRate * (failureBaseMs + failureCostFactor * workMs);
  const roundTripMs = view.latency.roundTripMs(target.failureDomain);
  const expectedMs = roundTripMs + workMs + waitMs + failureMs;
  const gainMs = timing.workMs(false) - timing.workMs(true);
  const learns = objectKey !== undefined && !knowsObject;
  const displacedMs = learns ? gainMs * displacementFactor : 0;
  const crowdedMs = learns && waitMs > 0 ? crowdedCostMs : 0;
  const costMs = expectedMs + displacedMs + crowdedMs + rank * rankStepMs;
  return {placement: {target, expectedMs, waitMs}, costMs};
}

function expectedWaitMs(target: Target, workMs: number, nowMs: number): number {
  const ahead = target.load.estimate(nowMs, workMs);
  const {slots} = target;
  if (ahead < slots) return 0;
  return ((ahead - slots + 1) / slots) * workMs;
}
