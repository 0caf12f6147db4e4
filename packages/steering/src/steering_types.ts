/**
 * What the entry daemon asks of the steering decisions, and what it tells them. All times named `...Ms` without
 * `at` are durations; deadlines are on the monotonic clock of the process.
 */
import type {
  AppliedShare,
  Configuration,
  Member,
  PoisonSuspicion,
  ResultError,
  ServiceLoad,
  SiteLoad,
  Target,
  TargetReport,
  TrafficClass,
} from '@cuminsill/types';

/** One request that needs a target. */
export interface AssignmentRequest {
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly trafficClass: TrafficClass;
  /** Deadline on the monotonic clock in milliseconds. */
  readonly deadlineMs: number;
  /** Targets that were tried already. */
  readonly excludedTargetIds: readonly string[];
}

/** A target with one of its slots, held until it is released. */
export interface Assignment {
  readonly target: Target;
  /** True when the request went to another region than its share says, because that one was full or lost. */
  readonly overflow: boolean;
  /** Identifies the slot within the process. */
  readonly slotId: number;
}

/** How an attempt at a target ended. */
export type AttemptResult =
  | 'answered'
  /** The target answered with an error of its own (5xx that is not a contract's not-run status). */
  | 'failed'
  /** The target declined without running the request. */
  | 'shed'
  /** No connection could be made. */
  | 'connect-failed'
  /** The connection was lost without a whole answer. */
  | 'connection-lost'
  | 'timed-out'
  | 'cancelled';

/** Ends the wait for a slot. */
export type CancelWait = () => void;

/** A slot that another entry lends. */
export interface SlotLoan {
  readonly loanId: string;
  readonly targetId: string;
  readonly durationMs: number;
}

/** Asks peers for idle slots; called at most once at a time per service and region. */
export type BorrowSlots = (serviceId: string, targetRegionId: string, wantedSlots: number) => void;

/** Settings of the decisions. */
export interface SteeringOptions {
  readonly instanceId: string;
  readonly regionId: string;
  readonly freezeAfterMs: number;
  readonly slowStartStepMs: number;
  readonly queuePerSlot: number;
  readonly reportMaxAgeMs: number;
  readonly seed: number;
}

/** The decisions of one entry process. */
export interface SteeringDecisions {
  /** Adopts a configuration; ignores one that is older than the one in force. */
  updateConfiguration(configuration: Configuration): void;
  updateMembers(members: readonly Member[]): void;
  updateReports(reports: readonly TargetReport[]): void;
  /** Tells how long the control process has been without contact to the store and to all peers. */
  updateContactAge(contactAgeMs: number): void;
  /** Notes that a target said it is leaving. */
  markLeaving(targetId: string): void;

  /**
   * Finds a slot, at once or when one becomes free. Calls back exactly once, with an assignment or with the
   * refusal, unless the wait is cancelled first. The call-back may run before `assign` returns.
   */
  assign(
    request: AssignmentRequest,
    onResult: (result: Assignment | ResultError) => void,
  ): CancelWait;
  /** Gives the slot back and learns from the attempt. */
  release(assignment: Assignment, result: AttemptResult, durationMs: number): void;

  /** Lends idle slots to another entry. */
  lendSlots(
    borrowerId: string,
    serviceId: string,
    targetRegionId: string,
    wantedSlots: number,
  ): readonly SlotLoan[];
  /** Adds borrowed slots; `askedAtMs` is the monotonic time when the borrowing call was sent. */
  acceptLoans(lenderId: string, loans: readonly SlotLoan[], borrowSentAtMs: number): void;
  /** Takes back slots that a borrower has returned early. */
  takeBackLoans(loanIds: readonly string[]): void;

  /** Targets that this entry has to probe. */
  targetsToProbe(): readonly Target[];
  loads(): readonly ServiceLoad[];
  /** Sites with requests in flight. */
  siteLoads(): readonly SiteLoad[];
  appliedShares(): readonly AppliedShare[];
  /** Re-evaluates waits and expiries; called every 50 ms and after updates. */
  tick(): void;
}

/** Decides which requests are refused because they took targets down. */
export interface PoisonDecisions {
  isQuarantined(fingerprint: string): boolean;
  /** Notes that a target answered the request, so it does not take down every target that runs it. */
  recordAnswered(fingerprint: string): void;
  /** Notes that a target stopped answering while it ran the request; returns the suspicion to spread. */
  recordLostTarget(fingerprint: string, targetId: string): PoisonSuspicion;
  mergeSuspicions(suspicions: readonly PoisonSuspicion[]): void;
  suspicions(): readonly PoisonSuspicion[];
}
