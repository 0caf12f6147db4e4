/**
 * How long the targets of a service work on a request: on an object that the target knows, and on one that it does not.
 * Waiting at the target is taken out, so that a loaded service does not look slow.
 */

/** Expected times before any answer was seen, in milliseconds. */
const initialWarmMs = 150;
const initialColdMs = 400;
/** Part of the old value that remains after one answer. */
const memory = 0.95;
/** One odd answer moves the expectation by at most this factor. */
const maxRatio = 3;

/** Times of one service. */
export class ServiceTiming {
  private warm = initialWarmMs;
  private cold = initialColdMs;

  /** Notes the working time of one answer. */
  observe(workMs: number, knownObject: boolean): void {
    if (knownObject) this.warm = blend(this.warm, workMs);
    else this.cold = blend(this.cold, workMs);
  }

  /** Expected working time for a request, in milliseconds. */
  workMs(knownObject: boolean): number {
    return knownObject ? Math.min(this.warm, this.cold) : this.cold;
  }
}

function blend(old: number, observed: number): number {
  return memory * old + (1 - memory) * Math.min(observed, old * maxRatio);
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
