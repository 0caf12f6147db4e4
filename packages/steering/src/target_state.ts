/**
 * What one entry knows of one target: its slots, its own recent results, the last report, and whether the
 * target is leaving, down or starting.
 */
import type {Target, TargetReport} from '@cuminsill/types';
import {hash32} from '@cuminsill/utils';
import type {HeapEntry} from './target_heap';

/** Attempts without an answer in a row after which a target counts as down. */
const failuresUntilDown = 3;
/** A target that a report calls failing counts as down after one attempt without an answer. */
const failuresUntilDownWhenReported = 1;
/** First time that a target stays down; doubled on each failed trial. */
const firstDownMs = 1000;
const longestDownMs = 30_000;
/** A report of good health ends "leaving" only when it was observed this much later. */
const leavingHoldMs = 10_000;
/** Weight of a new latency in the running mean. */
const latencyWeight = 0.1;
/** Own recent sheds and failures count this much in the expected wait, each. */
const troubleFactor = 0.5;
const largestTrouble = 8;

/** Shortest penalty of a failed attempt, for targets that fail within a few milliseconds. */
const shortestPenaltyMs = 50;
const longestPenaltyMs = 5000;

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
  lentAs?: string;
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
export class TargetState implements HeapEntry {
  heapIndex = -1;
  readonly slots: Slot[] = [];
  readonly tieBreak: number;
  inFlight = 0;
  /** Counts that the pool keeps up to date. */
  freeSlots = 0;
  heldSlots = 0;
  score = 0;

  private latencyMs: number;
  private silentFailures = 0;
  private trouble = 0;
  private report: TargetReport | undefined;
  private leavingSinceMs: number | undefined;
  private downSinceMs: number | undefined;
  private downUntilMs = -Infinity;
  private downMs = firstDownMs;

  /**
   * @param startedAtMs Monotonic time when the target started; `-Infinity` when it has been up for long.
   * @param typicalMs Latency to expect until there are own results.
   */
  constructor(
    public target: Target,
    private startedAtMs: number,
    typicalMs: number,
    private readonly settings: TargetSettings,
  ) {
    this.tieBreak = hash32(target.id, settings.seed);
    this.latencyMs = typicalMs;
    this.updateScore(0);
  }

  /** True while the target must not get new work, whatever its slots. */
  get leaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  /** True when recent attempts got no answer, until a trial succeeds. */
  get down(): boolean {
    return this.downSinceMs !== undefined;
  }

  /** True when the target may get new work now, at least a trial. */
  isOpen(nowMs: number): boolean {
    if (this.leaving) return false;
    return !this.down || (nowMs >= this.downUntilMs && this.inFlight === 0);
  }

  /** Slots that may be used while the target starts: one, and one more per step; a trial may use any. */
  openSlots(nowMs: number): number {
    if (this.down) return this.target.slots;
    const sinceMs = nowMs - this.startedAtMs;
    if (sinceMs === Infinity) return this.target.slots;
    return Math.min(this.target.slots, 1 + Math.floor(sinceMs / this.settings.slowStartStepMs));
  }

  /** True until slow start has opened all slots. */
  isStarting(nowMs: number): boolean {
    return this.down || this.openSlots(nowMs) < this.target.slots;
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
    this.latencyMs += latencyWeight * (durationMs - this.latencyMs);
    this.silentFailures = 0;
    this.trouble = Math.max(0, this.trouble - 1);
    if (this.down) this.restart(nowMs);
  }

  /** Learns from a shed request or an error answer; the target is alive. Returns the failures in a row. */
  recordTrouble(nowMs: number): number {
    this.silentFailures = 0;
    this.trouble = Math.min(largestTrouble, this.trouble + 1);
    if (this.down) this.restart(nowMs);
    return this.trouble;
  }

  /** Learns from an attempt without an answer. Returns the failures in a row. */
  recordSilence(nowMs: number, nowWallMs: number): number {
    this.silentFailures += 1;
    this.trouble = Math.min(largestTrouble, this.trouble + 1);
    const reported = this.freshReport(nowWallMs)?.health === 'failing';
    const limit = reported ? failuresUntilDownWhenReported : failuresUntilDown;
    if (this.down) {
      this.downMs = Math.min(longestDownMs, this.downMs * 2);
      this.downUntilMs = nowMs + this.downMs;
    } else if (this.silentFailures >= limit) {
      this.downSinceMs = nowWallMs;
      this.downMs = firstDownMs;
      this.downUntilMs = nowMs + this.downMs;
    }
    return this.silentFailures;
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
      report.observedAtMs > this.leavingSinceMs + leavingHoldMs
    ) {
      this.leavingSinceMs = undefined;
      this.startedAtMs = nowMs;
    }
    if (this.downSinceMs !== undefined && report.observedAtMs > this.downSinceMs) {
      this.downUntilMs = Math.min(this.downUntilMs, nowMs + firstDownMs);
    }
  }

  /** Notes that the target said it is leaving. */
  markLeaving(nowWallMs: number): void {
    this.leavingSinceMs = nowWallMs;
  }

  /** Begins slow start. */
  restart(nowMs: number): void {
    this.downSinceMs = undefined;
    this.downUntilMs = -Infinity;
    this.silentFailures = 0;
    this.startedAtMs = nowMs;
  }

  /** Recomputes the expected wait; a target that is reported as failing comes after all others. */
  updateScore(nowWallMs: number): void {
    const report = this.freshReport(nowWallMs);
    const trust = 1 + this.trouble * troubleFactor;
    const reportedFull = report !== undefined && report.reportedInFlight > this.target.slots;
    const wait = this.latencyMs * (this.inFlight + 1) * trust * (reportedFull ? 1.5 : 1);
    this.score = report?.health === 'failing' ? wait + 1e9 : wait;
  }

  /** True when a report that is still fresh says that the target fails. */
  isReportedFailing(nowWallMs: number): boolean {
    return this.freshReport(nowWallMs)?.health === 'failing';
  }

  private freshReport(nowWallMs: number): TargetReport | undefined {
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
export function penaltyMs(failures: number, typicalMs: number): number {
  const baseMs = Math.max(shortestPenaltyMs, typicalMs);
  const grownMs = baseMs * 2 ** Math.max(0, failures - 1);
  return Math.min(Math.max(longestPenaltyMs, baseMs), grownMs);
}
