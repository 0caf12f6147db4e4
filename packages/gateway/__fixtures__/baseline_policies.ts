/** Plain ways to choose a target, to compare the product's with. */
import {hash32} from '@cuminsill/utils';
import type {Placement} from '../src/placement';
import type {Target} from '../src/target';
import type {Policy} from './service_model';

/** Fewest requests at the target, by its own reports. */
export const leastLoaded: Policy = (request, targets, {nowMs, timing}) =>
  lowest(targets, request.triedIds, target => target.load.estimate(nowMs, timing.meanWorkMs()));

/** Fewest requests of this gateway at the target, and among those the first choice of the object. */
export const leastInFlightWithHash: Policy = (request, targets, {ownRegion}) =>
  lowest(targets, request.triedIds, target => {
    const distance = target.region === ownRegion ? 0 : 100;
    const hash = hash32(`${target.id}/${request.objectKey ?? ''}`) / 2 ** 32;
    return distance + target.load.inFlight / target.slots + hash;
  });

function lowest(
  targets: readonly Target[],
  triedIds: ReadonlySet<string>,
  cost: (target: Target) => number,
): Placement | undefined {
  const [best] = targets
    .filter(({id}) => !triedIds.has(id))
    .map(target => ({target, cost: cost(target)}))
    .sort((a, b) => a.cost - b.cost);
  if (best === undefined) return undefined;
  return {target: best.target, expectedMs: 0, waitMs: 0};
}
