/**
 * How long the targets of a service work on a request: on an object that the target knows, and on one that it does not.
 * Which of the two a sample is shows in its length alone: one gateway does not know which objects the requests of the others
 * have made known. So recent samples are divided into a shorter and a longer group.
 */

/** Expected times before any answer was seen, in milliseconds. */
const initialKnownMs = 150;
const initialUnknownMs = 400;
/** Samples that the expectation rests on. */
const sampleCount = 48;
/** Part of the old mean that remains after one answer. */
const meanMemory = 0.9;
/** Groups whose means differ by less than this factor are one group. */
const leastGroupRatio = 1.6;
/** Work on an unknown object takes at most this many times as long as on a known one, as far as is assumed unseen. */
const largestAssumedRatio = 4;

/** Times of one service. */
export class ServiceTiming {
  private readonly logSamples: number[] = [];
  private next = 0;
  private knownMs = initialKnownMs;
  private unknownMs = initialUnknownMs;
  private meanMs = initialUnknownMs;

  /**
   * Notes the working time of one answer.
   * @param waited True when the request may have waited at its target, so that the time says little about the work.
   */
  observe(workMs: number, waited: boolean): void {
    this.meanMs = meanMemory * this.meanMs + (1 - meanMemory) * workMs;
    if (waited) return;
    this.logSamples[this.next] = Math.log(Math.max(1, workMs));
    this.next = (this.next + 1) % sampleCount;
    this.update();
  }

  /** Expected working time for a request, in milliseconds. */
  workMs(knowsObject: boolean): number {
    return knowsObject ? this.knownMs : this.unknownMs;
  }

  /** Expected working time of the requests that a target has already, whatever their objects are, in milliseconds. */
  meanWorkMs(): number {
    return this.meanMs;
  }

  private update(): void {
    const {lower, upper} = divide(this.logSamples);
    if (upper - lower >= Math.log(leastGroupRatio)) {
      this.knownMs = Math.exp(lower);
      this.unknownMs = Math.max(Math.exp(upper), this.unknownMs * 0.98);
      return;
    }
    const onlyMs = Math.exp((lower + upper) / 2);
    const middleMs = Math.sqrt(this.knownMs * this.unknownMs);
    if (onlyMs < middleMs) {
      this.knownMs = onlyMs;
      this.unknownMs = Math.min(this.unknownMs, onlyMs * largestAssumedRatio);
    } else {
      this.unknownMs = onlyMs;
      this.knownMs = Math.max(this.knownMs, onlyMs / largestAssumedRatio);
    }
  }
}

interface GroupMeans {
  readonly lower: number;
  readonly upper: number;
}

/** Means of the two groups that differ most, by the variance between them (Otsu 1979). */
function divide(samples: readonly number[]): GroupMeans {
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
export class ServiceTimings {
  private readonly byService = new Map<string, ServiceTiming>();

  of(service: string): ServiceTiming {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const timing = new ServiceTiming();
    this.byService.set(service, timing);
    return timing;
  }
}
