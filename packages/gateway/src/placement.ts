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
import {hash32} from '@cuminsill/utils';
import type {ColdLimit} from './cold_gate';
import {maySendToCold} from './cold_gate';
import type {PathLatency} from './path_latency';
import type {ServiceTiming} from './service_timing';
import type {Target} from './target';

/** What is placed. */
export interface PlacementRequest {
  /** Identifies the object that the request concerns; undefined when it does not say. */
  readonly objectKey: string | undefined;
  /** Regions that may see the request; empty when all may. */
  readonly homeRegions: readonly string[];
  /** Targets that this request was sent to before. */
  readonly triedIds: ReadonlySet<string>;
}

/** What the choice depends on beside the request. */
export interface PlacementView {
  readonly nowMs: number;
  readonly ownName: string;
  readonly ownRegion: string;
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
  /** True when the target is expected to know the object. */
  readonly knowsObject: boolean;
}

/** Expected cost of a failed try, as a multiple of the work that is lost with it. */
const failureCostFactor = 2;
/** A failing target that may still be tried counts as slower by at least this. */
const failureBaseMs = 400;
/** Keeps the order of choices equal at all gateways while targets look alike. */
const rankStepMs = 4;

/** The best target; undefined when none may be used. */
export function placeRequest(
  request: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
): Placement | undefined {
  const usable = targets.filter(target => isUsable(target, request, view));
  const ranks = rankTargets(request.objectKey, usable, view.ownRegion);
  let best: Placement | undefined;
  for (const target of usable) {
    const placement = expect(target, ranks.get(target.id) ?? 0, request, view);
    if (best === undefined || placement.expectedMs < best.expectedMs) best = placement;
  }
  return best;
}

function isUsable(target: Target, request: PlacementRequest, view: PlacementView): boolean {
  if (!target.isAssignable || request.triedIds.has(target.id)) return false;
  if (target.health.reachability !== 'reachable') return false;
  if (view.evacuatedDomains.has(target.failureDomain)) return false;
  const {homeRegions} = request;
  if (homeRegions.length > 0 && !homeRegions.includes(target.region)) return false;
  if (!target.isCold(view.nowMs)) return true;
  if (!target.coldGate.isOpen(view.nowMs)) return false;
  return maySendToCold(view.coldLimit, target.id, view.ownName, view.gatewayNames);
}

/**
 * Rank of each target for the object, 0 for the first choice. Each region has a first choice of its own, because the callers
 * of a region ask for objects of that region.
 */
function rankTargets(
  objectKey: string | undefined,
  targets: readonly Target[],
  ownRegion: string,
): ReadonlyMap<string, number> {
  if (objectKey === undefined) return new Map();
  const weighted = targets
    .map(target => ({target, weight: hash32(`${target.id}/${objectKey}`)}))
    .sort((a, b) => b.weight - a.weight);
  const local = weighted.filter(({target}) => target.region === ownRegion);
  const remote = weighted.filter(({target}) => target.region !== ownRegion);
  return new Map([...local, ...remote].map(({target}, rank) => [target.id, rank]));
}

function expect(
  target: Target,
  rank: number,
  request: PlacementRequest,
  view: PlacementView,
): Placement {
  const {nowMs, timing} = view;
  const {objectKey} = request;
  const knowsObject =
    objectKey !== undefined && (rank === 0 || target.objects.has(objectKey, nowMs));
  const workMs = timing.workMs(knowsObject) * target.health.slownessNow(nowMs);
  const waitMs = expectedWaitMs(target, workMs, nowMs);
  const failureRate = target.health.failureRate(nowMs);
  const failureMs = failureRate * (failureBaseMs + failureCostFactor * workMs);
  const roundTripMs = view.latency.roundTripMs(target.failureDomain);
  const expectedMs = roundTripMs + workMs + waitMs + failureMs + rank * rankStepMs;
  return {target, expectedMs, waitMs, knowsObject};
}

function expectedWaitMs(target: Target, workMs: number, nowMs: number): number {
  const ahead = target.load.estimate(nowMs);
  const {slots} = target;
  if (ahead < slots) return 0;
  return ((ahead - slots + 1) / slots) * workMs;
}
