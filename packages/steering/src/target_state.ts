/**
 * What one entry knows of one target: its slots, its own recent results, the last report, and whether the
 * target is leaving, down or starting.
 */
import type {Target, TargetReport} from '@cuminsill/types';
import {hash32} from '@cuminsill/utils';
import type {HeapItem} from './target_heap';

/** Attempts without an answer in a row after which a target counts as down. */
const unansweredUntilDown = 3;
/** A target that a report calls failing counts as down after one attempt without an answer. */
const unansweredUntilDownWhenReported = 1;
/** First time that a target stays down; doubled on each failed trial. */
const initialDownMs = 1000;
const maxDownMs = 30_000;
/** A report of good health ends "leaving" only when it was observed this much later. */
const minLeavingMs = 10_000;
/** Weight of a new latency in the running mean. */
const latencyWeight = 0.1;
/** Own recent sheds and failures count this much in the expected wait, each. */
const recentFailureFactor = 0.5;
const maxRecentFailures = 8;

/** Shortest penalty of a failed attempt, for targets that fail within a few milliseconds. */
const minPenaltyMs = 50;
const maxPenaltyMs = 5000;

/** One slot that this entry holds. */
export interface Slot {
  readonly slotId: number;
  readonly target: TargetState;
  /** Number of the slot at its target; -1 for a borrowed slot. */
  readonly slotIndex: number;
  /** False when the slot was taken away while it was in use. */
  held: boolean;
  busy: boolean;
  /** Not usable before this monotonic time: a penalty, a loan to a peer, or the hand-over from another owner. */
  blockedUntilMs: number;
  /** Id of the loan that lends this slot to a peer. */
  lentLoanId?: string;
  /** Loan that the slot was borrowed by, with its lender. */
  readonly loanId?: string;
  readonly lenderId?: string;
  /** Monotonic time after which a borrowed slot must not be in use; infinite for an own slot. */
  readonly expiresAtMs: number;
  /** Monotonic time of the last release. */
  idleSinceMs: number;
}

/** Settings that all targets of a pool share. */
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
  /** Counts that the pool keeps up to date. */
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
   * @param startedAtMs Monotonic time when the target started; `-Infinity` when it has been up for long.
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

  /** True while the target must not get new work, whatever its slots. */
  get isLeaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  /** True when recent attempts got no answer, until a trial succeeds. */
  get isDown(): boolean {
    return this.downSinceMs !== undefined;
  }

  /** True when the target may get new work now, at least a trial. */
  mayReceiveWork(nowMs: number): boolean {
    if (this.isLeaving) return false;
    return !this.isDown || (nowMs >= this.nextTrialAtMs && this.inFlight === 0);
  }

  /** Slots that may be used while the target starts: one, and one more per step; a trial may use any. */
  openSlots(nowMs: number): number {
    if (this.isDown) return this.target.slots;
    const uptimeMs = nowMs - this.startedAtMs;
    if (uptimeMs === Infinity) return this.target.slots;
    return Math.min(this.target.slots, 1 + Math.floor(uptimeMs / this.settings.slowStartStepMs));
  }

  /** True until slow start has opened all slots. */
  isStarting(nowMs: number): boolean {
    return this.isDown || this.openSlots(nowMs) < this.target.slots;
  }

  /** True when the slot can take a request now. */
  isFree(slot: Slot, nowMs: number): boolean {
    if (!slot.held || slot.busy || nowMs < slot.blockedUntilMs || nowMs >= slot.expiresAtMs) {
      return false;
    }
    return slot.slotIndex < this.openSlots(nowMs);
  }

  /** Learns from an answer. */
  recordAnswer(durationMs: number, nowMs: number): void {
    this.averageLatencyMs += latencyWeight * (durationMs - this.averageLatencyMs);
    this.consecutiveUnanswered = 0;
    this.recentFailures = Math.max(0, this.recentFailures - 1);
    if (this.isDown) this.beginSlowStart(nowMs);
  }

  /** Learns from a shed request or an error answer; the target is alive. Returns the failures in a row. */
  recordFailure(nowMs: number): number {
    this.consecutiveUnanswered = 0;
    this.recentFailures = Math.min(maxRecentFailures, this.recentFailures + 1);
    if (this.isDown) this.beginSlowStart(nowMs);
    return this.recentFailures;
  }

  /** Learns from an attempt without an answer. Returns the failures in a row. */
  recordUnanswered(nowMs: number, nowWallMs: number): number {
    this.consecutiveUnanswered += 1;
    this.recentFailures = Math.min(maxRecentFailures, this.recentFailures + 1);
    const isReportedFailing = this.currentReport(nowWallMs)?.health === 'failing';
    const maxUnanswered = isReportedFailing ? unansweredUntilDownWhenReported : unansweredUntilDown;
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

  /** Adopts a report unless a newer one is known. */
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

  /** Notes that the target said it is leaving. */
  markLeaving(nowWallMs: number): void {
    this.leavingSinceMs = nowWallMs;
  }

  /** Begins slow start. */
  beginSlowStart(nowMs: number): void {
    this.downSinceMs = undefined;
    this.nextTrialAtMs = -Infinity;
    this.consecutiveUnanswered = 0;
    this.startedAtMs = nowMs;
  }

  /** Recomputes the expected wait; a target that is reported as failing comes after all others. */
  updateScore(nowWallMs: number): void {
    const report = this.currentReport(nowWallMs);
    const failureFactor = 1 + this.recentFailures * recentFailureFactor;
    const isReportedFull = report !== undefined && report.reportedInFlight > this.target.slots;
    const expectedWaitMs =
      this.averageLatencyMs * (this.inFlight + 1) * failureFactor * (isReportedFull ? 1.5 : 1);
    this.score = report?.health === 'failing' ? expectedWaitMs + 1e9 : expectedWaitMs;
  }

  /** True when a report that is still fresh says that the target fails. */
  isReportedFailing(nowWallMs: number): boolean {
    return this.currentReport(nowWallMs)?.health === 'failing';
  }

  private currentReport(nowWallMs: number): TargetReport | undefined {
    const {report} = this;
    if (report === undefined) return undefined;
    return nowWallMs - report.observedAtMs <= this.settings.reportMaxAgeMs ? report : undefined;
  }
}

/** Order of choice: the lowest expected wait, then the seeded tie-break. */
export function isBetterTarget(a: TargetState, b: TargetState): boolean {
  if (a.score !== b.score) return a.score < b.score;
  if (a.tieBreak !== b.tieBreak) return a.tieBreak < b.tieBreak;
  return a.target.id < b.target.id;
}

/**
 * Time that a slot stays busy after a failed attempt: at least the typical latency, so that a target that fails
 * fast never looks idle, and twice as long for each further failure in a row.
 */
export function penaltyMs(consecutiveFailures: number, averageLatencyMs: number): number {
  const baseMs = Math.max(minPenaltyMs, averageLatencyMs);
  const backoffMs = baseMs * 2 ** Math.max(0, consecutiveFailures - 1);
  return Math.min(Math.max(maxPenaltyMs, baseMs), backoffMs);
}
