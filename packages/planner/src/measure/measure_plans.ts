/** Measures the CPU time of a plan against growing numbers of services, regions and targets; prints JSON. */
import type {Configuration, Intent, PlanRequest, Target} from '@cuminsill/types';
import {emptyConfiguration} from '@cuminsill/types';
import {makePlan} from '../make_plan';

interface Size {
  readonly services: number;
  readonly regions: number;
  readonly targetsPerServiceAndRegion: number;
}

const nowMs = 1_700_000_000_000;
const runs = 15;
const sizes: readonly Size[] = [
  {services: 4, regions: 3, targetsPerServiceAndRegion: 4},
  ...[10, 100, 1_000].map(services => ({services, regions: 3, targetsPerServiceAndRegion: 4})),
  ...[10, 100].map(regions => ({services: 10, regions, targetsPerServiceAndRegion: 4})),
  ...[10, 100, 1_000].map(count => ({
    services: 10,
    regions: 10,
    targetsPerServiceAndRegion: count,
  })),
  // Design size: 21 regions and 2,000 sites, each with one target of every service.
  {services: 10, regions: 21, targetsPerServiceAndRegion: 95},
];

function makeConfiguration(size: Size): Configuration {
  const regionIds = Array.from({length: size.regions}, (_, n) => `region-${n}`);
  const serviceIds = Array.from({length: size.services}, (_, n) => `service-${n}`);
  return {
    version: 1,
    intents: [],
    catalog: {
      ...emptyConfiguration.catalog,
      regions: regionIds.map(id => ({id, name: id})),
      links: regionIds.flatMap((fromRegionId, a) =>
        regionIds
          .slice(a + 1)
          .map((toRegionId, b) => ({fromRegionId, toRegionId, oneWayLatencyMs: 10 + b})),
      ),
      services: serviceIds.map(id => ({
        id,
        trafficClass: 'interactive',
        idempotency: 'idempotent',
        defaultTimeoutMs: 5_000,
        notRunStatuses: [503],
        expectedServiceMs: 60,
      })),
      targets: serviceIds.flatMap(serviceId =>
        regionIds.flatMap(regionId =>
          Array.from({length: size.targetsPerServiceAndRegion}, (_, n) =>
            makeTarget(serviceId, regionId, n),
          ),
        ),
      ),
      demands: serviceIds.flatMap(serviceId =>
        regionIds.map(callerRegionId => ({serviceId, callerRegionId, requestsPerS: 20})),
      ),
    },
  };
}

/** Each region has two sites, each with half of the targets of every service. */
function makeTarget(serviceId: string, regionId: string, n: number): Target {
  const siteId = `${regionId}-${n % 2}`;
  return {
    id: `${serviceId}-${regionId}-${n}`,
    serviceId,
    siteId,
    regionId,
    failureDomainId: siteId,
    address: {host: '127.0.0.1', port: 9_000},
    slots: 3,
    maxConnections: 330,
  };
}

const intents: Readonly<Record<string, Intent>> = {
  route: {
    kind: 'route',
    id: 'move',
    serviceId: 'service-0',
    callerRegionId: 'region-0',
    shares: [
      {regionId: 'region-0', share: 0.6},
      {regionId: 'region-1', share: 0.4},
    ],
    maxMovedShare: 0.1,
    windowS: 60,
  },
  drain: {kind: 'drain', id: 'drain', siteId: 'region-0-0'},
};

function medianCpuMs(configuration: Configuration, intent: Intent): number {
  const request: PlanRequest = {action: 'put', intent};
  const live = {loads: [], coldTargetIds: []};
  const times = Array.from({length: runs}, () => {
    const start = process.cpuUsage();
    makePlan(configuration, request, live, nowMs, 'key');
    const used = process.cpuUsage(start);
    return (used.user + used.system) / 1000;
  });
  return times.sort((a, b) => a - b)[runs >> 1] ?? NaN;
}

const rows = sizes.map(size => {
  const configuration = makeConfiguration(size);
  const targets = configuration.catalog.targets.length;
  const cpuMs = Object.fromEntries(
    Object.entries(intents).map(([kind, intent]) => [kind, medianCpuMs(configuration, intent)]),
  );
  return {...size, targets, cpuMs};
});
console.log(JSON.stringify({node: process.version, runs, rows}, null, 2));
