/**
 * Keeps ramp and overflow together under the cap. Each request adds the part of the cap that the ramp has not
 * used within the window, and each overflow costs one. At most one request of credit is kept, so in any interval
 * the overflows stay below that part of the requests plus one.
 */

/** Overflow of one service and caller region. */
export class OverflowBudget {
  private credit = 0;

  /** Counts a request; `rampMoved` is the share that the ramp moved within the window. */
  countRequest(maxMovedShare: number, rampMovedShare: number): void {
    this.credit = Math.min(1, this.credit + Math.max(0, maxMovedShare - rampMovedShare));
  }

  /** True when one request may overflow now. */
  hasCredit(): boolean {
    return this.credit >= 1 - 1e-9;
  }

  /** Takes the credit of one overflow. */
  spend(): void {
    this.credit -= 1;
  }
}
