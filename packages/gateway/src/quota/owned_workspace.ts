/** One workspace at its owner: answers reports with grants from the bucket. */
import type {QuotaBounds, RequestQuota} from '../gateway_types';
import {OwnedBucket} from './owned_bucket';
import type {OwnerRole, OwnerTerm} from './owner_term';
import type {ClaimAnswer, QuotaGrant, QuotaReport} from './quota_messages';
import {
  allowanceLifetimeMs,
  bucketCapacity,
  fallbackRateFraction,
  standbyRateFraction,
} from './quota_rules';

/** Tokens for expected requests take at most this part of the bucket, so that others find some for waiting requests. */
const expectedPart = 1 / 4;
/** A holder counts as active for this long after its report. */
const activeHolderMs = 1_000;
/** Limits the reports about a workspace to 200 a second while requests are refused. */
const refusalMsPerHolder = 5;
const minRefusalMs = 100;
const maxRefusalMs = 1_000;

/** The limit in force. */
export interface QuotaRule {
  readonly quota: RequestQuota;
  readonly bounds: QuotaBounds;
}

interface Holder {
  startedAtMs: number;
  sequence: number;
  lastGrant: QuotaGrant;
  /** Requests of its last report that got no token. */
  unserved: number;
  reportedAtMs: number;
}

/** Grants the tokens of one workspace; all times are monotonic. */
export class OwnedWorkspace {
  private readonly bucket: OwnedBucket;
  private readonly holders = new Map<string, Holder>();
  private lastYield: {readonly claimant: string; readonly answer: ClaimAnswer} | undefined;
  private readonly createdAtMs: number;

  constructor(
    private readonly workspace: string,
    private readonly term: OwnerTerm,
    nowMs: number,
  ) {
    this.bucket = new OwnedBucket(nowMs);
    this.createdAtMs = nowMs;
  }

  get role(): OwnerRole {
    return this.term.role;
  }

  /** Tokens that can be granted. */
  get level(): number {
    return this.bucket.level;
  }

  /** Time since this gateway first handled the workspace. */
  ageMs(nowMs: number): number {
    return nowMs - this.createdAtMs;
  }

  /** Tokens in allowances that may still be used. */
  outstanding(nowMs: number): number {
    return this.bucket.outstanding(nowMs);
  }

  /**
   * Updates the role, and the bucket up to now.
   * @param fraction Fraction of the listed gateways that this one counts as alive.
   * @param fleetSize Number of gateways.
   */
  update(nowMs: number, rule: QuotaRule, fraction: number, fleetSize: number): void {
    const isVoid = this.term.update(nowMs, fraction);
    const ratePerS = rule.quota.ratePerS * this.rateFraction(nowMs, fraction, fleetSize);
    this.bucket.refill(nowMs, ratePerS, bucketCapacity(rule.quota, rule.bounds));
    if (isVoid) this.bucket.clear();
  }

  /** Answers a report after `update`; undefined for a late duplicate. */
  answerReport(
    sender: string,
    report: QuotaReport,
    nowMs: number,
    rule: QuotaRule,
  ): QuotaGrant | undefined {
    const known = this.holders.get(sender);
    if (known !== undefined && isRepeated(report, known)) {
      const isLast = report.sequence === known.sequence && report.startedAtMs === known.startedAtMs;
      return isLast ? known.lastGrant : undefined;
    }
    this.bucket.takeBack(sender, report.returned);
    const owner = report.hasSkipped ? undefined : this.term.otherOwner;
    const granted = owner === undefined ? this.countGranted(report) : 0;
    this.bucket.grant(sender, report.held, granted, nowMs + allowanceLifetimeMs);
    const unserved = owner === undefined ? Math.max(0, report.waiting - granted) : 0;
    const {startedAtMs, sequence} = report;
    const lastGrant: QuotaGrant = {
      workspace: this.workspace,
      sequence,
      granted,
      ...this.refusal(sender, unserved, nowMs, rule),
      owner,
    };
    this.holders.set(sender, {startedAtMs, sequence, lastGrant, unserved, reportedAtMs: nowMs});
    return lastGrant;
  }

  /** Hands the workspace over to a higher-ranked gateway. A repeated claim gets the same answer. */
  yieldTo(claimant: string, claimId: number, nowMs: number): ClaimAnswer {
    this.term.recordPresent(claimant, nowMs);
    const {lastYield} = this;
    if (lastYield?.claimant === claimant && lastYield.answer.claim === claimId) {
      return lastYield.answer;
    }
    const answer: ClaimAnswer = {
      workspace: this.workspace,
      claim: claimId,
      hasYielded: true,
      level: this.bucket.level,
      outstanding: this.bucket.outstanding(nowMs),
    };
    this.bucket.clear();
    this.lastYield = {claimant, answer};
    return answer;
  }

  /** Records the claim of a lower-ranked gateway that does not hear this one. */
  recordClaim(claimant: string, share: number, nowMs: number): void {
    if (share > 0) this.term.recordClaim(claimant, share, nowMs);
  }

  /** Takes over what another gateway has yielded. */
  recordAnswer(sender: string, answer: ClaimAnswer, nowMs: number): void {
    if (!answer.hasYielded) this.term.recordPresent(sender, nowMs);
    if (!this.term.recordAnswer(sender, answer.claim) || !answer.hasYielded) return;
    const expiresAtMs = nowMs + allowanceLifetimeMs;
    this.bucket.takeOver(sender, answer.level, answer.outstanding, expiresAtMs);
  }

  private rateFraction(nowMs: number, fraction: number, fleetSize: number): number {
    const byRole: Readonly<Record<OwnerRole, number>> = {
      owner: Math.min(fraction, 1 - this.term.claimedShare(nowMs)),
      claiming: fraction * standbyRateFraction,
      standby: fraction * standbyRateFraction,
      fallback: fallbackRateFraction / Math.max(1, fleetSize),
    };
    return byRole[this.term.role];
  }

  private countGranted({waiting, expected}: QuotaReport): number {
    const available = Math.max(0, Math.floor(this.bucket.level));
    const forWaiting = Math.min(waiting, available);
    const forExpected = Math.min(expected, Math.floor((available - forWaiting) * expectedPart));
    return forWaiting + forExpected;
  }

  private refusal(
    sender: string,
    unserved: number,
    nowMs: number,
    {quota}: QuotaRule,
  ): Pick<QuotaGrant, 'refuseForMs' | 'backlogMs'> {
    if (unserved === 0) return {refuseForMs: 0, backlogMs: 0};
    let [activeHolders, backlog] = [1, unserved];
    for (const [name, holder] of this.holders) {
      if (name === sender || nowMs - holder.reportedAtMs > activeHolderMs) continue;
      activeHolders += 1;
      backlog += holder.unserved;
    }
    const refuseForMs = Math.min(
      maxRefusalMs,
      Math.max(minRefusalMs, activeHolders * refusalMsPerHolder),
    );
    return {refuseForMs, backlogMs: Math.round((backlog / quota.ratePerS) * 1000)};
  }
}

function isRepeated(report: QuotaReport, known: Holder): boolean {
  if (report.startedAtMs !== known.startedAtMs) return report.startedAtMs < known.startedAtMs;
  return report.sequence <= known.sequence;
}
