/**
 * Decides whether a request is sent, or refused at once because its answer would come too late.
 *
 * Pattern of load: a service is asked for more than it can do. If every request waits, every answer is late. So the wait is
 * bounded such that what is accepted is answered in time, and the rest is told when to come back.
 */

/** What the decision depends on. */
export interface AdmissionInput {
  readonly expectedMs: number;
  readonly waitMs: number;
  /** Time left until the caller gives up, in milliseconds. */
  readonly remainingMs: number;
  /** Time left until an answer loses most of its use, in milliseconds; negative once that has passed. */
  readonly latencyBudgetMs: number;
  /** Rank among the routes of the service; 0 is the most urgent. */
  readonly priority: number;
  /** Differs between requests, from 0 to 1: refused callers come back spread over time. */
  readonly jitter: number;
}

/** The decision. */
export type Admission =
  {readonly kind: 'send'} | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** A wait that is short against the work is accepted even when the answer is late because of the work itself. */
const maxWaitToServiceTimeRatio = 0.6;
/** Waits of less urgent routes end sooner by this part per rank, so that urgent requests find room. */
const waitFractionLostPerRank = 0.12;
const minWaitFraction = 0.5;
const minRetryAfterMs = 150;
/** Callers come back within this part of the wait after the first of them could. */
const maxJitterFraction = 0.5;

/** Decides on one request. */
export function admit(input: AdmissionInput): Admission {
  const {expectedMs, waitMs, remainingMs, latencyBudgetMs, priority} = input;
  const serviceTimeMs = expectedMs - waitMs;
  if (expectedMs > remainingMs) return refuse(expectedMs - remainingMs, input);
  const waitFraction = Math.max(minWaitFraction, 1 - waitFractionLostPerRank * priority);
  const maxWaitMs = Math.max(
    serviceTimeMs * maxWaitToServiceTimeRatio * waitFraction,
    (latencyBudgetMs - serviceTimeMs) * waitFraction,
  );
  if (waitMs <= maxWaitMs) return {kind: 'send'};
  return refuse(waitMs - maxWaitMs, input);
}

function refuse(excessMs: number, {waitMs, jitter}: AdmissionInput): Admission {
  // The queue shrinks as fast as work is done, so the excess is gone after about as long.
  const capacityAfterMs = Math.max(minRetryAfterMs, Math.min(excessMs, waitMs));
  return {kind: 'refuse', retryAfterMs: capacityAfterMs * (1 + jitter * maxJitterFraction)};
}
