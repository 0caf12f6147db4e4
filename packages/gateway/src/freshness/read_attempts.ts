/**
 * Paces the attempts to read the store until one succeeds. An answer that is lost shows only by its timeout, which takes much of
 * the bound, so that an attempt without an answer is soon made again beside it.
 */
import {retryDelayMs, unansweredDelayMs} from './freshness_timing';

/** What the pace depends on. */
export interface AttemptEnvironment {
  /** Monotonic clock. */
  nowMs(): number;
  /** Time from the store's acknowledgement of a change until it must take effect. */
  boundMs(): number;
}

/** To be called once, when an attempt has ended. */
export type EndAttempt = (isSuccessful: boolean) => void;

/** Attempts that wait for their answers at the same time. */
const maxConcurrentAttempts = 3;

/** The attempts of one read that is made again and again. */
export class ReadAttempts {
  /** Attempts since the last success. */
  private attemptCount = 0;
  private underWayCount = 0;
  private nextAtMs = -Infinity;

  constructor(private readonly environment: AttemptEnvironment) {}

  /** Whether an attempt may be made now. */
  isDue(): boolean {
    const {environment, nextAtMs, underWayCount} = this;
    return environment.nowMs() >= nextAtMs && underWayCount < maxConcurrentAttempts;
  }

  /** Makes no attempt for this time. A delay that is under way is not extended. */
  delay(durationMs: number): void {
    const nowMs = this.environment.nowMs();
    if (this.nextAtMs <= nowMs) this.nextAtMs = nowMs + durationMs;
  }

  /** Records the start of an attempt. */
  start(): EndAttempt {
    const {environment} = this;
    const startedAtMs = environment.nowMs();
    this.attemptCount += 1;
    this.underWayCount += 1;
    this.nextAtMs = startedAtMs + unansweredDelayMs(this.attemptCount, environment.boundMs());
    return isSuccessful => this.end(isSuccessful, startedAtMs);
  }

  private end(isSuccessful: boolean, startedAtMs: number): void {
    this.underWayCount -= 1;
    if (isSuccessful) this.attemptCount = 0;
    const delayMs = retryDelayMs(this.attemptCount, this.environment.boundMs());
    this.nextAtMs = Math.min(this.nextAtMs, startedAtMs + delayMs);
  }
}
