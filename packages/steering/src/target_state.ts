/**
 * State of one target as seen by one entry: the slots that the entry holds, the results of its recent attempts, the
 * last report, and whether the target is leaving, down or in slow start.
 */
import type {Target, TargetReport} from '@cuminsill/types';
import {hash32} from '@cuminsill/utils';
import type {HeapItem} from './target_heap';

/** Number of consecutive attempts without an answer after which a target counts as down. */
const unansweredUntilDown = 3;
/** The same for a target that is reported as failing. */
const unansweredUntilDownWhenReportedFailing = 1;
/** Time until the first trial request to a target that is down; doubled after each failed trial. */
const initialDownMs = 1000;
const maxDownMs = 30_000;
/** A healthy report ends the state `leaving` only if it was observed at least this much later than the announcement. */
const minLeavingMs = 10_000;
/** Weight of a new latency in the exponentially weighted moving average. */
const latencyWeight = 0.1;
/** Each recent rejection or failure at this entry adds this fraction to the expected wait. */
const recentFailureFactor = 0.5;
const maxRecentFailures = 8;

/** Minimum penalty of a failed attempt, for targets that fail within a few milliseconds. */
const minPenaltyMs = 50;
const maxPenaltyMs = 5000;

/** One slot of a target at this entry: an own one, also while it is lent, or a borrowed one. */
export interface Slot {
  readonly slotId: number;
  readonly target: TargetState;
  /** Index of the slot at its target; -1 for a borrowed slot. */
  readonly slotIndex: number;
  /** False if the entry lost the slot; it is removed when it is neither in use nor blocked. */
  held: boolean;
  busy: boolean;
  /** Monotonic time until which the slot is unusable: because of a penalty, a loan to a peer or a new owner. */
  blockedUntilMs: number;
  /** Id of the loan to a peer, while the slot is lent. */
  lentLoanId?: string;
  /** Loan and lender of a borrowed slot. */
  readonly loanId?: string;
  readonly lenderId?: string;
  /** Monotonic time at which a borrowed slot must be out of use, because its loan expires; infinite for an own slot. */
  readonly expiresAtMs: number;
  /** Monotonic time at which the slot was last released, or borrowed. */
  idleSinceMs: number;
}

/** Settings for all targets. */
export interface TargetSettings {
  readonly slowStartStepMs: number;
  readonly reportMaxAgeMs: number;
  readonly seed: number;
}

/** State of one target at one entry. */
export class TargetState implements HeapItem {
  heapIndex = -1;
  readonly slots: Slot[] = [];
  readonly tieBreak: number;
  inFlight = 0;
  /** Numbers that {@link SlotPool} keeps up to date. */
  freeSlots = 0;
  heldSlots = 0;
  score = 0;

  private averageLatencyMs: number;
  private consecutiveUnanswered = 0;
  private recentFailures = 0;
  private report: TargetReport | undefined;
  private leavingSinceMs: number | undefined;
  private downSinceMs: number | undefined;
  private nextTrialAtMs = -Infinity;
  private downDurationMs = initialDownMs;

  /**
   * @param startedAtMs Monotonic time at which the target started; `-Infinity` if it needs no slow start.
   * @param initialLatencyMs Latency to expect until there are own results.
   */
  constructor(
    public target: Target,
    private startedAtMs: number,
    initialLatencyMs: number,
    private readonly settings: TargetSettings,
  ) {
    this.tieBreak = hash32(target.id, settings.seed);
    this.averageLatencyMs = initialLatencyMs;
    this.updateScore(0);
  }

  /** True while the target is leaving and must not get new requests. */
  get isLeaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  /** True from several attempts without an answer until a trial request is answered. */
  get isDown(): boolean {
    return this.downSinceMs !== undefined;
  }

  /** True if the target may get a request now. A target that is down gets one trial request at a time. */
  mayReceiveWork(nowMs: number): boolean {
    if (this.isLeaving) return false;
    return !this.isDown || (nowMs >= this.nextTrialAtMs && this.inFlight === 0);
  }

  /** Number of slots that slow start has opened: one, and one more per step. A trial request may use any slot. */
  openSlots(nowMs: number): number {
    if (this.isDown) return this.target.slots;
    const uptimeMs = nowMs - this.startedAtMs;
    if (uptimeMs === Infinity) return this.target.slots;
    return Math.min(this.target.slots, 1 + Math.floor(uptimeMs / this.settings.slowStartStepMs));
  }

  /** True while the target is down or slow start has not opened all of its slots. */
  isStarting(nowMs: number): boolean {
    return this.isDown || this.openSlots(nowMs) < this.target.slots;
  }

  /** True if the slot can take a request now. */
  isFree(slot: Slot, nowMs: number): boolean {
    if (!slot.held || slot.busy || nowMs < slot.blockedUntilMs || nowMs >= slot.expiresAtMs) {
      return false;
    }
    return slot.slotIndex < this.openSlots(nowMs);
  }

  /** Records an answer. */
  recordAnswer(durationMs: number, nowMs: number): void {
    this.averageLatencyMs += latencyWeight * (durationMs - this.averageLatencyMs);
    this.consecutiveUnanswered = 0;
    this.recentFailures = Math.max(0, this.recentFailures - 1);
    if (this.isDown) this.beginSlowStart(nowMs);
  }

  /** Records a rejection or an error answer; the target is alive. Returns the number of recent failures. */
  recordFailure(nowMs: number): number {
    this.consecutiveUnanswered = 0;
    this.recentFailures = Math.min(maxRecentFailures, this.recentFailures + 1);
    if (this.isDown) this.beginSlowStart(nowMs);
    return this.recentFailures;
  }

  /** Records an attempt without an answer. Returns the number of such attempts in a row. */
  recordUnanswered(nowMs: number, nowWallMs: number): number {
    this.consecutiveUnanswered += 1;
    this.recentFailures = Math.min(maxRecentFailures, this.recentFailures + 1);
    const isReportedFailing = this.currentReport(nowWallMs)?.health === 'failing';
    const maxUnanswered = isReportedFailing
      ? unansweredUntilDownWhenReportedFailing
      : unansweredUntilDown;
    if (this.isDown) {
      this.downDurationMs = Math.min(maxDownMs, this.downDurationMs * 2);
      this.nextTrialAtMs = nowMs + this.downDurationMs;
    } else if (this.consecutiveUnanswered >= maxUnanswered) {
      this.downSinceMs = nowWallMs;
      this.downDurationMs = initialDownMs;
      this.nextTrialAtMs = nowMs + this.downDurationMs;
    }
    return this.consecutiveUnanswered;
  }

  /** Adopts a report unless the current one is as new. A report that is too old does not change the state. */
  applyReport(report: TargetReport, nowMs: number, nowWallMs: number): void {
    if (this.report !== undefined && report.observedAtMs <= this.report.observedAtMs) return;
    this.report = report;
    if (nowWallMs - report.observedAtMs > this.settings.reportMaxAgeMs) return;
    if (report.health === 'leaving') this.markLeaving(nowWallMs);
    if (report.health !== 'healthy') return;
    if (
      this.leavingSinceMs !== undefined &&
      report.observedAtMs > this.leavingSinceMs + minLeavingMs
    ) {
      this.leavingSinceMs = undefined;
      this.startedAtMs = nowMs;
    }
    if (this.downSinceMs !== undefined && report.observedAtMs > this.downSinceMs) {
      this.nextTrialAtMs = Math.min(this.nextTrialAtMs, nowMs + initialDownMs);
    }
  }

  /** Records that the target announced that it is leaving. */
  markLeaving(nowWallMs: number): void {
    this.leavingSinceMs = nowWallMs;
  }

  /** Ends the state `down`, if any, and begins slow start. */
  beginSlowStart(nowMs: number): void {
    this.downSinceMs = undefined;
    this.nextTrialAtMs = -Infinity;
    this.consecutiveUnanswered = 0;
    this.startedAtMs = nowMs;
  }

  /** Recomputes the score: the expected wait, with targets that are reported as failing after all others. */
  updateScore(nowWallMs: number): void {
    const report = this.currentReport(nowWallMs);
    const failureFactor = 1 + this.recentFailures * recentFailureFactor;
    const isReportedFull = report !== undefined && report.reportedInFlight > this.target.slots;
    const expectedWaitMs =
      this.averageLatencyMs * (this.inFlight + 1) * failureFactor * (isReportedFull ? 1.5 : 1);
    this.score = report?.health === 'failing' ? expectedWaitMs + 1e9 : expectedWaitMs;
  }

  /** True if the current report says that the target fails. */
  isReportedFailing(nowWallMs: number): boolean {
    return this.currentReport(nowWallMs)?.health === 'failing';
  }

  private currentReport(nowWallMs: number): TargetReport | undefined {
    const {report} = this;
    if (report === undefined) return undefined;
    return nowWallMs - report.observedAtMs <= this.settings.reportMaxAgeMs ? report : undefined;
  }
}

/** Prefers the target with the lower score; equal scores are ordered by the seeded tie-break, then by id. */
export function isBetterTarget(a: TargetState, b: TargetState): boolean {
  if (a.score !== b.score) return a.score < b.score;
  if (a.tieBreak !== b.tieBreak) return a.tieBreak < b.tieBreak;
  return a.target.id < b.target.id;
}

/**
 * Time that a slot stays blocked after a failed attempt: at least the average latency, so that a target that fails
 * fast does not look idle, doubled for each further failure.
 */
export function penaltyMs(failureCount: number, averageLatencyMs: number): number {
  const baseMs = Math.max(minPenaltyMs, averageLatencyMs);
  const backoffMs = baseMs * 2 ** Math.max(0, failureCount - 1);
  return Math.min(Math.max(maxPenaltyMs, baseMs), backoffMs);
}
