/** Makes configurations, members and options for tests and measurements. */
import type {
  Configuration,
  ConfirmedIntent,
  Demand,
  Member,
  RegionShare,
  ServiceContract,
  Target,
  TrafficClass,
} from '@cuminsill/types';
import type {SteeringOptions} from '../src';

const address = {host: '127.0.0.1', port: 1};

/** Steering options with the default values from the design page. */
export function makeSteeringOptions(instanceId: string, regionId: string): SteeringOptions {
  return {
    instanceId,
    regionId,
    freezeAfterMs: 60_000,
    slowStartStepMs: 2000,
    queuePerSlot: 4,
    reportMaxAgeMs: 10_000,
    seed: 1,
  };
}

/** A service contract with default values. */
export function makeService(
  id: string,
  trafficClass: TrafficClass = 'interactive',
  expectedServiceMs = 100,
  defaultTimeoutMs = 2000,
): ServiceContract {
  return {
    id,
    trafficClass,
    idempotency: 'idempotent',
    defaultTimeoutMs,
    notRunStatuses: [503],
    expectedServiceMs,
  };
}

/** Targets of one service in one region, each at a site of its own. */
export function makeTargets(
  serviceId: string,
  regionId: string,
  count: number,
  slots: number,
): readonly Target[] {
  return Array.from({length: count}, (_, index) => ({
    id: `${serviceId}-${regionId}-${index}`,
    serviceId,
    siteId: `site-${regionId}-${index}`,
    regionId,
    failureDomainId: `${regionId}-${index % 2}`,
    address,
    slots,
    maxConnections: 360,
  }));
}

/** Makes `countPerRegion` members in each region, named after the region. */
export function makeMembers(
  regionIds: readonly string[],
  countPerRegion: number,
): readonly Member[] {
  return regionIds.flatMap(regionId =>
    Array.from({length: countPerRegion}, (_, index) =>
      makeMember(`${regionId}-e${index}`, regionId),
    ),
  );
}

/** A serving member that can be reached. */
export function makeMember(id: string, regionId: string): Member {
  return {
    instance: {
      id,
      regionId,
      failureDomainId: `${regionId}-0`,
      callerAddress: address,
      entryPeerAddress: address,
      controlPeerAddress: address,
    },
    state: 'serving',
    reachability: 'reachable',
    incarnation: 1,
    configVersion: 1,
  };
}

/** A configuration in which all pairs of regions are linked with the same latency. */
export function makeConfiguration(
  regionIds: readonly string[],
  services: readonly ServiceContract[],
  targets: readonly Target[],
  overrides: {
    readonly version?: number;
    readonly intents?: readonly ConfirmedIntent[];
    readonly demands?: readonly Demand[];
    readonly linkLatencyMs?: number;
  } = {},
): Configuration {
  const links = regionIds.flatMap(from =>
    regionIds
      .filter(to => to > from)
      .map(to => ({
        fromRegionId: from,
        toRegionId: to,
        oneWayLatencyMs: overrides.linkLatencyMs ?? 10,
      })),
  );
  return {
    version: overrides.version ?? 1,
    catalog: {
      regions: regionIds.map(id => ({id, name: id})),
      failureDomains: regionIds.flatMap(id => [
        {id: `${id}-0`, regionId: id},
        {id: `${id}-1`, regionId: id},
      ]),
      links,
      services,
      targets,
      clientBlocks: [],
      demands: overrides.demands ?? [],
    },
    intents: overrides.intents ?? [],
  };
}

/** A confirmed route intent. */
export function makeRouteIntent(
  serviceId: string,
  callerRegionId: string,
  shares: readonly RegionShare[],
  previousShares: readonly RegionShare[],
  changes: {
    readonly id?: string;
    readonly version?: number;
    readonly maxMovedShare?: number;
    readonly windowS?: number;
    readonly confirmedAtMs?: number;
  } = {},
): ConfirmedIntent {
  return {
    intent: {
      kind: 'route',
      id: changes.id ?? 'move',
      serviceId,
      callerRegionId,
      shares,
      maxMovedShare: changes.maxMovedShare ?? 0.2,
      windowS: changes.windowS ?? 60,
    },
    version: changes.version ?? 2,
    confirmedBy: 'operator',
    confirmedAtMs: changes.confirmedAtMs ?? 1_700_000_000_000,
    previousShares,
  };
}
