/**
 * Retry budget per service: retries are limited to 10% of successful requests plus a burst, so that retries do not
 * multiply the load of a region in which every request fails.
 */

/** Limits of a retry budget; they hold for each service separately. */
export interface RetryBudgetOptions {
  /** Number of successful requests that earn one retry. */
  readonly successesPerRetry: number;
  /** Number of retries that a service may make before its first success, and the maximum that it can save up. */
  readonly burst: number;
}

/** Limits from section 4.6 of the design page. */
export const defaultRetryBudgetOptions: RetryBudgetOptions = {successesPerRetry: 10, burst: 10};

/** Decides whether a failed request may be retried. Counts whole successes, because tenths have rounding errors. */
export class RetryBudget {
  private readonly credits = new Map<string, number>();
  private readonly maxCredits: number;

  constructor(private readonly options: RetryBudgetOptions = defaultRetryBudgetOptions) {
    this.maxCredits = options.burst * options.successesPerRetry;
  }

  /** Counts a successful request. */
  recordSuccess(serviceId: string): void {
    const credits = this.creditsOf(serviceId);
    if (credits < this.maxCredits) this.credits.set(serviceId, credits + 1);
  }

  /** Takes one retry from the budget. Returns false if none is left. */
  tryRetry(serviceId: string): boolean {
    const credits = this.creditsOf(serviceId);
    if (credits < this.options.successesPerRetry) return false;
    this.credits.set(serviceId, credits - this.options.successesPerRetry);
    return true;
  }

  /** Removes the state of services that are no longer in the configuration. */
  retainServices(serviceIds: readonly string[]): void {
    const configuredIds = new Set(serviceIds);
    for (const serviceId of this.credits.keys()) {
      if (!configuredIds.has(serviceId)) this.credits.delete(serviceId);
    }
  }

  private creditsOf(serviceId: string): number {
    return this.credits.get(serviceId) ?? this.maxCredits;
  }
}
