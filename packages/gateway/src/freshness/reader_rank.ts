/**
 * The order in which gateways read the store for all. Each gateway ranks the gateways that it counts as alive, so there is
 * neither an election nor a leader: where views differ, one gateway reads more than needed.
 */
import {hash32} from '@cuminsill/utils';

/** A gateway that may read the store for others. */
export interface RankedGateway {
  readonly name: string;
  readonly failureDomain: string;
}

/**
 * Returns the rank of a gateway: 0 for the one that reads first. The first two are in different failure domains if there are
 * two, so that the loss of one domain leaves a reader.
 */
export function readerRank(own: RankedGateway, others: readonly RankedGateway[]): number {
  const ordered = [own, ...others]
    .map(gateway => ({gateway, hash: hash32(gateway.name)}))
    .sort((a, b) => a.hash - b.hash || (a.gateway.name < b.gateway.name ? -1 : 1))
    .map(({gateway}) => gateway);
  const [first] = ordered;
  const second = ordered.find(({failureDomain}) => failureDomain !== first?.failureDomain);
  if (own.name === first?.name) return 0;
  if (own.name === second?.name) return 1;
  const index = ordered.findIndex(({name}) => name === own.name);
  const secondIndex = second === undefined ? index : ordered.indexOf(second);
  return index < secondIndex ? index + 1 : index;
}
