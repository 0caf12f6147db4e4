/** Decides whether a request may be sent to another target, from how its attempts have ended. */
import type {RepeatRule} from '../gateway_types';
import type {ExchangeEnd} from './target_exchange';

/** How an attempt ended; `cancelled` by this gateway. */
export type AttemptEnd = ExchangeEnd['kind'] | 'cancelled';

/** What the route allows. */
export interface RetryRule {
  readonly repeat: RepeatRule;
  /** Targets that one request may reach. */
  readonly maxTargets: number;
}

/** The attempts of one request. */
export interface AttemptsState {
  readonly ends: readonly AttemptEnd[];
  readonly inFlightCount: number;
}

/** Failed connection attempts that a request may make in addition to the attempts that reach a target. */
const maxUnsentAttempts = 3;

/** Whether an attempt that ended so is known not to have been run. */
const isKnownNotRun: Readonly<Record<AttemptEnd, boolean>> = {
  unsent: true,
  declined: true,
  answered: false,
  lost: false,
  'timed-out': false,
  cancelled: false,
};

/** True while the request is in flight, and when an attempt may have been run. */
export function mayHaveRun({ends, inFlightCount}: AttemptsState): boolean {
  return inFlightCount > 0 || ends.some(end => !isKnownNotRun[end]);
}

/** Number of targets that the request has reached or is being sent to. */
export function sentCountOf({ends, inFlightCount}: AttemptsState): number {
  return inFlightCount + ends.filter(end => end !== 'unsent').length;
}

/** Returns whether the request may be sent to another target. */
export function mayRetry({repeat, maxTargets}: RetryRule, state: AttemptsState): boolean {
  if (repeat === 'at-most-once' && mayHaveRun(state)) return false;
  const unsentCount = state.ends.filter(end => end === 'unsent').length;
  return sentCountOf(state) < maxTargets && unsentCount <= maxUnsentAttempts;
}
