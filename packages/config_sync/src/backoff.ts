/** Waits between attempts, spread at random so that many instances do not try at the same moment. */
import type {RandomSource} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';

/** Bounds of the wait in milliseconds. */
export interface BackoffLimits {
  readonly minMs: number;
  readonly maxMs: number;
}

/** Time to wait after so many failures: doubled for each, and between half of that and all of it. */
export function backoffMs(failures: number, limits: BackoffLimits, random: RandomSource): number {
  const limitMs = Math.min(limits.maxMs, limits.minMs * 2 ** Math.min(failures, 20));
  return limitMs * (0.5 + 0.5 * random.next());
}

/** Sleeps for a whole number of milliseconds. */
export function sleepMs(durationMs: number): Effect.Effect<void> {
  return Effect.sleep(Duration.millis(Math.floor(durationMs)));
}
