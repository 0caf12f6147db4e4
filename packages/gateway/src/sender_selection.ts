/**
 * Chooses which gateways may send to a target that takes only few requests. Gateways do not coordinate: rendezvous
 * hashing selects the same few senders at every gateway that knows the same list of gateways.
 */
import {hash32} from '@cuminsill/utils';

/** True when the gateway is among the given number of senders to the target. */
export function isAmongSenders(
  senderCount: number,
  targetId: string,
  gatewayName: string,
  gatewayNames: readonly string[],
): boolean {
  if (gatewayNames.length <= senderCount) return true;
  const ownRank = hash32(`${gatewayName}/${targetId}`);
  let higherRankedCount = 0;
  for (const name of gatewayNames) {
    if (name !== gatewayName && hash32(`${name}/${targetId}`) > ownRank) higherRankedCount += 1;
  }
  return higherRankedCount < senderCount;
}

interface Selection {
  readonly senderCount: number;
  readonly gatewayNames: readonly string[];
  readonly isSender: boolean;
}

/** Remembers whether one gateway is a sender to one target. */
export class SenderSelection {
  private cached: Selection | undefined;

  /** Same as `isAmongSenders`, recomputed only when the number of senders or the list of gateways changes. */
  isSender(
    senderCount: number,
    targetId: string,
    gatewayName: string,
    gatewayNames: readonly string[],
  ): boolean {
    const {cached} = this;
    const isCurrent = cached?.senderCount === senderCount && cached.gatewayNames === gatewayNames;
    if (isCurrent) return cached.isSender;
    const isSender = isAmongSenders(senderCount, targetId, gatewayName, gatewayNames);
    this.cached = {senderCount, gatewayNames, isSender};
    return isSender;
  }
}
