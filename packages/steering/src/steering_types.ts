/**
 * The interface between the entry daemon and its steering decisions. Deadlines and points in time are on the monotonic
 * clock of the process unless stated otherwise.
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
  /** Targets that earlier attempts of the request were sent to. */
  readonly excludedTargetIds: readonly string[];
}

/** A target and one of its slots, which is in use until it is released. */
export interface Assignment {
  readonly target: Target;
  /** True if the request goes to another region than the shares assign it to, because that region is full or lost. */
  readonly overflow: boolean;
  /** Identifies the slot within the process. */
  readonly slotId: number;
}

/** How an attempt at a target ended. */
export type AttemptResult =
  | 'answered'
  /** The target answered with an error: a 5xx status that the service contract does not list as not-run. */
  | 'failed'
  /** The target rejected the request: it did not run it. */
  | 'shed'
  /** No connection could be established. */
  | 'connect-failed'
  /** The connection was lost before the answer was complete. */
  | 'connection-lost'
  | 'timed-out'
  | 'cancelled';

/** Cancels the wait for a slot. */
export type CancelWait = () => void;

/** A slot that another entry lends. */
export interface SlotLoan {
  readonly loanId: string;
  readonly targetId: string;
  readonly durationMs: number;
}

/** Asks peers to lend idle slots; called at most every 100 ms per service and region. */
export type BorrowSlots = (serviceId: string, targetRegionId: string, wantedSlots: number) => void;

/** Settings of the steering decisions. */
export interface SteeringOptions {
  readonly instanceId: string;
  readonly regionId: string;
  /** Time without contact after which the ramps of the shares stop. */
  readonly freezeAfterMs: number;
  /** Interval at which slow start opens another slot of a target. */
  readonly slowStartStepMs: number;
  /** Maximum number of waiting requests per slot. */
  readonly queuePerSlot: number;
  /** Reports that are older are ignored. */
  readonly reportMaxAgeMs: number;
  /** Seed of the tie-break between targets of equal score. */
  readonly seed: number;
}

/** The steering decisions of one entry process. */
export interface SteeringDecisions {
  /** Adopts a configuration unless the current one has the same or a higher version. */
  updateConfiguration(configuration: Configuration): void;
  updateMembers(members: readonly Member[]): void;
  updateReports(reports: readonly TargetReport[]): void;
  /** Sets how long the control process has had contact neither to the platform store nor to any peer. */
  updateContactAge(contactAgeMs: number): void;
  /** Records that a target announced that it is leaving; it gets no new requests. */
  markLeaving(targetId: string): void;

  /**
   * Finds a slot for a request, immediately or when one becomes free. Calls `onResult` exactly once, with an assignment
   * or a refusal, unless the wait is cancelled first. The callback may run before `assign` returns.
   */
  assign(
    request: AssignmentRequest,
    onResult: (result: Assignment | ResultError) => void,
  ): CancelWait;
  /** Frees the slot of an assignment and records the result of the attempt. */
  release(assignment: Assignment, result: AttemptResult, durationMs: number): void;

  /** Lends idle slots to another entry, at most `wantedSlots`. */
  lendSlots(
    borrowerId: string,
    serviceId: string,
    targetRegionId: string,
    wantedSlots: number,
  ): readonly SlotLoan[];
  /** Adds borrowed slots; `borrowSentAtMs` is the monotonic time at which the borrow request was sent. */
  acceptLoans(lenderId: string, loans: readonly SlotLoan[], borrowSentAtMs: number): void;
  /** Ends loans that the borrower returned early. */
  takeBackLoans(loanIds: readonly string[]): void;

  /** Targets whose health this entry probes. */
  targetsToProbe(): readonly Target[];
  loads(): readonly ServiceLoad[];
  /** Number of requests in flight at each site that has any. */
  siteLoads(): readonly SiteLoad[];
  appliedShares(): readonly AppliedShare[];
  /** Advances ramps, serves or refuses waiting requests and borrows slots; called every 50 ms and after updates. */
  tick(): void;
}

/** Detects poison requests, which are refused because they took targets down. */
export interface PoisonDecisions {
  isQuarantined(fingerprint: string): boolean;
  /** True if one more target that goes down under the request, sent again or not, would quarantine it. */
  wouldQuarantine(fingerprint: string, isRepeat: boolean): boolean;
  /** True if a target went down under the request and no answer has followed. */
  isSuspected(fingerprint: string): boolean;
  /**
   * Records that a target answered the request. Unless the answer is a server error, it removes the suspicion, which is
   * returned.
   */
  recordAnswered(fingerprint: string, status: number): PoisonSuspicion | undefined;
  /**
   * Records that a target stopped answering while it ran the request. Returns the suspicion to share.
   * @param isRepeat True if the request was sent after an earlier loss was known.
   */
  recordLostTarget(
    fingerprint: string,
    targetId: string,
    isRepeat: boolean,
  ): PoisonSuspicion | undefined;
  mergeSuspicions(suspicions: readonly PoisonSuspicion[]): void;
  suspicions(): readonly PoisonSuspicion[];
}
