/** Tells callers when a service without a usable target may take requests again. */
import type {Target} from '../targets/target';
import {spreadRetry} from '../admission';

/** Time after which callers may retry, when there is no estimate. */
export const defaultRetryAfterMs = 250;

/**
 * Returns the time until the first target that has asked for a pause takes requests again, spread over callers.
 * @param jitter A number from 0 to 1 that differs between requests.
 */
export function usableAgainAfterMs(
  targets: readonly Target[],
  nowMs: number,
  jitter: number,
): number {
  const pausesMs = targets
    .filter(target => target.isAssignable && target.health.reachability === 'reachable')
    .map(target => target.directives.pauseLeftMs(nowMs));
  if (pausesMs.length === 0) return defaultRetryAfterMs;
  return spreadRetry(Math.max(defaultRetryAfterMs, Math.min(...pausesMs)), jitter);
}
