/**
 * Keeps the ramp and overflow together under the cap. Each request adds the part of the cap that the ramp has not used
 * within the window as credit, and each overflow costs one credit. At most one credit is saved, so in any interval the
 * number of overflows stays below that part of the requests plus one.
 */

/** Limits the requests of one service and caller region that overflow to other regions. */
export class OverflowBudget {
  private credit = 0;

  /** Adds the credit of one request; `rampMovedShare` is the share that the ramp moved within the window. */
  countRequest(maxMovedShare: number, rampMovedShare: number): void {
    this.credit = Math.min(1, this.credit + Math.max(0, maxMovedShare - rampMovedShare));
  }

  /** True when one request may overflow now. */
  hasCredit(): boolean {
    return this.credit >= 1 - 1e-9;
  }

  /** Charges one overflow. */
  spend(): void {
    this.credit -= 1;
  }
}
