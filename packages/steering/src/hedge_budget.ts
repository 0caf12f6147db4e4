/**
 * Hedge budget per service: a read that takes longer than the 95th percentile of recent reads may be sent to a second
 * target. Hedges are limited to 2% of reads.
 */

/** Limits of a hedge budget; they hold for each service separately. */
export interface HedgeBudgetOptions {
  /** Number of reads that earn one hedge. */
  readonly readsPerHedge: number;
  /** Maximum number of hedges that a service can save up. */
  readonly burst: number;
  /** Number of measured durations from which on hedges are allowed. */
  readonly minSamples: number;
  /** Number of durations in each half of the histogram; when the newer half is full, the older one is dropped. */
  readonly samplesPerHalf: number;
  /** Fraction of reads that finish before the hedge delay. */
  readonly quantile: number;
}

/**
 * Limits from section 4.6 of the design page. With 500 samples in each half of the histogram, 25 to 50 of them lie
 * above the 95th percentile.
 */
export const defaultHedgeBudgetOptions: HedgeBudgetOptions = {
  readsPerHedge: 50,
  burst: 10,
  minSamples: 100,
  samplesPerHalf: 500,
  quantile: 0.95,
};

/** The upper bound of each histogram bucket is 10% above that of the previous one. */
const bucketGrowthFactor = 1.1;
const firstBucketBoundMs = 0.1;
/** The last upper bound is 0.1 ms x 1.1^184, about 70 minutes; the longest timeout of a request is 60 minutes. */
const bucketCount = 185;

/** Histogram of recent durations in two halves; when the newer half is full, it replaces the older one. */
class SlidingHistogram {
  private olderCounts = new Uint32Array(bucketCount);
  private newerCounts = new Uint32Array(bucketCount);
  private olderTotal = 0;
  private newerTotal = 0;

  constructor(private readonly samplesPerHalf: number) {}

  get count(): number {
    return this.olderTotal + this.newerTotal;
  }

  add(durationMs: number): void {
    if (this.newerTotal === this.samplesPerHalf) this.dropOlderHalf();
    const bucket = bucketIndexOf(durationMs);
    this.newerCounts[bucket] = (this.newerCounts[bucket] ?? 0) + 1;
    this.newerTotal += 1;
  }

  /** Upper bound of the bucket that contains the quantile. */
  quantileMs(quantile: number): number {
    const rank = Math.ceil(this.count * quantile);
    let cumulativeCount = 0;
    for (let bucket = 0; bucket < bucketCount; bucket += 1) {
      cumulativeCount += (this.olderCounts[bucket] ?? 0) + (this.newerCounts[bucket] ?? 0);
      if (cumulativeCount >= rank) return bucketBoundMs(bucket);
    }
    return bucketBoundMs(bucketCount - 1);
  }

  private dropOlderHalf(): void {
    const cleared = this.olderCounts.fill(0);
    this.olderCounts = this.newerCounts;
    this.olderTotal = this.newerTotal;
    this.newerCounts = cleared;
    this.newerTotal = 0;
  }
}

interface ServiceHedgeState {
  readonly durations: SlidingHistogram;
  credits: number;
  delayMs: number | undefined;
  samplesUntilUpdate: number;
}

/** The hedge delay is recomputed once per this many durations, because a quantile reads the whole histogram. */
const samplesPerUpdate = 20;

/** Decides whether and when a read is hedged, that is, sent to a second target. */
export class HedgeBudget {
  private readonly services = new Map<string, ServiceHedgeState>();

  constructor(private readonly options: HedgeBudgetOptions = defaultHedgeBudgetOptions) {}

  /** Counts a read that begins. */
  recordRead(serviceId: string): void {
    const service = this.getOrCreateService(serviceId);
    const maxCredits = this.options.burst * this.options.readsPerHedge;
    service.credits = Math.min(maxCredits, service.credits + 1);
  }

  /** Records the duration of the first attempt of a read, also when the hedge was answered first. */
  recordDuration(serviceId: string, durationMs: number): void {
    const service = this.getOrCreateService(serviceId);
    service.durations.add(durationMs);
    service.samplesUntilUpdate -= 1;
    if (service.durations.count < this.options.minSamples) return;
    if (service.delayMs !== undefined && service.samplesUntilUpdate > 0) return;
    service.delayMs = service.durations.quantileMs(this.options.quantile);
    service.samplesUntilUpdate = samplesPerUpdate;
  }

  /** Time after which a read may be hedged; undefined while there are too few samples. */
  hedgeDelayMs(serviceId: string): number | undefined {
    return this.services.get(serviceId)?.delayMs;
  }

  /** Takes one hedge from the budget. Returns false if none is left or there are too few samples. */
  tryHedge(serviceId: string): boolean {
    const service = this.services.get(serviceId);
    if (service === undefined || service.delayMs === undefined) return false;
    if (service.credits < this.options.readsPerHedge) return false;
    service.credits -= this.options.readsPerHedge;
    return true;
  }

  /** Removes the state of services that are no longer in the configuration. */
  retainServices(serviceIds: readonly string[]): void {
    const configuredIds = new Set(serviceIds);
    for (const serviceId of this.services.keys()) {
      if (!configuredIds.has(serviceId)) this.services.delete(serviceId);
    }
  }

  private getOrCreateService(serviceId: string): ServiceHedgeState {
    let service = this.services.get(serviceId);
    if (service === undefined) {
      const durations = new SlidingHistogram(this.options.samplesPerHalf);
      service = {durations, credits: 0, delayMs: undefined, samplesUntilUpdate: 0};
      this.services.set(serviceId, service);
    }
    return service;
  }
}

function bucketIndexOf(durationMs: number): number {
  if (!(durationMs > firstBucketBoundMs)) return 0;
  const bucket = Math.ceil(
    Math.log(durationMs / firstBucketBoundMs) / Math.log(bucketGrowthFactor),
  );
  return Math.min(bucketCount - 1, bucket);
}

function bucketBoundMs(bucket: number): number {
  return firstBucketBoundMs * bucketGrowthFactor ** bucket;
}
