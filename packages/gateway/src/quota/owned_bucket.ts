/**
 * Token bucket of a workspace at its owner. Tokens that were granted and may not have been used yet count toward its
 * capacity, so that allowances kept for later do not add to the burst.
 */

interface Outstanding {
  readonly tokens: number;
  readonly expiresAtMs: number;
}

/** The bucket; times are monotonic. */
export class OwnedBucket {
  private tokens = 0;
  private ratePerS = 0;
  private readonly outstandingByHolder = new Map<string, Outstanding>();

  constructor(private refilledAtMs: number) {}

  /** Tokens that can be granted. */
  get level(): number {
    return this.tokens;
  }

  /** Adds the tokens since the last call, at the lower of the rates then and now. */
  refill(nowMs: number, ratePerS: number, capacity: number): void {
    const elapsedS = Math.max(0, nowMs - this.refilledAtMs) / 1000;
    const added = elapsedS * Math.min(this.ratePerS, ratePerS);
    this.ratePerS = ratePerS;
    this.refilledAtMs = nowMs;
    this.tokens = Math.max(0, Math.min(capacity - this.outstanding(nowMs), this.tokens + added));
  }

  /** Moves whole tokens from the bucket to a holder that keeps others. */
  grant(holder: string, kept: number, count: number, expiresAtMs: number): void {
    this.tokens -= count;
    this.outstandingByHolder.set(holder, {tokens: kept + count, expiresAtMs});
  }

  /** Takes tokens back. A holder cannot return more than it was granted here. */
  takeBack(holder: string, count: number): void {
    const known = this.outstandingByHolder.get(holder);
    const returned = Math.min(known?.tokens ?? 0, count);
    if (known === undefined || returned === 0) return;
    this.outstandingByHolder.set(holder, {...known, tokens: known.tokens - returned});
    this.tokens += returned;
  }

  /** Adds tokens and allowances of a former owner. */
  takeOver(holder: string, level: number, outstanding: number, expiresAtMs: number): void {
    this.tokens += level;
    this.outstandingByHolder.set(`former owner ${holder}`, {tokens: outstanding, expiresAtMs});
  }

  /** Drops the tokens that were not granted. */
  clear(): void {
    this.tokens = 0;
  }

  /** Tokens in allowances that may still be used. */
  outstanding(nowMs: number): number {
    let sum = 0;
    for (const [holder, {tokens, expiresAtMs}] of this.outstandingByHolder) {
      if (expiresAtMs <= nowMs) this.outstandingByHolder.delete(holder);
      else sum += tokens;
    }
    return sum;
  }
}
