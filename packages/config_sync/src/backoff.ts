/** Exponential backoff with jitter, so that many instances do not retry at the same moment. */
import type {RandomSource} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';

/** Bounds of the wait before a retry. */
export interface BackoffLimits {
  readonly minMs: number;
  readonly maxMs: number;
}

/** Wait after a number of failures: a random 50 to 100% of a limit that doubles with each failure up to `maxMs`. */
export function backoffMs(failures: number, limits: BackoffLimits, random: RandomSource): number {
  const limitMs = Math.min(limits.maxMs, limits.minMs * 2 ** Math.min(failures, 20));
  return limitMs * (0.5 + 0.5 * random.next());
}

/** Sleeps for a time that is rounded down to whole milliseconds. */
export function sleepMs(durationMs: number): Effect.Effect<void> {
  return Effect.sleep(Duration.millis(Math.floor(durationMs)));
}
