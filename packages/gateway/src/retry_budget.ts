/**
 * Divides the retry limit of a service among the gateways: a part of each gateway's own requests, and an equal part of the
 * slack. Nothing is exchanged, so the limit holds as well when a gateway is cut off from the others.
 */
import type {TimeSource} from '@cuminsill/utils';

/** The limit over all gateways. */
export interface RetryLimit {
  /** Part of a service's requests that may be sent to a further target. */
  readonly ratio: number;
  /** Window in which the limit holds, in milliseconds. */
  readonly windowMs: number;
  /** Requests that may be sent to a further target in each window regardless of the ratio. */
  readonly slack: number;
}

/** What is left of the allowance for a service. */
export interface RetryStatus {
  readonly service: string;
  /** Further sendings that the service's own requests have earned. */
  readonly earned: number;
  /** Further sendings that are left of the slack in this window. */
  readonly slackLeft: number;
}

/** Part of the limit that is used; the rest covers a number of gateways that is not known exactly. */
const usedFraction = 0.7;
/** Saved credit is bounded, so that a calm time does not pay for a flood of retries later. */
const maxCredit = 2;

/** Allowance of one gateway. */
export class RetryBudget {
  private readonly byService = new Map<string, ServiceRetryBudget>();

  /**
   * @param limit The limit now; a reload may change it.
   * @param gatewayCount Number of gateways among which the slack is divided.
   */
  constructor(
    private readonly limit: () => RetryLimit,
    private readonly time: TimeSource,
    private readonly gatewayCount: () => number,
  ) {}

  /** Counts the first sending of a request. */
  recordRequest(service: string): void {
    this.of(service).addCredit(this.limit().ratio * usedFraction);
  }

  /** Takes one further sending; false when the allowance is used up. */
  tryTake(service: string): boolean {
    const nowMs = this.time.monotonicMs();
    return this.of(service).tryTake(nowMs, this.limit().windowMs, this.ownSlack(nowMs));
  }

  /** What is left for each service that had requests. */
  status(): readonly RetryStatus[] {
    const nowMs = this.time.monotonicMs();
    const slack = this.ownSlack(nowMs);
    return [...this.byService].map(([service, budget]) => ({
      service,
      earned: Math.floor(budget.earned),
      slackLeft: budget.slackLeft(nowMs, this.limit().windowMs, slack),
    }));
  }

  /**
   * Slack of this gateway in each window. With more gateways than slack, a gateway has one further sending in every few
   * windows, at moments that differ between gateways.
   */
  private ownSlack(nowMs: number): number {
    const {slack, windowMs} = this.limit();
    const slackPerGateway = (slack * usedFraction) / Math.max(1, this.gatewayCount());
    if (slackPerGateway >= 1) return Math.floor(slackPerGateway);
    const window = Math.floor(nowMs / windowMs);
    return window % Math.ceil(1 / slackPerGateway) === 0 ? 1 : 0;
  }

  private of(service: string): ServiceRetryBudget {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const budget = new ServiceRetryBudget();
    this.byService.set(service, budget);
    return budget;
  }
}

class ServiceRetryBudget {
  private credit = 0;
  /** Times at which slack was taken, oldest first; never more than the slack of a window. */
  private slackTakenAtMs: readonly number[] = [];

  get earned(): number {
    return this.credit;
  }

  slackLeft(nowMs: number, windowMs: number, slack: number): number {
    return Math.max(0, slack - this.slackTakenSince(nowMs - windowMs).length);
  }

  addCredit(amount: number): void {
    this.credit = Math.min(maxCredit, this.credit + amount);
  }

  tryTake(nowMs: number, windowMs: number, slack: number): boolean {
    if (this.credit >= 1) {
      this.credit -= 1;
      return true;
    }
    const inWindow = this.slackTakenSince(nowMs - windowMs);
    if (inWindow.length >= slack) return false;
    this.slackTakenAtMs = [...inWindow, nowMs];
    return true;
  }

  private slackTakenSince(sinceMs: number): readonly number[] {
    return this.slackTakenAtMs.filter(takenAtMs => takenAtMs > sinceMs);
  }
}
