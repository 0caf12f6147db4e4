/**
 * Admission control: decides whether a request is sent, or refused at once because its answer would be late.
 *
 * When a service is overloaded and every request waits, every answer is late. The wait is therefore bounded so that
 * admitted requests are answered in time, and the others are told when to retry.
 */

/** Facts that the decision depends on. */
export interface AdmissionInput {
  /** Expected time until the answer, including the wait. */
  readonly expectedMs: number;
  /** Shortest possible time until the answer without a wait, as far as earlier answers show. */
  readonly minExpectedMs: number;
  /** Expected wait for a free slot at the target. */
  readonly waitMs: number;
  /** Time left until the request's deadline. */
  readonly remainingMs: number;
  /** Time left until the route's target latency; negative when it has passed. */
  readonly latencyBudgetMs: number;
  /** Rank among the routes of the service; 0 is the most urgent. */
  readonly priority: number;
  /** A number from 0 to 1 that differs between requests and spreads the retries of refused callers over time. */
  readonly jitter: number;
}

/**
 * Why a request is refused: its answer would come after its deadline, its wait would be too long for itself or for more
 * urgent requests, or its workspace has had its share.
 */
export type RefusalReason = 'deadline' | 'wait' | 'priority' | 'fair-share';

/** The decision, with the longest wait that the request accepts. */
export type Admission =
  | {readonly kind: 'send'; readonly acceptedWaitMs: number}
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      readonly acceptedWaitMs: number;
      readonly retryAfterMs: number;
    };

/**
 * A wait up to this multiple of the service time is accepted even when the service time alone makes the answer late.
 */
const maxWaitToServiceTimeRatio = 0.6;
/** The accepted wait shrinks by this fraction per priority rank, so that urgent requests find free capacity. */
const waitFractionLostPerRank = 0.12;
const minWaitFraction = 0.5;
/** Shortest time after which a refused caller may retry. */
export const minRetryAfterMs = 150;
/** Retries are spread over up to this fraction of the retry time. */
const maxJitterFraction = 0.5;

/** Decides whether to send or refuse a request. */
export function admit(input: AdmissionInput): Admission {
  return refuseForDeadline(input) ?? admitUpTo(acceptedWaitMs(input), 'wait', input);
}

/** Returns the refusal of a request that cannot be answered before its deadline. */
export function refuseForDeadline(input: AdmissionInput): Admission | undefined {
  const {expectedMs, minExpectedMs, waitMs, remainingMs} = input;
  // A free slot takes nothing from other requests, and how long this one takes is not known before it is run.
  const neededMs = waitMs > 0 ? expectedMs : minExpectedMs;
  if (neededMs <= remainingMs) return undefined;
  return refuse('deadline', acceptedWaitMs(input), neededMs - remainingMs, input);
}

/** Longest wait that the request accepts by its own objective or service time. */
export function acceptedWaitMs(input: AdmissionInput): number {
  const {expectedMs, waitMs, latencyBudgetMs, priority} = input;
  const serviceTimeMs = expectedMs - waitMs;
  const waitFraction = Math.max(minWaitFraction, 1 - waitFractionLostPerRank * priority);
  return Math.max(
    serviceTimeMs * maxWaitToServiceTimeRatio * waitFraction,
    (latencyBudgetMs - serviceTimeMs) * waitFraction,
  );
}

/** Sends a request that waits at most `maxWaitMs`, and refuses it otherwise. */
export function admitUpTo(
  maxWaitMs: number,
  reason: RefusalReason,
  input: AdmissionInput,
): Admission {
  if (input.waitMs <= maxWaitMs) return {kind: 'send', acceptedWaitMs: maxWaitMs};
  return refuse(reason, maxWaitMs, input.waitMs - maxWaitMs, input);
}

function refuse(
  reason: RefusalReason,
  maxWaitMs: number,
  excessMs: number,
  {waitMs, jitter}: AdmissionInput,
): Admission {
  // The queue drains at the speed of the service, so the excess wait is gone after about the same time.
  const capacityAfterMs = Math.max(minRetryAfterMs, Math.min(excessMs, waitMs));
  const retryAfterMs = spreadRetry(capacityAfterMs, jitter);
  return {kind: 'refuse', reason, acceptedWaitMs: maxWaitMs, retryAfterMs};
}

/** Spreads the retries of refused callers, so that they do not return together; `jitter` is from 0 to 1. */
export function spreadRetry(retryAfterMs: number, jitter: number): number {
  return retryAfterMs * (1 + jitter * maxJitterFraction);
}
