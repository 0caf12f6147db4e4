/**
 * Estimates which part of the requests for a service the targets can take, from the waits that requests meet: the part rises
 * while waits are short and falls while they are long.
 *
 * It rises by a constant and falls in proportion, because all gateways see the same waits: with both in proportion, each gateway's part
 * would drift away from the others' (in a simulation of 20 gateways, over the whole range).
 */

/** Time in which the part falls by the factor e at most. With 1 s, it oscillates around the right value. */
const adaptationMs = 4_000;
/** Rise within the adaptation time at most. */
const maxRise = 0.4;
/** Time over which the smoothed part is averaged. */
const smoothingMs = 8_000;
/** A longer pause between requests says nothing about the time in between. */
const maxStepMs = 500;
const minFraction = 0.02;
/** Above 1, so that the first long waits of a service with enough capacity refuse nobody. */
const maxFraction = 1.4;
/** There is room when this many requests in succession, and over this time, found a free slot. */
const minFreeCount = 4;
const minFreeMs = 500;

/** The served fraction of one service. */
export class ServedFraction {
  private fraction = maxFraction;
  private smoothedFraction = maxFraction;
  private updatedAtMs = Number.NEGATIVE_INFINITY;
  private freeSinceMs = 0;
  private freeCount = 0;

  /** Part of the requests that can be served; 1 or more when there is room for all. */
  get value(): number {
    return this.fraction;
  }

  /** Mean of the part over a longer time, for what ranks are guaranteed. */
  get smoothedValue(): number {
    return this.smoothedFraction;
  }

  /** True when the last requests all found a free slot, whatever the part is that the last seconds show. */
  hasRoom(nowMs: number): boolean {
    return this.freeCount >= minFreeCount && nowMs - this.freeSinceMs >= minFreeMs;
  }

  /**
   * Records the wait that a request met.
   * @param wantedWaitMs Wait at which the targets are busy and queues are short.
   */
  observe(waitMs: number, wantedWaitMs: number, nowMs: number): void {
    this.countFree(waitMs, nowMs);
    const stepMs = Math.min(maxStepMs, nowMs - this.updatedAtMs);
    this.updatedAtMs = nowMs;
    const change = Math.max(-1, 1 - waitMs / Math.max(1, wantedWaitMs));
    const step = (stepMs / adaptationMs) * change;
    const fraction = change > 0 ? this.fraction + step * maxRise : this.fraction * Math.exp(step);
    this.fraction = Math.min(maxFraction, Math.max(minFraction, fraction));
    const newWeight = 1 - Math.exp(-stepMs / smoothingMs);
    this.smoothedFraction += (this.fraction - this.smoothedFraction) * newWeight;
  }

  private countFree(waitMs: number, nowMs: number): void {
    if (waitMs > 0) {
      this.freeCount = 0;
      return;
    }
    if (this.freeCount === 0) this.freeSinceMs = nowMs;
    this.freeCount += 1;
  }
}
