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
  readonly targetsPerRegion: readonly number[];
  readonly slotsPerTarget: number;
  /** Part of the requests that are sent as batch. */
  readonly batchFraction: number;
}

/** A deployment to measure. */
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

/** Requests per second that one service's targets in one region can serve. */
export function capacityPerS(service: BenchService, targetCount: number): number {
  return (targetCount * service.slotsPerTarget * 1000) / service.serviceMs;
}

function makeDeployment(
  name: string,
  regionIds: readonly string[],
  latencies: {readonly interRegionLatencyMs: number; readonly intraRegionLatencyMs: number},
  services: readonly BenchService[],
): Deployment {
  const [first = '', ...others] = regionIds;
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
  const options = {demands, linkMs: latencies.interRegionLatencyMs};
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
