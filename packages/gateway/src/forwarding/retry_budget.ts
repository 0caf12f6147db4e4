/**
 * Retry budget per service. The global limit is divided among the gateways: each may retry a fraction of its own
 * requests, and gets an equal part of the slack. The gateways exchange nothing, so the limit also holds during a
 * network partition.
 *
 * A process does not know what its predecessor has spent, so it gets no slack during its first window.
 */
import type {TimeSource} from '@cuminsill/utils';

/** The retry limit over all gateways. */
export interface RetryLimit {
  /** Retries allowed per request of a service. */
  readonly ratio: number;
  /** Window in which the limit holds, in milliseconds. */
  readonly windowMs: number;
  /** Retries allowed in each window in addition to the ratio. */
  readonly slack: number;
}

/** Remaining retry budget of a service. */
export interface RetryStatus {
  readonly service: string;
  /** Retries earned by the requests of the service. */
  readonly earned: number;
  /** Retries left of the slack in this window. */
  readonly slackLeft: number;
}

/** Fraction of the limit that is used; the rest covers an inexact number of gateways. */
const usedFraction = 0.7;
/** Limits saved credit, so that a quiet period does not allow a burst of retries later. */
const maxCredit = 2;

/** Retry budgets of one gateway, by service. */
export class RetryBudget {
  private readonly byService = new Map<string, ServiceRetryBudget>();
  private readonly startedAtMs: number;

  /**
   * @param limit Returns the current limit, which a reload may change.
   * @param gatewayCount Returns the number of gateways among which the slack is divided; undefined while it is not known.
   */
  constructor(
    private readonly limit: () => RetryLimit,
    private readonly time: TimeSource,
    private readonly gatewayCount: () => number | undefined,
  ) {
    this.startedAtMs = time.monotonicMs();
  }

  /** Earns credit for the first attempt of a request. */
  recordRequest(service: string): void {
    this.of(service).addCredit(this.limit().ratio * usedFraction);
  }

  /** Takes one retry from the budget; false when it is exhausted. */
  tryTake(service: string): boolean {
    const nowMs = this.time.monotonicMs();
    return this.of(service).tryTake(nowMs, this.limit().windowMs, this.ownSlack(nowMs));
  }

  /** Returns the remaining budget of each service that had requests. */
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
   * Slack of this gateway in the current window. With more gateways than slack, a gateway gets one retry in every few
   * windows, at times that differ between gateways.
   */
  private ownSlack(nowMs: number): number {
    const {slack, windowMs} = this.limit();
    if (nowMs - this.startedAtMs < windowMs) return 0;
    const gatewayCount = this.gatewayCount();
    // A gateway that knows of no other may be one of many, each of which would take the whole slack.
    if (gatewayCount === undefined) return 0;
    const slackPerGateway = (slack * usedFraction) / Math.max(1, gatewayCount);
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
  /** Times at which slack was taken, oldest first; at most as many as the slack of a window. */
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
