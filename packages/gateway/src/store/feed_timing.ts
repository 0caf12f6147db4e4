/**
 * Timing of the calls of the feeds. A call whose answer is lost shows only by its timeout. For a watch that delays no change: the
 * freshness of the store's state (`freshness/`) ends a watch that has missed one. Lists, and the part of a call beyond its wait, are
 * given up early enough to be made again in the time in which a gateway must be up to date after a disruption.
 */

/** Timing of the calls of a feed. */
export interface FeedTiming {
  /** Maximum wait of one call for changes. */
  readonly maxWaitMs: number;
  /** Time that an answer may take beyond the wait; then the call is given up. */
  readonly answerTimeoutMs: number;
  /** Timeout of reading one page of a list. */
  readonly listTimeoutMs: number;
  /** Minimum time between two calls, so that one call fetches several frequent changes. */
  readonly minIntervalMs: number;
}

/** Kinds of feeds, by how soon changes must take effect. */
export type FeedUrgency = 'prompt' | 'batched' | 'relaxed';

/** A call without an answer is given up within this fraction of the time; the rest is for the calls that follow. */
const detectionFraction = 0.75;
/** Each watch has a price, so it waits long; half of the store's usual history of 20 s, so that a watch that is cut can be resumed. */
const watchWaitMs = 10_000;
const maxAnswerTimeoutMs = 1_000;
const maxListTimeoutMs = 2_000;

interface UrgencyTiming {
  readonly minIntervalMs: number;
  readonly maxWaitMs: number;
}

const urgencies: Readonly<Record<FeedUrgency, UrgencyTiming>> = {
  /** Configurations and evacuations change rarely and must take effect at once. */
  prompt: {minIntervalMs: 50, maxWaitMs: watchWaitMs},
  /** Targets change often; the interval lets one call fetch several changes. */
  batched: {minIntervalMs: 600, maxWaitMs: watchWaitMs},
  /** Heartbeats show which gateways are alive, so their list may lag. */
  relaxed: {minIntervalMs: 500, maxWaitMs: 20_000},
};

/**
 * Returns the timing of a feed.
 * @param resyncMs Time after a disruption within which the gateway must be up to date again.
 */
export function feedTiming(urgency: FeedUrgency, resyncMs: number): FeedTiming {
  const {minIntervalMs, maxWaitMs} = urgencies[urgency];
  const detectionMs = resyncMs * detectionFraction;
  return {
    maxWaitMs,
    answerTimeoutMs: Math.min(maxAnswerTimeoutMs, detectionMs / 2),
    listTimeoutMs: Math.min(maxListTimeoutMs, detectionMs),
    minIntervalMs,
  };
}
