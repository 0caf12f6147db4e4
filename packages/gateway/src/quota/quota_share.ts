/**
 * One workspace at a gateway that serves its callers: the allowance granted by the owner, and the requests that wait for a
 * grant. No request runs without a token: with 88 gateways, one free request of each would exceed the bound of a workspace of a
 * few requests a second, whose callers a gateway sees every half minute. A wait takes one round trip, at most 110 ms.
 */
import type {QuotaVerdict} from './quota_verdict';
import type {Instant} from './pause_detector';
import {elapsedMs} from './pause_detector';
import type {QuotaGrant, QuotaReport} from './quota_messages';
import {
  allowanceLifetimeMs,
  maxGrantWaitMs,
  ownerTimeoutMs,
  reportIntervalMs,
  retransmitAfterMs,
} from './quota_rules';

/** Time constant of the demand's moving average. */
const demandTimeConstantMs = 1_000;
/** An allowance covers the demand of this long: a report interval and a round trip, with a margin. */
const expectedHorizonMs = 500;
/** With less demand a token would usually expire, so requests wait for theirs. */
const minExpectedPerS = 0.25;
/** Requests wait for tokens that come within this long; otherwise they are refused. */
const maxBacklogMs = 300;
const maxWaiting = 100;
/** A workspace counts as limited until no request was refused for this long. */
const limitedForMs = 5_000;

/** A request that waits for a grant. */
export interface WaitingRequest {
  resolve(verdict: QuotaVerdict): void;
}

interface Waiter {
  readonly request: WaitingRequest;
  readonly since: Instant;
}

interface ReportInFlight {
  readonly report: QuotaReport;
  readonly owner: string;
  readonly firstSent: Instant;
  lastSent: Instant;
}

/** What there is to do about a workspace. */
export type ShareAction =
  | {readonly kind: 'none'}
  | {readonly kind: 'report'}
  | {readonly kind: 'send-again'; readonly report: QuotaReport; readonly owner: string}
  | {readonly kind: 'owner-silent'; readonly owner: string};

/** The allowance of one workspace. */
export class QuotaShare {
  private tokens = 0;
  private grantedFrom: Instant;
  private inFlight: ReportInFlight | undefined;
  private waiters: readonly Waiter[] = [];
  private demandPerS = 0;
  private demandAt: Instant;
  private lastReport: Instant | undefined;
  private hasUse = false;
  private refusal: {readonly from: Instant; readonly forMs: number; readonly backlogMs: number};
  private lastRefused: Instant | undefined;
  private loggedLimited = false;

  /** @param random Returns a number from 0 to 1, to spread the times at which callers return. */
  constructor(
    now: Instant,
    private readonly random: () => number,
  ) {
    this.grantedFrom = now;
    this.demandAt = now;
    this.refusal = {from: now, forMs: 0, backlogMs: 0};
  }

  /** Decides about a request, or lets it wait; undefined when it waits. */
  take(now: Instant, request: WaitingRequest): QuotaVerdict | undefined {
    this.decayDemand(now);
    this.demandPerS += 1000 / demandTimeConstantMs;
    this.hasUse = true;
    if (this.waiters.length === 0 && this.useToken(now)) return {kind: 'within'};
    const isRefusing = this.refuseLeftMs(now) > 0 && this.refusal.backlogMs > maxBacklogMs;
    if (isRefusing || this.waiters.length >= maxWaiting) return this.refuse(now);
    this.waiters = [...this.waiters, {request, since: now}];
    return undefined;
  }

  /** Returns a token of a request that was not run. */
  giveBack(now: Instant): void {
    if (this.allowance(now) > 0) this.tokens += 1;
  }

  /** Unused tokens. */
  allowance(now: Instant): number {
    if (elapsedMs(this.grantedFrom, now) >= allowanceLifetimeMs) this.tokens = 0;
    return this.tokens;
  }

  /** Age of the allowance: time since its report was sent. */
  allowanceAgeMs(now: Instant): number {
    return elapsedMs(this.grantedFrom, now);
  }

  /** Whether requests were refused recently. */
  isLimited(now: Instant): boolean {
    return this.lastRefused !== undefined && elapsedMs(this.lastRefused, now) < limitedForMs;
  }

  /** Whether requests have begun or ceased to be refused since the last call; undefined without a change. */
  takeLimitChange(now: Instant): boolean | undefined {
    const isLimited = this.isLimited(now);
    if (isLimited === this.loggedLimited) return undefined;
    this.loggedLimited = isLimited;
    return isLimited;
  }

  /** True when the share holds nothing that matters later. */
  isIdle(now: Instant): boolean {
    const isUsed = this.waiters.length > 0 || this.inFlight !== undefined || this.loggedLimited;
    return !isUsed && this.allowance(now) === 0 && elapsedMs(this.demandAt, now) > limitedForMs;
  }

  /** What to do now. */
  nextAction(now: Instant): ShareAction {
    this.refuseLongWaiting(now);
    const {inFlight} = this;
    if (inFlight !== undefined) {
      const {report, owner} = inFlight;
      if (elapsedMs(inFlight.firstSent, now) >= ownerTimeoutMs) {
        this.inFlight = undefined;
        return {kind: 'owner-silent', owner};
      }
      if (elapsedMs(inFlight.lastSent, now) < retransmitAfterMs) return {kind: 'none'};
      inFlight.lastSent = now;
      return {kind: 'send-again', report, owner};
    }
    return this.isReportDue(now) ? {kind: 'report'} : {kind: 'none'};
  }

  /** Makes a report that is sent to the owner now. */
  makeReport(
    now: Instant,
    owner: string,
    head: Pick<QuotaReport, 'workspace' | 'startedAtMs' | 'sequence' | 'hasSkipped'>,
  ): QuotaReport {
    const target = this.targetTokens(now);
    const tokens = this.allowance(now);
    const returned = tokens > 2 * target ? tokens - target : 0;
    this.tokens -= returned;
    const expected = Math.max(0, target - this.tokens);
    const waiting = this.waiters.length;
    const report = {...head, held: this.tokens, returned, waiting, expected};
    this.inFlight = {report, owner, firstSent: now, lastSent: now};
    this.lastReport = now;
    this.hasUse = false;
    return report;
  }

  /** Applies the answer to the report under way; others are too late. Returns whether it was applied. */
  applyGrant(now: Instant, sender: string, grant: QuotaGrant): boolean {
    const {inFlight} = this;
    if (inFlight?.owner !== sender || inFlight.report.sequence !== grant.sequence) return false;
    this.inFlight = undefined;
    if (grant.owner !== undefined) return true;
    // The owner counts the tokens that the report has named as kept until the same time.
    this.tokens = this.allowance(now) + grant.granted;
    this.grantedFrom = inFlight.firstSent;
    this.refusal = {from: now, forMs: grant.refuseForMs, backlogMs: grant.backlogMs};
    while (this.waiters.length > 0 && this.useToken(now)) this.shiftWaiter({kind: 'within'});
    if (grant.refuseForMs > 0 && grant.backlogMs > maxBacklogMs) {
      while (this.waiters.length > 0) this.shiftWaiter(this.refuse(now));
    }
    return true;
  }

  private isReportDue(now: Instant): boolean {
    if (this.refuseLeftMs(now) > 0) return false;
    if (this.waiters.length > 0) return true;
    const target = this.targetTokens(now);
    const tokens = this.allowance(now);
    const sinceReportMs =
      this.lastReport === undefined ? Infinity : elapsedMs(this.lastReport, now);
    if (this.hasUse && tokens < target / 2 && sinceReportMs >= reportIntervalMs / 5) return true;
    return this.hasUse && target + tokens > 0 && sinceReportMs >= reportIntervalMs;
  }

  private targetTokens(now: Instant): number {
    this.decayDemand(now);
    if (this.demandPerS < minExpectedPerS) return 0;
    return Math.ceil((this.demandPerS * expectedHorizonMs) / 1000);
  }

  private decayDemand(now: Instant): void {
    const sinceMs = Math.max(0, elapsedMs(this.demandAt, now));
    this.demandPerS *= Math.exp(-sinceMs / demandTimeConstantMs);
    this.demandAt = now;
  }

  private useToken(now: Instant): boolean {
    if (this.allowance(now) < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private refuse(now: Instant): QuotaVerdict {
    this.lastRefused = now;
    const {backlogMs} = this.refusal;
    const earliestMs = Math.max(this.refuseLeftMs(now), backlogMs / 2);
    return {kind: 'exceeded', retryAfterMs: Math.ceil(earliestMs + backlogMs * this.random())};
  }

  private refuseLeftMs(now: Instant): number {
    return Math.max(0, this.refusal.forMs - elapsedMs(this.refusal.from, now));
  }

  private refuseLongWaiting(now: Instant): void {
    for (;;) {
      const [first] = this.waiters;
      if (first === undefined || elapsedMs(first.since, now) < maxGrantWaitMs) return;
      this.shiftWaiter(this.refuse(now));
    }
  }

  private shiftWaiter(verdict: QuotaVerdict): void {
    const [first, ...rest] = this.waiters;
    this.waiters = rest;
    first?.request.resolve(verdict);
  }

  /** Removes a waiting request whose caller has left. */
  cancel(request: WaitingRequest): void {
    this.waiters = this.waiters.filter(waiter => waiter.request !== request);
  }
}
