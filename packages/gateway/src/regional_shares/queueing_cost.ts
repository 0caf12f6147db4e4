/**
 * Compares the cost of a request at near targets, where it may wait, with the cost at far ones, which are a longer round
 * trip away. The wait is that of a queue with several servers in the approximation of Sakasegawa (1977).
 */

/** What the cost of a request depends on. */
export interface CostModel {
  /** Average service time of the service. */
  readonly serviceTimeMs: number;
  /** Average number of slots of a target. */
  readonly slotsPerTarget: number;
  /** Round trip to far targets less that to near ones. */
  readonly extraRoundTripMs: number;
  /** Time within which callers want the answer; undefined when it is not known. */
  readonly latencyObjectiveMs: number | undefined;
}

/** Estimates above this utilization are not used, because the expected wait grows beyond all bounds. */
const maxModelUtilization = 0.97;
/** Requests with an expected time from this fraction of the latency objective on are partly late. */
const lateFromFraction = 0.75;
/** Requests with an expected time beyond this multiple of the latency objective are all late. */
const allLateFromFraction = 1.25;
/** Halvings of the interval in which the utilization is searched; the result is exact to 0.001. */
const bisectionSteps = 10;

/** Expected wait for a slot at targets of a utilization between 0 and 1. */
export function expectedWaitMs(
  utilization: number,
  {serviceTimeMs, slotsPerTarget}: CostModel,
): number {
  const busy = Math.min(maxModelUtilization, Math.max(0, utilization));
  const exponent = Math.sqrt(2 * (slotsPerTarget + 1)) - 1;
  return (serviceTimeMs / slotsPerTarget) * (busy ** exponent / (1 - busy));
}

/**
 * Highest utilization of the near targets at which another request costs no more there than at far targets of the given
 * utilization. The cost includes the wait that the request causes for others and the loss if it is late.
 */
export function bearableUtilization(farUtilization: number, model: CostModel): number {
  const farCostMs = requestCostMs(farUtilization, model.extraRoundTripMs, model);
  let low = 0;
  let high = 1;
  for (let step = 0; step < bisectionSteps; step += 1) {
    const middle = (low + high) / 2;
    if (requestCostMs(middle, 0, model) <= farCostMs) low = middle;
    else high = middle;
  }
  return Math.max(low, farUtilization);
}

function requestCostMs(utilization: number, extraMs: number, model: CostModel): number {
  const waitMs = expectedWaitMs(utilization, model);
  const expectedMs = model.serviceTimeMs + waitMs + extraMs;
  return extraMs + waitMs + waitOfOthersMs(utilization, model) + lateCostMs(expectedMs, model);
}

/** Wait that one more request causes for others: the utilization times the derivative of the wait. */
function waitOfOthersMs(utilization: number, model: CostModel): number {
  const busy = Math.min(maxModelUtilization, Math.max(0, utilization));
  const exponent = Math.sqrt(2 * (model.slotsPerTarget + 1)) - 1;
  return expectedWaitMs(busy, model) * (exponent + busy / (1 - busy));
}

/** A late answer costs as much as the latency objective; the cost rises gradually, because times vary. */
function lateCostMs(expectedMs: number, {latencyObjectiveMs}: CostModel): number {
  if (latencyObjectiveMs === undefined || latencyObjectiveMs <= 0) return 0;
  const excess = expectedMs / latencyObjectiveMs - lateFromFraction;
  const lateFraction = excess / (allLateFromFraction - lateFromFraction);
  return latencyObjectiveMs * Math.min(1, Math.max(0, lateFraction));
}
