/** Constants of the quotas, and how the tolerated overshoot of a workspace is divided among the causes of overshoot. */
import type {QuotaBounds, RequestQuota} from '../gateway_types';

/** An allowance expires this long after its report was sent. */
export const allowanceLifetimeMs = 4_000;
/** An owner without an answer for this long is skipped. Covers three transmissions over the longest round trip of 110 ms. */
export const ownerTimeoutMs = 400;
/** A report without an answer is sent again after this long, longer than the longest round trip. */
export const retransmitAfterMs = 130;
/** How long an owner that did not answer is skipped, and how long a redirect to another owner is followed. */
export const skipOwnerMs = 2_000;
/** Interval of reports while a workspace is in use. */
export const reportIntervalMs = 250;
/** A gateway counts toward the owner's share of the limit while its latest heartbeat is at most this old. */
export const countedHeartbeatAgeMs = 1_500;
/**
 * A higher-ranked owner is presumed dead when its latest heartbeat is older. More than `countedHeartbeatAgeMs`, so that after
 * a partition each side has reduced its share before another owner takes over.
 */
export const presumedDeadAgeMs = 2_000;
/** A new owner waits this long for the answers of gateways that may have been the owner before. */
export const claimTimeoutMs = 300;
/** Claims without an answer are sent again after this long while the owner waits. */
export const claimRetransmitMs = 100;
/** Interval of the claims of an owner to higher-ranked ones that it presumes dead. */
export const claimIntervalMs = 1_000;
/** How long a received claim applies; two may be lost. */
export const claimLifetimeMs = 3_000;
/** After a pause this long, another gateway may have become the owner. */
export const maxPauseMs = 800;
/** Fraction of the rate that a second-ranked owner grants while the first one counts as alive but does not answer some. */
export const standbyRateFraction = 1 / 20;
/** Fraction of its equal share of the rate that any other gateway grants in that case. */
export const fallbackRateFraction = 1 / 40;
/** A request waits this long for a grant: one unresponsive owner, a claim and a round trip. */
export const maxGrantWaitMs = 900;

/** Part of the overshoot that extends the bucket; the rest covers changes of the owner and standby owners. */
const bucketOvershootPart = 0.4;
const bucketSlackPart = 0.5;

/**
 * Maximum of the tokens in the bucket and in allowances together. Since tokens in allowances count, a window of w seconds
 * runs at most `ratePerS` * w + this many requests, whenever the allowances are used.
 */
export function bucketCapacity(quota: RequestQuota, bounds: QuotaBounds): number {
  const windowRequests = (quota.ratePerS * bounds.windowMs) / 1000 + quota.burst;
  const overshoot = windowRequests * bounds.overshootRatio * bucketOvershootPart;
  return quota.burst + overshoot + bounds.slackRequests * bucketSlackPart;
}
