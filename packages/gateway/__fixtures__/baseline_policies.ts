/** Plain ways to choose a target, to compare the product's with. */
import {hash32} from '@cuminsill/utils';
import type {Placement} from '../src/placement';
import type {Target} from '../src/target';
import type {PlacementPolicy} from './service_simulation';

/** Fewest requests at the target, by its own reports. */
export const leastLoaded: PlacementPolicy = (request, targets, {nowMs, serviceTime: timing}) =>
  lowestCost(targets, request.attemptedTargetIds, target =>
    target.load.estimateRequests(nowMs, timing.averageMs()),
  );

/** Fewest requests of this gateway at the target, and among those the first choice of the object. */
export const leastInFlightWithHash: PlacementPolicy = (request, targets, {ownRegion}) =>
  lowestCost(targets, request.attemptedTargetIds, target => {
    const distance = target.region === ownRegion ? 0 : 100;
    const hash = hash32(`${target.id}/${request.objectKey ?? ''}`) / 2 ** 32;
    return distance + target.load.inFlight / target.slots + hash;
  });

function lowestCost(
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
