/**
 * Decides whether a request is sent, or refused at once because its answer would come too late.
 *
 * Pattern of load: a service is asked for more than it can do. If every request waits, every answer is late. So the wait is
 * bounded such that what is accepted is answered in time, and the rest is told when to come back.
 */

/** What the decision depends on. */
export interface AdmissionQuestion {
  readonly expectedMs: number;
  readonly waitMs: number;
  /** Time left until the caller gives up, in milliseconds. */
  readonly remainingMs: number;
  /** Time left until an answer loses most of its use, in milliseconds; negative once that has passed. */
  readonly usefulMs: number;
  /** Rank among the routes of the service; 0 is the most urgent. */
  readonly priority: number;
  /** Differs between requests, from 0 to 1: refused callers come back spread over time. */
  readonly spread: number;
}

/** The decision. */
export type Admission =
  {readonly kind: 'send'} | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** A wait that is short against the work is accepted even when the answer is late because of the work itself. */
const shortWaitShare = 0.6;
/** Waits of less urgent routes end sooner by this part per rank, so that urgent requests find room. */
const shareLostPerRank = 0.12;
const leastShare = 0.5;
const leastRetryAfterMs = 150;
/** Callers come back within this part of the wait after the first of them could. */
const spreadShare = 0.5;

/** Decides on one request. */
export function admit(question: AdmissionQuestion): Admission {
  const {expectedMs, waitMs, remainingMs, usefulMs, priority} = question;
  const workMs = expectedMs - waitMs;
  if (expectedMs > remainingMs) return refuse(expectedMs - remainingMs, question);
  const share = Math.max(leastShare, 1 - shareLostPerRank * priority);
  const acceptableMs = Math.max(workMs * shortWaitShare * share, (usefulMs - workMs) * share);
  if (waitMs <= acceptableMs) return {kind: 'send'};
  return refuse(waitMs - acceptableMs, question);
}

function refuse(excessMs: number, {waitMs, spread}: AdmissionQuestion): Admission {
  // The queue shrinks as fast as work is done, so the excess is gone after about as long.
  const roomAfterMs = Math.max(leastRetryAfterMs, Math.min(excessMs, waitMs));
  return {kind: 'refuse', retryAfterMs: roomAfterMs * (1 + spread * spreadShare)};
}
