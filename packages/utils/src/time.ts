/**
 * Time as an argument. Decisions take a `TimeSource`, so that tests drive them without waiting.
 */

/** Tells the time. */
export interface TimeSource {
  /** Milliseconds since the Unix epoch; may jump when the clock is set. */
  nowMs(): number;
  /** Milliseconds that never go back; for durations and local expiry. */
  monotonicMs(): number;
}

/** The clocks of the machine. */
export const systemTime: TimeSource = {
  nowMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};

/** A clock that tests set by hand. */
export class ManualTime implements TimeSource {
  /** @param currentMs Start in milliseconds since the Unix epoch. */
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
