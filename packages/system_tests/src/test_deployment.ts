/** A small deployment: three instances in two regions, one service that may be repeated and one that may not. */
import type {Catalog, Instance, ServiceContract, SocketAddress, Target} from '@cuminsill/types';

/** Key that the instances share in tests. */
export const peerKey = 'system-tests-peer-key';

/** Token of the operator who may change things. */
export const operatorToken = 'system-tests-operator-token';

/** Token of the operator who may only read. */
export const viewerToken = 'system-tests-viewer-token';

/** Regions; callers of region n use the addresses 127.n.0.0/16. */
export const regionIds = ['north', 'south'] as const;

const instancePlans = [
  {id: 'instance-1', regionId: 'north', failureDomainId: 'north-1'},
  {id: 'instance-2', regionId: 'north', failureDomainId: 'north-2'},
  {id: 'instance-3', regionId: 'south', failureDomainId: 'south-1'},
];

const targetsPerRegion = 2;
const slotsPerTarget = 6;

/** Ports that the deployment needs: four for each instance, then one for each target. */
export const portCount = instancePlans.length * 4 + 2 * regionIds.length * targetsPerRegion;

/** A deployment with addresses. */
export interface TestDeployment {
  readonly catalog: Catalog;
  readonly instances: readonly Instance[];
  /** Address of the operators' API of each instance, in the order of `instances`. */
  readonly operatorAddresses: readonly SocketAddress[];
}

/** Makes the deployment with the given ports. */
export function makeTestDeployment(host: string, ports: readonly number[]): TestDeployment {
  const addresses = ports.map(port => ({host, port}));
  const take = (count: number) => addresses.splice(0, count);
  const operatorAddresses: SocketAddress[] = [];
  const instances = instancePlans.map((plan): Instance => {
    const [callerAddress, entryPeerAddress, controlPeerAddress, operators] = take(4);
    operatorAddresses.push(operators as SocketAddress);
    return {
      ...plan,
      callerAddress: callerAddress as SocketAddress,
      entryPeerAddress: entryPeerAddress as SocketAddress,
      controlPeerAddress: controlPeerAddress as SocketAddress,
    };
  });
  const services = [contract('reads', 'idempotent'), contract('orders', 'non-idempotent')];
  const targets = services.flatMap(service =>
    regionIds.flatMap(regionId => makeTargets(service.id, regionId, take(targetsPerRegion))),
  );
  return {catalog: makeCatalog(services, targets), instances, operatorAddresses};
}

function contract(id: string, idempotency: ServiceContract['idempotency']): ServiceContract {
  return {
    id,
    trafficClass: 'interactive',
    idempotency,
    defaultTimeoutMs: 30_000,
    notRunStatuses: [503],
    expectedServiceMs: 20,
  };
}

function makeTargets(
  serviceId: string,
  regionId: string,
  addresses: readonly SocketAddress[],
): readonly Target[] {
  return addresses.map((address, index) => ({
    id: `${serviceId}-${regionId}-${index + 1}`,
    serviceId,
    siteId: `${regionId}-site-${index + 1}`,
    regionId,
    failureDomainId: `${regionId}-1`,
    address,
    slots: slotsPerTarget,
    maxConnections: 200,
  }));
}

function makeCatalog(services: readonly ServiceContract[], targets: readonly Target[]): Catalog {
  return {
    regions: regionIds.map(id => ({id, name: id})),
    failureDomains: instancePlans.map(({failureDomainId, regionId}) => ({
      id: failureDomainId,
      regionId,
    })),
    links: [
      {fromRegionId: 'north', toRegionId: 'south', oneWayLatencyMs: 10},
      {fromRegionId: 'south', toRegionId: 'north', oneWayLatencyMs: 10},
    ],
    services,
    targets,
    clientBlocks: regionIds.map((regionId, index) => ({
      prefix: `127.${index + 1}.0.0/16`,
      regionId,
    })),
    demands: services.flatMap(service =>
      regionIds.map(callerRegionId => ({
        serviceId: service.id,
        callerRegionId,
        requestsPerS: 10,
      })),
    ),
  };
}
