/**
 * Ranks the gateways that may send to a target which takes only few requests. Gateways do not coordinate: rendezvous
 * hashing gives the same order at every gateway that knows the same list of gateways.
 */
import {hash32} from '@cuminsill/utils';

/** Rank of a gateway among the senders to a target; 0 is the first. */
export function senderRank(
  targetId: string,
  gatewayName: string,
  gatewayNames: readonly string[],
): number {
  const ownHash = hash32(`${gatewayName}/${targetId}`);
  let rank = 0;
  for (const name of gatewayNames) {
    if (name !== gatewayName && hash32(`${name}/${targetId}`) > ownHash) rank += 1;
  }
  return rank;
}

interface KnownRank {
  readonly gatewayNames: readonly string[];
  readonly rank: number;
}

/** Remembers the rank of one gateway among the senders to one target. */
export class SenderRank {
  private known: KnownRank | undefined;

  /** Same as `senderRank`, recomputed only when the list of gateways changes. */
  of(targetId: string, gatewayName: string, gatewayNames: readonly string[]): number {
    if (this.known?.gatewayNames === gatewayNames) return this.known.rank;
    const rank = senderRank(targetId, gatewayName, gatewayNames);
    this.known = {gatewayNames, rank};
    return rank;
  }
}
