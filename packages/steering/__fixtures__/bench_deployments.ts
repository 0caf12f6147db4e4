/** The two deployments of the design page, with service times chosen for the bench. */
import type {Catalog, Demand, Member, Target, TrafficClass} from '@cuminsill/types';
import {makeConfiguration, makeMembers, makeService, makeTargets} from './fleets';

/** A service as the bench loads it. */
export interface BenchService {
  readonly id: string;
  readonly trafficClass: TrafficClass;
  /** Mean time that a warm target takes. */
  readonly serviceMs: number;
  readonly timeoutMs: number;
  /** Endpoints per region. */
  readonly endpoints: readonly number[];
  readonly slots: number;
  /** Part of the requests that are sent as batch. */
  readonly batchShare: number;
}

/** A deployment to measure. */
export interface Deployment {
  readonly name: string;
  readonly regionIds: readonly string[];
  readonly betweenRegionsMs: number;
  readonly withinRegionMs: number;
  readonly services: readonly BenchService[];
  readonly members: readonly Member[];
  readonly catalog: Catalog;
}

function makeBenchService(
  id: string,
  trafficClass: TrafficClass,
  serviceMs: number,
  timeoutMs: number,
  endpoints: readonly number[],
  slots: number,
): BenchService {
  const batchShare = trafficClass === 'batch' ? 1 : 0.2;
  return {id, trafficClass, serviceMs, timeoutMs, endpoints, slots, batchShare};
}

/** Requests per second that one service's targets in one region can serve. */
export function capacityPerS(service: BenchService, targets: number): number {
  return (targets * service.slots * 1000) / service.serviceMs;
}

function makeDeployment(
  name: string,
  regionIds: readonly string[],
  latencies: {readonly betweenRegionsMs: number; readonly withinRegionMs: number},
  services: readonly BenchService[],
): Deployment {
  const [first = '', ...others] = regionIds;
  const targets: Target[] = [];
  const demands: Demand[] = [];
  for (const service of services) {
    regionIds.forEach((regionId, index) => {
      const endpoints = service.endpoints[index] ?? 0;
      targets.push(...makeTargets(service.id, regionId, endpoints, service.slots));
      const requestsPerS = 0.7 * capacityPerS(service, endpoints);
      demands.push({serviceId: service.id, callerRegionId: regionId, requestsPerS});
    });
  }
  const contracts = services.map(({id, trafficClass, serviceMs, timeoutMs}) =>
    makeService(id, trafficClass, serviceMs, timeoutMs),
  );
  const options = {demands, linkMs: latencies.betweenRegionsMs};
  return {
    name,
    regionIds,
    ...latencies,
    services,
    members: [...makeMembers([first], 4), ...makeMembers(others, 3)],
    catalog: makeConfiguration(regionIds, contracts, targets, options).catalog,
  };
}

/** Both deployments. */
export const deployments: readonly Deployment[] = [
  makeDeployment(
    'parishes',
    ['montevideo', 'litoral', 'este'],
    {betweenRegionsMs: 55, withinRegionMs: 1},
    [
      makeBenchService('proofs', 'interactive', 100, 2000, [5, 5, 4], 4),
      makeBenchService('print-runs', 'interactive', 150, 3000, [4, 4, 4], 3),
      makeBenchService('photos', 'upload', 500, 10_000, [4, 4, 4], 5),
      makeBenchService('archive', 'batch', 1500, 30_000, [4, 4, 4], 3),
    ],
  ),
  makeDeployment('tents', ['bajio', 'norte', 'sur'], {betweenRegionsMs: 12, withinRegionMs: 0.5}, [
    makeBenchService('availability', 'interactive', 80, 1500, [4, 4, 4], 3),
    makeBenchService('reservations', 'interactive', 150, 3000, [4, 4, 4], 3),
    makeBenchService('site-plans', 'upload', 500, 10_000, [4, 4, 4], 3),
    makeBenchService('reports', 'batch', 1500, 30_000, [4, 4, 4], 3),
  ]),
];
