/**
 * Hedge budget per service: a second copy of a slow read may be sent after the 95th percentile of the observed
 * durations, for at most 2% of reads.
 */

/** Limits of a hedge budget. */
export interface HedgeBudgetOptions {
  /** Reads that pay for one hedge. */
  readonly readsPerHedge: number;
  /** The most hedges that a service can save up. */
  readonly burst: number;
  /** Durations needed before a hedge is allowed. */
  readonly minSamples: number;
  /** Durations after which the older half of the histogram is dropped. */
  readonly samplesPerHalf: number;
  /** Share of reads that are faster than the delay. */
  readonly quantile: number;
}

/** Limits of the design page, section 4.6; 500 samples a half give 25 to 50 above the 95th percentile. */
export const defaultHedgeBudgetOptions: HedgeBudgetOptions = {
  readsPerHedge: 50,
  burst: 10,
  minSamples: 100,
  samplesPerHalf: 500,
  quantile: 0.95,
};

/** Width of a histogram bucket: each upper bound is 10% above the one before. */
const bucketRatio = 1.1;
const smallestBoundMs = 0.1;
/** The last bound is 0.1 ms x 1.1^184, about 70 minutes; the longest deadline is 60 minutes. */
const bucketCount = 185;

/** Counts durations in two halves; when the newer half is full, it replaces the older one. */
class SlidingHistogram {
  private older = new Uint32Array(bucketCount);
  private newer = new Uint32Array(bucketCount);
  private olderCount = 0;
  private newerCount = 0;

  constructor(private readonly samplesPerHalf: number) {}

  get count(): number {
    return this.olderCount + this.newerCount;
  }

  add(durationMs: number): void {
    if (this.newerCount === this.samplesPerHalf) this.dropOlderHalf();
    const bucket = bucketOf(durationMs);
    this.newer[bucket] = (this.newer[bucket] ?? 0) + 1;
    this.newerCount += 1;
  }

  /** Upper bound of the bucket that holds the quantile. */
  quantileMs(quantile: number): number {
    const rank = Math.ceil(this.count * quantile);
    let seen = 0;
    for (let bucket = 0; bucket < bucketCount; bucket += 1) {
      seen += (this.older[bucket] ?? 0) + (this.newer[bucket] ?? 0);
      if (seen >= rank) return boundMs(bucket);
    }
    return boundMs(bucketCount - 1);
  }

  private dropOlderHalf(): void {
    const emptied = this.older.fill(0);
    this.older = this.newer;
    this.olderCount = this.newerCount;
    this.newer = emptied;
    this.newerCount = 0;
  }
}

interface ServiceHedges {
  readonly durations: SlidingHistogram;
  credits: number;
  delayMs: number | undefined;
  samplesUntilUpdate: number;
}

/** The delay is computed again after this many durations, because a quantile reads the whole histogram. */
const samplesPerUpdate = 20;

/** Decides whether and when a second copy of a read is sent. */
export class HedgeBudget {
  private readonly services = new Map<string, ServiceHedges>();

  /** @param options Limits that hold for each service on its own. */
  constructor(private readonly options: HedgeBudgetOptions = defaultHedgeBudgetOptions) {}

  /** Notes that a read begins. */
  recordRead(serviceId: string): void {
    const service = this.serviceOf(serviceId);
    const maxCredits = this.options.burst * this.options.readsPerHedge;
    service.credits = Math.min(maxCredits, service.credits + 1);
  }

  /** Notes how long the first copy of a read took, also when the second copy was faster. */
  recordDuration(serviceId: string, durationMs: number): void {
    const service = this.serviceOf(serviceId);
    service.durations.add(durationMs);
    service.samplesUntilUpdate -= 1;
    if (service.durations.count < this.options.minSamples) return;
    if (service.delayMs !== undefined && service.samplesUntilUpdate > 0) return;
    service.delayMs = service.durations.quantileMs(this.options.quantile);
    service.samplesUntilUpdate = samplesPerUpdate;
  }

  /** Milliseconds after which a read may be hedged; undefined while there are too few samples. */
  hedgeDelayMs(serviceId: string): number | undefined {
    return this.services.get(serviceId)?.delayMs;
  }

  /** Takes one hedge from the budget; false when none is left or there are too few samples. */
  tryHedge(serviceId: string): boolean {
    const service = this.services.get(serviceId);
    if (service === undefined || service.delayMs === undefined) return false;
    if (service.credits < this.options.readsPerHedge) return false;
    service.credits -= this.options.readsPerHedge;
    return true;
  }

  /** Forgets services that are no longer in the configuration. */
  keepServices(serviceIds: readonly string[]): void {
    const kept = new Set(serviceIds);
    for (const serviceId of this.services.keys()) {
      if (!kept.has(serviceId)) this.services.delete(serviceId);
    }
  }

  private serviceOf(serviceId: string): ServiceHedges {
    let service = this.services.get(serviceId);
    if (service === undefined) {
      const durations = new SlidingHistogram(this.options.samplesPerHalf);
      service = {durations, credits: 0, delayMs: undefined, samplesUntilUpdate: 0};
      this.services.set(serviceId, service);
    }
    return service;
  }
}

function bucketOf(durationMs: number): number {
  if (!(durationMs > smallestBoundMs)) return 0;
  const bucket = Math.ceil(Math.log(durationMs / smallestBoundMs) / Math.log(bucketRatio));
  return Math.min(bucketCount - 1, bucket);
}

function boundMs(bucket: number): number {
  return smallestBoundMs * bucketRatio ** bucket;
}
