/** Measures the CPU time of making a plan for growing numbers of services, regions and targets; prints JSON. */
import type {Configuration, Intent, PlanRequest, Target} from '@cuminsill/types';
import {emptyConfiguration} from '@cuminsill/types';
import {makePlan} from '../make_plan';

interface ConfigurationSize {
  readonly services: number;
  readonly regions: number;
  readonly targetsPerServiceAndRegion: number;
}

const nowMs = 1_700_000_000_000;
const runs = 15;
const sizes: readonly ConfigurationSize[] = [
  {services: 4, regions: 3, targetsPerServiceAndRegion: 4},
  ...[10, 100, 1_000].map(services => ({services, regions: 3, targetsPerServiceAndRegion: 4})),
  ...[10, 100].map(regions => ({services: 10, regions, targetsPerServiceAndRegion: 4})),
  ...[10, 100, 1_000].map(count => ({
    services: 10,
    regions: 10,
    targetsPerServiceAndRegion: count,
  })),
  // Size of docs/design.md: 21 regions and about 2,000 sites, each with one target of every service.
  {services: 10, regions: 21, targetsPerServiceAndRegion: 95},
];

function makeConfiguration(size: ConfigurationSize): Configuration {
  const regionIds = Array.from({length: size.regions}, (_, index) => `region-${index}`);
  const serviceIds = Array.from({length: size.services}, (_, index) => `service-${index}`);
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
          Array.from({length: size.targetsPerServiceAndRegion}, (_, index) =>
            makeTarget(serviceId, regionId, index),
          ),
        ),
      ),
      demands: serviceIds.flatMap(serviceId =>
        regionIds.map(callerRegionId => ({serviceId, callerRegionId, requestsPerS: 20})),
      ),
    },
  };
}

/** Targets of every service are divided evenly between two sites per region. */
function makeTarget(serviceId: string, regionId: string, index: number): Target {
  const siteId = `${regionId}-${index % 2}`;
  return {
    id: `${serviceId}-${regionId}-${index}`,
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
  const cpuTimesMs = Array.from({length: runs}, () => {
    const start = process.cpuUsage();
    makePlan(configuration, request, live, nowMs, 'key');
    const usage = process.cpuUsage(start);
    return (usage.user + usage.system) / 1000;
  });
  return cpuTimesMs.sort((a, b) => a - b)[runs >> 1] ?? NaN;
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
