/** A small deployment: three instances in two regions, an idempotent service and a non-idempotent one. */
import type {Catalog, Instance, ServiceContract, SocketAddress, Target} from '@cuminsill/types';

/** Peer key that all instances of the deployment share. */
export const peerKey = 'system-tests-peer-key';

/** Bearer token with the role `operator`, which may change the configuration. */
export const operatorToken = 'system-tests-operator-token';

/** Bearer token with the role `viewer`, which may only read. */
export const viewerToken = 'system-tests-viewer-token';

/** Regions; callers of the n-th region (from 1) use addresses in 127.n.0.0/16. */
export const regionIds = ['north', 'south'] as const;

const instanceIdentities = [
  {id: 'instance-1', regionId: 'north', failureDomainId: 'north-1'},
  {id: 'instance-2', regionId: 'north', failureDomainId: 'north-2'},
  {id: 'instance-3', regionId: 'south', failureDomainId: 'south-1'},
];

const targetsPerRegion = 2;
const slotsPerTarget = 6;

/** Number of ports that the deployment needs: four for each instance and one for each target of the two services. */
export const portCount = instanceIdentities.length * 4 + 2 * regionIds.length * targetsPerRegion;

/** A catalog and its instances, with addresses. */
export interface TestDeployment {
  readonly catalog: Catalog;
  readonly instances: readonly Instance[];
  /** Address of the operator API of each instance, in the order of `instances`. */
  readonly operatorAddresses: readonly SocketAddress[];
}

/** Creates the deployment; instances and targets take the given ports in order. */
export function makeTestDeployment(host: string, ports: readonly number[]): TestDeployment {
  const addresses = ports.map(port => ({host, port}));
  const takeAddresses = (count: number) => addresses.splice(0, count);
  const operatorAddresses: SocketAddress[] = [];
  const instances = instanceIdentities.map((identity): Instance => {
    const [callerAddress, entryPeerAddress, controlPeerAddress, operatorAddress] = takeAddresses(4);
    operatorAddresses.push(operatorAddress as SocketAddress);
    return {
      ...identity,
      callerAddress: callerAddress as SocketAddress,
      entryPeerAddress: entryPeerAddress as SocketAddress,
      controlPeerAddress: controlPeerAddress as SocketAddress,
    };
  });
  const services = [
    makeServiceContract('reads', 'idempotent'),
    makeServiceContract('orders', 'non-idempotent'),
  ];
  const targets = services.flatMap(service =>
    regionIds.flatMap(regionId =>
      makeTargets(service.id, regionId, takeAddresses(targetsPerRegion)),
    ),
  );
  return {catalog: makeCatalog(services, targets), instances, operatorAddresses};
}

function makeServiceContract(
  id: string,
  idempotency: ServiceContract['idempotency'],
): ServiceContract {
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
    failureDomains: instanceIdentities.map(({failureDomainId, regionId}) => ({
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
