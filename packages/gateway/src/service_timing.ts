/**
 * How long the targets of a service work on a request: on an object that the target knows, and on one that it does not.
 * Which of the two a sample is shows in its length alone: one gateway does not know which objects the requests of the others
 * have made known. Samples that waited at the target are left out, so that a loaded service does not look slow.
 */

/** Expected times before any answer was seen, in milliseconds. */
const initialKnownMs = 150;
const initialUnknownMs = 400;
/** Part of the old value that remains after one answer. */
const memory = 0.9;
/** One odd answer moves the expectation by at most this factor. */
const maxRatio = 2;

/** Times of one service. */
export class ServiceTiming {
  private knownMs = initialKnownMs;
  private unknownMs = initialUnknownMs;

  /** Notes the working time of one answer that did not wait. */
  observe(workMs: number): void {
    const middleMs = Math.sqrt(this.knownMs * this.unknownMs);
    if (workMs < middleMs) this.knownMs = blend(this.knownMs, workMs);
    else this.unknownMs = blend(this.unknownMs, workMs);
  }

  /** Expected working time for a request, in milliseconds. */
  workMs(knowsObject: boolean): number {
    return knowsObject ? this.knownMs : this.unknownMs;
  }
}

function blend(old: number, observed: number): number {
  const bounded = Math.min(old * maxRatio, Math.max(old / maxRatio, observed));
  return memory * old + (1 - memory) * bounded;
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
