/**
 * Detects that the process stood still. Elapsed time is the larger of what the monotonic and the wall clock show: the
 * monotonic clock stops while a machine is suspended, and the wall clock may be set back.
 */
import type {TimeSource} from '@cuminsill/utils';
import {maxPauseMs} from './quota_rules';

/** A moment on both clocks. */
export interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Reads both clocks. */
export function readInstant(time: TimeSource): Instant {
  return {monotonicMs: time.monotonicMs(), wallMs: time.nowMs()};
}

/** Time between two moments, by the clock that shows more. */
export function elapsedMs(since: Instant, now: Instant): number {
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}

/** Compares the times of its calls, of which there must be several a second. */
export class PauseDetector {
  private last: Instant;

  constructor(private readonly time: TimeSource) {
    this.last = readInstant(time);
  }

  /** True if the process has stood still since the last call. */
  checkPaused(): boolean {
    const now = readInstant(this.time);
    const gapMs = elapsedMs(this.last, now);
    this.last = now;
    return gapMs > maxPauseMs;
  }
}
