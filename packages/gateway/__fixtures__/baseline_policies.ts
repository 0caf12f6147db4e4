/** Simple placement policies as baselines for the gateway's placement. */
import {hash32} from '@cuminsill/utils';
import {RegionalShare} from '../src/regional_shares';
import type {Placement} from '../src/targets/placement';
import {placeRequest} from '../src/targets/placement';
import type {Target} from '../src/targets/target';
import type {PlacementPolicy} from './service_simulation';

/** Chooses the target with the fewest requests according to its reports. */
export const leastLoaded: PlacementPolicy = (request, targets, {nowMs, serviceTime}) =>
  lowestCost(targets, request.attemptedTargetIds, target =>
    target.load.estimateRequests(nowMs, serviceTime.averageMs()),
  );

/** Chooses the target with the fewest requests of this gateway; breaks ties by rendezvous hashing of the object. */
export const leastInFlightWithHash: PlacementPolicy = (request, targets, {ownRegion}) =>
  lowestCost(targets, request.attemptedTargetIds, target => {
    const distance = target.region === ownRegion ? 0 : 100;
    const hash = hash32(`${target.id}/${request.objectKey ?? ''}`) / 2 ** 32;
    return distance + target.load.inFlight / target.slots + hash;
  });

/** The gateway's placement with regional shares that follow from slots alone, as those of a share without reports do. */
export const bySlotsAlone: PlacementPolicy = (request, targets, view) =>
  placeRequest(request, targets, {...view, regionalShare: new RegionalShare()});

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
  return {target: best.target, expectedMs: 0, waitMs: 0, isHeld: false};
}
