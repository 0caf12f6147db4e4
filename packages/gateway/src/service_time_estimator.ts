/**
 * How long the targets of a service work on a request: on an object that the target knows, and on one that it does not.
 * Which of the two a sample is shows in its length alone: one gateway does not know which objects the requests of the others
 * have made known. So recent samples are divided into a shorter and a longer group.
 */

/** Expected times before any answer was seen, in milliseconds. */
const initialCachedMs = 150;
const initialUncachedMs = 400;
/** Samples that the expectation rests on. */
const maxSamples = 48;
/** Part of the old mean that remains after one answer. */
const meanSmoothingFactor = 0.9;
/** Groups whose means differ by less than this factor are one group. */
const minGroupRatio = 1.6;
/** Work on an unknown object takes at most this many times as long as on a known one, as far as is assumed unseen. */
const maxAssumedRatio = 4;

/** Times of one service. */
export class ServiceTimeEstimator {
  private readonly logSamples: number[] = [];
  private nextSampleIndex = 0;
  private cachedMs = initialCachedMs;
  private uncachedMs = initialUncachedMs;
  private meanMs = initialUncachedMs;

  /**
   * Notes the working time of one answer.
   * @param mayHaveWaited True when the request may have waited at its target, so that the time says little about the work.
   */
  observe(serviceTimeMs: number, mayHaveWaited: boolean): void {
    this.meanMs = meanSmoothingFactor * this.meanMs + (1 - meanSmoothingFactor) * serviceTimeMs;
    if (mayHaveWaited) return;
    this.logSamples[this.nextSampleIndex] = Math.log(Math.max(1, serviceTimeMs));
    this.nextSampleIndex = (this.nextSampleIndex + 1) % maxSamples;
    this.updateEstimates();
  }

  /** Expected working time for a request, in milliseconds. */
  expectedMs(isCached: boolean): number {
    return isCached ? this.cachedMs : this.uncachedMs;
  }

  /** Expected working time of the requests that a target has already, whatever their objects are, in milliseconds. */
  averageMs(): number {
    return this.meanMs;
  }

  private updateEstimates(): void {
    const {lower, upper} = splitIntoTwoGroups(this.logSamples);
    if (upper - lower >= Math.log(minGroupRatio)) {
      this.cachedMs = Math.exp(lower);
      this.uncachedMs = Math.max(Math.exp(upper), this.uncachedMs * 0.98);
      return;
    }
    const singleGroupMs = Math.exp((lower + upper) / 2);
    const geometricMeanMs = Math.sqrt(this.cachedMs * this.uncachedMs);
    if (singleGroupMs < geometricMeanMs) {
      this.cachedMs = singleGroupMs;
      this.uncachedMs = Math.min(this.uncachedMs, singleGroupMs * maxAssumedRatio);
    } else {
      this.uncachedMs = singleGroupMs;
      this.cachedMs = Math.max(this.cachedMs, singleGroupMs / maxAssumedRatio);
    }
  }
}

interface GroupMeans {
  readonly lower: number;
  readonly upper: number;
}

/** Means of the two groups that differ most, by the variance between them (Otsu 1979). */
function splitIntoTwoGroups(samples: readonly number[]): GroupMeans {
  const sorted = [...samples].sort((a, b) => a - b);
  const total = sorted.reduce((sum, value) => sum + value, 0);
  const mean = total / sorted.length;
  let best: GroupMeans = {lower: mean, upper: mean};
  let bestVariance = 0;
  let sum = 0;
  for (let count = 1; count < sorted.length; count += 1) {
    sum += sorted[count - 1] ?? 0;
    const lower = sum / count;
    const upper = (total - sum) / (sorted.length - count);
    const variance = count * (sorted.length - count) * (upper - lower) ** 2;
    if (variance <= bestVariance) continue;
    bestVariance = variance;
    best = {lower, upper};
  }
  return best;
}

/** Times of all services. */
export class ServiceTimeEstimators {
  private readonly byService = new Map<string, ServiceTimeEstimator>();

  of(service: string): ServiceTimeEstimator {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const timing = new ServiceTimeEstimator();
    this.byService.set(service, timing);
    return timing;
  }
}
