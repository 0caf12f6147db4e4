/**
 * Clocks. Code that depends on time takes a `TimeSource`, so that tests can advance the time without waiting.
 */

/** A wall clock and a monotonic clock. */
export interface TimeSource {
  /** Wall-clock time in milliseconds since the Unix epoch; jumps when the clock is set. */
  nowMs(): number;
  /** Monotonic time in milliseconds, which never goes back; for durations and local expiry. */
  monotonicMs(): number;
}

/** The clocks of the machine. */
export const systemTime: TimeSource = {
  nowMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};

/** A clock that moves only when a test advances it. */
export class ManualTime implements TimeSource {
  /** @param currentMs Initial time in milliseconds since the Unix epoch. */
  constructor(private currentMs = 1_700_000_000_000) {}

  nowMs(): number {
    return this.currentMs;
  }

  monotonicMs(): number {
    return this.currentMs;
  }

  /** Moves the clock forward by the given number of milliseconds. */
  advance(durationMs: number): void {
    this.currentMs += durationMs;
  }
}
