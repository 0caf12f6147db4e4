/** Token bucket: limits a rate but allows short bursts. */
import type {TimeSource} from './time';

/** Tokens are added at a constant rate, up to a maximum that sets the burst size. */
export class TokenBucket {
  private tokens: number;
  private refilledAtMs: number;

  /**
   * @param ratePerS Tokens added per second.
   * @param burst Maximum number of tokens held; the bucket starts full.
   */
  constructor(
    private readonly ratePerS: number,
    private readonly burst: number,
    private readonly time: TimeSource,
  ) {
    this.tokens = burst;
    this.refilledAtMs = time.monotonicMs();
  }

  /** Takes one token if one is available; returns whether it did. */
  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Milliseconds until a token is available; 0 when there is one. */
  waitMs(): number {
    this.refill();
    return this.tokens >= 1 ? 0 : Math.ceil(((1 - this.tokens) / this.ratePerS) * 1000);
  }

  private refill(): void {
    const nowMs = this.time.monotonicMs();
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.tokens = Math.min(this.burst, this.tokens + (elapsedMs / 1000) * this.ratePerS);
    this.refilledAtMs = nowMs;
  }
}
