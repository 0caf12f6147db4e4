/**
 * Keeps the requests that all gateways together send to a cold target under the rate that it bears. Gateways do not
 * coordinate: of many, only a few that all agree on may use the target, and each of those spaces its requests.
 */
import {hash32} from '@cuminsill/utils';

/** What bounds the requests to a cold target. */
export interface ColdLimit {
  /** Requests in any second that all gateways together may send. */
  readonly requestsPerS: number;
}

/** Least time between two requests of one gateway to a cold target; one second plus the jitter of their travel. */
export const minColdIntervalMs = 1_100;

/**
 * Part of the limit that is used. The rest covers gateways that disagree for a moment about who else is there, and
 * requests whose travel times differ.
 */
const usedFraction = 0.7;

/** Number of gateways that may use a cold target at the same time. */
export function coldSenderCount(limit: ColdLimit): number {
  return Math.max(1, Math.floor(limit.requestsPerS * usedFraction));
}

/** True when this gateway is among those that may use the cold target. */
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

/** The last answer of `maySendToCold` and what it was for. */
interface SenderDecision {
  readonly senders: number;
  readonly gatewayNames: readonly string[];
  readonly isSender: boolean;
}

/** Spaces the requests of one gateway to one cold target. */
export class ColdTargetLimiter {
  private lastSentAtMs = Number.NEGATIVE_INFINITY;
  private lastDecision: SenderDecision | undefined;

  /** `maySendToCold`, computed anew only when the limit or the list of gateways is another one. */
  isSender(
    limit: ColdLimit,
    targetId: string,
    gatewayName: string,
    gatewayNames: readonly string[],
  ): boolean {
    const senders = coldSenderCount(limit);
    const {lastDecision: choice} = this;
    if (choice?.senders === senders && choice.gatewayNames === gatewayNames) return choice.isSender;
    const may = isColdSender(limit, targetId, gatewayName, gatewayNames);
    this.lastDecision = {senders, gatewayNames, isSender: may};
    return may;
  }

  /** True when the spacing allows a request now. */
  isIntervalOver(nowMs: number): boolean {
    return nowMs - this.lastSentAtMs >= minColdIntervalMs;
  }

  /** Notes a request that is sent now. */
  recordSend(nowMs: number): void {
    this.lastSentAtMs = nowMs;
  }
}
