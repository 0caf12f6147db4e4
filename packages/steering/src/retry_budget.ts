/**
 * Retry budget per service: retries are at most 10% of successes plus a burst, so that a region in which every
 * request fails does not receive a multiple of its load.
 */

/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Successes that pay for one retry. */
  readonly successesPerRetry: number;
  /** Retries that a service may make before any success, and the most that it can save up. */
  readonly burst: number;
}

/** Limits of the design page, section 4.6. */
export const defaultRetryBudgetOptions: RetryBudgetOptions = {successesPerRetry: 10, burst: 10};

/** Counts in whole successes, because a sum of tenths would carry rounding errors. */
export class RetryBudget {
  private readonly credits = new Map<string, number>();
  private readonly maxCredits: number;

  /** @param options Limits that hold for each service on its own. */
  constructor(private readonly options: RetryBudgetOptions = defaultRetryBudgetOptions) {
    this.maxCredits = options.burst * options.successesPerRetry;
  }

  /** Notes a request that was answered well. */
  recordSuccess(serviceId: string): void {
    const credits = this.creditsOf(serviceId);
    if (credits < this.maxCredits) this.credits.set(serviceId, credits + 1);
  }

  /** Takes one retry from the budget; false when none is left. */
  tryRetry(serviceId: string): boolean {
    const credits = this.creditsOf(serviceId);
    if (credits < this.options.successesPerRetry) return false;
    this.credits.set(serviceId, credits - this.options.successesPerRetry);
    return true;
  }

  /** Forgets services that are no longer in the configuration. */
  keepServices(serviceIds: readonly string[]): void {
    const configuredIds = new Set(serviceIds);
    for (const serviceId of this.credits.keys()) {
      if (!configuredIds.has(serviceId)) this.credits.delete(serviceId);
    }
  }

  private creditsOf(serviceId: string): number {
    return this.credits.get(serviceId) ?? this.maxCredits;
  }
}
