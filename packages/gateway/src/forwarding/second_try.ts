/**
 * Decides when a second try of an idempotent request can still be answered within the route's target latency, and whether it
 * may go to a target that has been tried already.
 *
 * The pattern: targets run requests and lose the answers. A request to a target that holds its object has usually been
 * answered within twice the time for a held object. A second try then is in time only where the object is held too, which in
 * most cases is the same target alone: its connection or one answer has failed, while it goes on answering others.
 */
import type {Placement} from '../targets/placement';
import type {Target} from '../targets/target';

/** An answer that takes longer than this multiple of the time for a held object is probably lost. */
const lostAnswerFactor = 2;
/** Allows for short delays of this gateway, the target and the network. */
const lostAnswerMarginMs = 25;

/** A target with at least this fraction of failures has lost answers lately. */
const minFailureRate = 0.1;

/** Expected times of a request, in milliseconds. */
export interface SecondTryTimes {
  /** Expected service time for a held object. */
  readonly heldMs: number;
  readonly roundTripMs: number;
  /** Time left until the route's target latency has passed. */
  readonly latencyBudgetMs: number;
}

/** Time after which an attempt at a target that holds the object has probably lost its answer; undefined if it tells nothing. */
export function lostAnswerDelayMs(
  {isHeld, waitMs}: Placement,
  {heldMs, roundTripMs, latencyBudgetMs}: SecondTryTimes,
): number | undefined {
  if (!isHeld) return undefined;
  const delayMs = roundTripMs + waitMs + lostAnswerFactor * heldMs + lostAnswerMarginMs;
  return delayMs + roundTripMs + heldMs <= latencyBudgetMs ? delayMs : undefined;
}

/** True if a second try at the placement's target is expected to be answered within the target latency. */
export function isInTime(
  {isHeld, waitMs, expectedMs}: Placement,
  {latencyBudgetMs}: SecondTryTimes,
): boolean {
  return isHeld && waitMs === 0 && expectedMs <= latencyBudgetMs;
}

/**
 * True if a target that has not answered a request in time has lost the answer rather than being slow: it has answered a
 * request that was sent later, or has lost answers lately.
 */
export function hasProbablyLost({health}: Target, sentAtMs: number, nowMs: number): boolean {
  if (health.reachability !== 'reachable' || health.isSlow(nowMs)) return false;
  return health.lastAnsweredSendAtMs > sentAtMs || health.failureRate(nowMs) >= minFailureRate;
}
