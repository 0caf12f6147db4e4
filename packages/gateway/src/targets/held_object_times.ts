/**
 * Tells how long a target takes for objects that it holds, relative to the usual time. A target that has become slow may
 * still answer for such objects within the time that an uncached one takes elsewhere, so a comparison with that time would
 * not show it; its callers wait several times as long as usual, although another target would soon hold their objects.
 */

/**
 * All of the last few answers must have taken longer: the target may have evicted the object of one, and a single request
 * may take long at any target.
 */
const sampleCount = 3;
/** Half-life of the excess, so that the target gets requests again and shows whether it still is slow. */
const halfLifeMs = 3_000;

/** Recent service times of one target for objects that it held. */
export class HeldObjectTimes {
  private ratios: readonly number[] = [];
  private updatedAtMs = 0;

  /** Records an answer that took `ratio` times the usual time for a cached object, without a wait for a slot. */
  record(ratio: number, nowMs: number): void {
    this.ratios = [...this.ratios, ratio].slice(-sampleCount);
    this.updatedAtMs = nowMs;
  }

  /** Expected service time for a held object, as a multiple of the usual one; 1 is normal. */
  slowness(nowMs: number): number {
    if (this.ratios.length < sampleCount) return 1;
    const excess = Math.max(0, Math.min(...this.ratios) - 1);
    return 1 + excess * 2 ** (-(nowMs - this.updatedAtMs) / halfLifeMs);
  }

  /** Forgets everything, because a new process runs under the target's id. */
  reset(): void {
    this.ratios = [];
  }
}
