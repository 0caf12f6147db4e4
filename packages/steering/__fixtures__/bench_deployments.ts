/** The two deployments that the design page describes, with service times for the policy benchmark. */
import type {Catalog, Demand, Member, Target, TrafficClass} from '@cuminsill/types';
import {makeConfiguration, makeMembers, makeService, makeTargets} from './fleets';

/** A service with its targets and load in the benchmark. */
export interface BenchService {
  readonly id: string;
  readonly trafficClass: TrafficClass;
  /** Mean service time of a warm target. */
  readonly serviceMs: number;
  readonly timeoutMs: number;
  /** Number of targets in each region of the deployment. */
  readonly targetsPerRegion: readonly number[];
  readonly slotsPerTarget: number;
  /** Fraction of the requests that are sent in the traffic class `batch`. */
  readonly batchFraction: number;
}

/** A deployment that the benchmark simulates. */
export interface Deployment {
  readonly name: string;
  readonly regionIds: readonly string[];
  readonly interRegionLatencyMs: number;
  readonly intraRegionLatencyMs: number;
  readonly services: readonly BenchService[];
  readonly members: readonly Member[];
  readonly catalog: Catalog;
}

function makeBenchService(
  id: string,
  trafficClass: TrafficClass,
  serviceMs: number,
  timeoutMs: number,
  targetsPerRegion: readonly number[],
  slotsPerTarget: number,
): BenchService {
  const batchFraction = trafficClass === 'batch' ? 1 : 0.2;
  return {
    id,
    trafficClass,
    serviceMs,
    timeoutMs,
    targetsPerRegion,
    slotsPerTarget,
    batchFraction,
  };
}

/** Requests per second that `targetCount` targets of a service can serve. */
export function capacityPerS(service: BenchService, targetCount: number): number {
  return (targetCount * service.slotsPerTarget * 1000) / service.serviceMs;
}

function makeDeployment(
  name: string,
  regionIds: readonly string[],
  latencies: {readonly interRegionLatencyMs: number; readonly intraRegionLatencyMs: number},
  services: readonly BenchService[],
): Deployment {
  const [firstRegionId = '', ...otherRegionIds] = regionIds;
  const targets: Target[] = [];
  const demands: Demand[] = [];
  for (const service of services) {
    regionIds.forEach((regionId, index) => {
      const targetCount = service.targetsPerRegion[index] ?? 0;
      targets.push(...makeTargets(service.id, regionId, targetCount, service.slotsPerTarget));
      const requestsPerS = 0.7 * capacityPerS(service, targetCount);
      demands.push({serviceId: service.id, callerRegionId: regionId, requestsPerS});
    });
  }
  const contracts = services.map(({id, trafficClass, serviceMs, timeoutMs}) =>
    makeService(id, trafficClass, serviceMs, timeoutMs),
  );
  const options = {demands, linkLatencyMs: latencies.interRegionLatencyMs};
  return {
    name,
    regionIds,
    ...latencies,
    services,
    members: [...makeMembers([firstRegionId], 4), ...makeMembers(otherRegionIds, 3)],
    catalog: makeConfiguration(regionIds, contracts, targets, options).catalog,
  };
}

/** Both deployments. */
export const deployments: readonly Deployment[] = [
  makeDeployment(
    'parishes',
    ['montevideo', 'litoral', 'este'],
    {interRegionLatencyMs: 55, intraRegionLatencyMs: 1},
    [
      makeBenchService('proofs', 'interactive', 100, 2000, [5, 5, 4], 4),
      makeBenchService('print-runs', 'interactive', 150, 3000, [4, 4, 4], 3),
      makeBenchService('photos', 'upload', 500, 10_000, [4, 4, 4], 5),
      makeBenchService('archive', 'batch', 1500, 30_000, [4, 4, 4], 3),
    ],
  ),
  makeDeployment(
    'tents',
    ['bajio', 'norte', 'sur'],
    {interRegionLatencyMs: 12, intraRegionLatencyMs: 0.5},
    [
      makeBenchService('availability', 'interactive', 80, 1500, [4, 4, 4], 3),
      makeBenchService('reservations', 'interactive', 150, 3000, [4, 4, 4], 3),
      makeBenchService('site-plans', 'upload', 500, 10_000, [4, 4, 4], 3),
      makeBenchService('reports', 'batch', 1500, 30_000, [4, 4, 4], 3),
    ],
  ),
];
