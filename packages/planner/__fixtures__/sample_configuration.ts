/** Sample configuration: three regions, each with two failure domains of one site. */
import type {Configuration, Intent, RouteIntent, Target} from '@cuminsill/types';
import {applyChange} from '@cuminsill/planner';

export const nowMs = 1_700_000_000_000;
export const signingKey = 'test-signing-key';
export const noLiveLoads = {loads: [], coldTargetIds: []};

/** Each region has a capacity of 4 targets x 3 slots x 1000 / 60 ms = 200 requests/s for each service. */
export function sampleConfiguration(requestsPerS = 100): Configuration {
  const regionIds = ['este', 'litoral', 'montevideo'];
  const serviceIds = ['photos', 'proofs'];
  return {
    version: 4,
    intents: [],
    catalog: {
      regions: regionIds.map(id => ({id, name: id})),
      failureDomains: regionIds.flatMap(regionId =>
        ['a', 'b'].map(letter => ({id: `${regionId}-${letter}`, regionId})),
      ),
      links: [
        {fromRegionId: 'montevideo', toRegionId: 'litoral', oneWayLatencyMs: 55},
        {fromRegionId: 'montevideo', toRegionId: 'este', oneWayLatencyMs: 56},
        {fromRegionId: 'litoral', toRegionId: 'este', oneWayLatencyMs: 57},
      ],
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
          [0, 1, 2, 3].map(index => makeTarget(serviceId, regionId, index)),
        ),
      ),
      clientBlocks: [],
      demands: serviceIds.flatMap(serviceId =>
        regionIds.map(callerRegionId => ({serviceId, callerRegionId, requestsPerS})),
      ),
    },
  };
}

function makeTarget(serviceId: string, regionId: string, index: number): Target {
  const failureDomainId = `${regionId}-${index < 2 ? 'a' : 'b'}`;
  return {
    id: `${serviceId}-${regionId}-${index}`,
    serviceId,
    siteId: failureDomainId,
    regionId,
    failureDomainId,
    address: {host: '127.0.0.1', port: 9000 + index},
    slots: 3,
    maxConnections: 360,
  };
}

/** A route intent for callers in Montevideo. */
export function routeIntent(
  shares: Readonly<Record<string, number>>,
  overrides?: Partial<RouteIntent>,
) {
  const intent: RouteIntent = {
    kind: 'route',
    id: 'r1',
    serviceId: 'proofs',
    callerRegionId: 'montevideo',
    shares: Object.entries(shares).map(([regionId, share]) => ({regionId, share})),
    maxMovedShare: 0.2,
    windowS: 30,
    ...overrides,
  };
  return intent;
}

export function drainIntent(siteId: string, id = `drain-${siteId}`): Intent {
  return {kind: 'drain', id, siteId};
}

/** Applies the intents to the configuration, in order. */
export function withIntents(
  configuration: Configuration,
  intents: readonly Intent[],
  acceptedAtMs = nowMs - 86_400_000,
): Configuration {
  return intents.reduce(
    (current, intent) =>
      applyChange(current, {
        version: current.version + 1,
        author: 'ana',
        acceptedAtMs,
        planDigest: intent.id,
        body: {
          kind: 'put-intent',
          intent,
          previousShares:
            intent.kind === 'route' ? [{regionId: intent.callerRegionId, share: 1}] : [],
        },
      }),
    configuration,
  );
}
