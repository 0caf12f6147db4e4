/**
 * Keeps the total rate of requests from all gateways to a cold target below the rate that it can take. Gateways do not
 * coordinate: rendezvous hashing selects the same few senders at every gateway, and each sender spaces its requests.
 */
import {hash32} from '@cuminsill/utils';

/** Limit on the requests to a cold target. */
export interface ColdLimit {
  /** Requests that all gateways together may send in any second. */
  readonly requestsPerS: number;
}

/** Minimum interval of one gateway's requests to a cold target: one second plus the jitter of network delays. */
export const minColdIntervalMs = 1_100;

/**
 * Fraction of the limit that is used. The rest covers gateways that briefly disagree about the list of gateways, and
 * requests with different network delays.
 */
const usedFraction = 0.7;

/** Number of gateways that may send to a cold target. */
export function coldSenderCount(limit: ColdLimit): number {
  return Math.max(1, Math.floor(limit.requestsPerS * usedFraction));
}

/** True when this gateway is among those that may send to the cold target. */
export function isColdSender(
  limit: ColdLimit,
  targetId: string,
  gatewayName: string,
  gatewayNames: readonly string[],
): boolean {
  const senders = coldSenderCount(limit);
  if (gatewayNames.length <= senders) return true;
  const ownRank = hash32(`${gatewayName}/${targetId}`);
  let higherRankedCount = 0;
  for (const name of gatewayNames) {
    if (name !== gatewayName && hash32(`${name}/${targetId}`) > ownRank) higherRankedCount += 1;
  }
  return higherRankedCount < senders;
}

/** Cached result of `isColdSender` and its inputs. */
interface SenderDecision {
  readonly senders: number;
  readonly gatewayNames: readonly string[];
  readonly isSender: boolean;
}

/** Limits the requests of one gateway to one cold target. */
export class ColdTargetLimiter {
  private lastSentAtMs = Number.NEGATIVE_INFINITY;
  private cached: SenderDecision | undefined;

  /** Same as `isColdSender`, recomputed only when the limit or the list of gateways changes. */
  isSender(
    limit: ColdLimit,
    targetId: string,
    gatewayName: string,
    gatewayNames: readonly string[],
  ): boolean {
    const senders = coldSenderCount(limit);
    const {cached} = this;
    if (cached?.senders === senders && cached.gatewayNames === gatewayNames) return cached.isSender;
    const isSender = isColdSender(limit, targetId, gatewayName, gatewayNames);
    this.cached = {senders, gatewayNames, isSender};
    return isSender;
  }

  /** True when the minimum interval since the last request has passed. */
  isIntervalOver(nowMs: number): boolean {
    return nowMs - this.lastSentAtMs >= minColdIntervalMs;
  }

  /** Records that a request is sent now. */
  recordSend(nowMs: number): void {
    this.lastSentAtMs = nowMs;
  }
}
