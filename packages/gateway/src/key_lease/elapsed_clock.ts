/**
 * Elapsed time that never falls short of the true one. The monotonic clock stands still while the system is suspended, and the
 * wall clock may be set back, so neither suffices. Rises of the wall clock against the monotonic clock are added one by one:
 * a later backward jump does not take them back, and one before a suspension does not hide it.
 */
import type {TimeSource} from '@cuminsill/utils';

/** The wall clock is read in whole milliseconds, so smaller rises against the monotonic clock are noise. */
const toleranceMs = 2;

/** Monotonic time, plus the time by which the wall clock has run ahead of it. */
export class ElapsedClock {
  private aheadMs = 0;
  private offsetMs: number;

  constructor(private readonly time: TimeSource) {
    this.offsetMs = time.nowMs() - time.monotonicMs();
  }

  /** Elapsed time since an arbitrary moment, in milliseconds. */
  nowMs(): number {
    const monotonicMs = this.time.monotonicMs();
    const offsetMs = this.time.nowMs() - monotonicMs;
    const riseMs = offsetMs - this.offsetMs;
    if (riseMs > toleranceMs) this.aheadMs += riseMs;
    if (riseMs > toleranceMs || riseMs < 0) this.offsetMs = offsetMs;
    return monotonicMs + this.aheadMs;
  }
}
