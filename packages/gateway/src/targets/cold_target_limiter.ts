/**
 * Keeps the total rate of requests from all gateways to a cold target below the rate that it can take. A few gateways
 * are selected as senders, and each sender spaces its requests.
 */
import type {SenderFleetTiming} from '../peers/sender_fleet';
import {senderRank, SenderRank} from './sender_rank';

/** Limit on the requests to a cold target. */
export interface ColdLimit {
  /** Requests that all gateways together may send in any second. */
  readonly requestsPerS: number;
}

/** Minimum interval of one gateway's requests to a cold target: one second plus the jitter of network delays. */
export const minColdIntervalMs = 1_100;

/** The feed of gateways reads changes twice a second; the rest of the lag is for the answers of the store. */
export const coldSenderTiming: SenderFleetTiming = {
  sendIntervalMs: minColdIntervalMs,
  maxListLagMs: 1_100,
};

/**
 * Fraction of the limit that is used. The rest covers gateways whose list is older than others expect, and requests with
 * different network delays.
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
  return senderRank(targetId, gatewayName, gatewayNames) < coldSenderCount(limit);
}

/** Limits the requests of one gateway to one cold target. */
export class ColdTargetLimiter {
  /** When a request was sent last, by this gateway or possibly by another one. */
  private lastSentAtMs = Number.NEGATIVE_INFINITY;
  private readonly senderRank = new SenderRank();

  /** Same as `isColdSender`, but ranks the gateways only when their list changes. */
  isSender(
    limit: ColdLimit,
    targetId: string,
    gatewayName: string,
    gatewayNames: readonly string[],
  ): boolean {
    return this.rankOf(targetId, gatewayName, gatewayNames) < coldSenderCount(limit);
  }

  /** Rank of this gateway among the senders to the target; 0 is the first. */
  rankOf(targetId: string, gatewayName: string, gatewayNames: readonly string[]): number {
    return this.senderRank.of(targetId, gatewayName, gatewayNames);
  }

  /** True when the minimum interval since the last request has passed. */
  isIntervalOver(nowMs: number): boolean {
    return nowMs - this.lastSentAtMs >= minColdIntervalMs;
  }

  /** Records that a request is sent now, also to a target that is not known to be cold. */
  recordSend(nowMs: number): void {
    this.lastSentAtMs = nowMs;
  }

  /**
   * Records that the target has become cold while gateways used it. What any of them sent just before counts for the limit,
   * so the senders begin after an interval without requests.
   */
  onColdInUse(nowMs: number): void {
    this.lastSentAtMs = nowMs;
  }
}
