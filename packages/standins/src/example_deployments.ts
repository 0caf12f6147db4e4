/**
 * The two example deployments of the design page, in the size given there, on loopback addresses. Callers of region n use
 * source addresses in 127.n.0.0/16, so that one machine has callers in every region.
 */
import type {
  Catalog,
  ClientBlock,
  Demand,
  FailureDomain,
  Instance,
  Link,
  Region,
  ServiceContract,
  Target,
} from '@cuminsill/types';

/** Name of an example deployment. */
export type DeploymentName = 'boletines' | 'carpas';

/** A service, the number of its targets and the slots of each. */
interface ServiceSpec {
  readonly contract: ServiceContract;
  readonly targetCount: number;
  readonly slotsPerTarget: number;
}

interface DeploymentSpec {
  readonly regions: readonly Region[];
  readonly regionLatencyMs: number;
  readonly maxConnections: number;
  readonly services: readonly ServiceSpec[];
  readonly firstInstancePort: number;
  readonly firstTargetPort: number;
}

/** Catalog and instances of an example deployment. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly catalog: Catalog;
  readonly instances: readonly Instance[];
  /** Port of the operators' API for each instance, in the order of `instances`. */
  readonly operatorPorts: readonly number[];
}

const failureDomainsPerRegion = 2;
const sitesPerFailureDomain = 2;
const instanceCount = 10;
const portsPerInstance = 4;
const demandFraction = 0.5;
const host = '127.0.0.1';

function makeServiceSpec(
  id: string,
  trafficClass: ServiceContract['trafficClass'],
  idempotency: ServiceContract['idempotency'],
  defaultTimeoutMs: number,
  expectedServiceMs: number,
  targetCount: number,
  slotsPerTarget: number,
): ServiceSpec {
  const notRunStatuses = [503];
  return {
    contract: {
      id,
      trafficClass,
      idempotency,
      defaultTimeoutMs,
      notRunStatuses,
      expectedServiceMs,
    },
    targetCount,
    slotsPerTarget,
  };
}

// Ports are below 32768, the start of Linux's ephemeral range, so that no outgoing connection occupies one.
const deploymentSpecs: Readonly<Record<DeploymentName, DeploymentSpec>> = {
  boletines: {
    regions: [
      {id: 'montevideo', name: 'Montevideo'},
      {id: 'litoral', name: 'Litoral'},
      {id: 'este', name: 'Este'},
    ],
    regionLatencyMs: 55,
    maxConnections: 360,
    services: [
      makeServiceSpec('proofs', 'interactive', 'idempotent', 5_000, 120, 14, 4),
      makeServiceSpec('print-runs', 'interactive', 'non-idempotent', 10_000, 150, 12, 3),
      makeServiceSpec('photos', 'upload', 'idempotent', 20_000, 250, 12, 5),
      makeServiceSpec('archive', 'batch', 'idempotent', 60_000, 400, 12, 3),
    ],
    firstInstancePort: 20_000,
    firstTargetPort: 20_200,
  },
  carpas: {
    regions: [
      {id: 'bajio', name: 'Bajío'},
      {id: 'norte', name: 'Norte'},
      {id: 'sur', name: 'Sur'},
    ],
    regionLatencyMs: 12,
    maxConnections: 330,
    services: [
      makeServiceSpec('availability', 'interactive', 'idempotent', 2_000, 60, 12, 3),
      makeServiceSpec('reservations', 'interactive', 'non-idempotent', 10_000, 150, 12, 3),
      makeServiceSpec('site-plans', 'upload', 'idempotent', 20_000, 250, 12, 3),
      makeServiceSpec('reports', 'batch', 'idempotent', 60_000, 400, 12, 3),
    ],
    firstInstancePort: 21_000,
    firstTargetPort: 21_200,
  },
};

/** Names of all example deployments. */
export const deploymentNames = Object.keys(deploymentSpecs) as readonly DeploymentName[];

/** Makes an example deployment. The result depends only on the name. */
export function makeDeployment(name: DeploymentName): Deployment {
  const spec = deploymentSpecs[name];
  const failureDomains = makeFailureDomains(spec.regions);
  const targets = makeTargets(spec, failureDomains);
  const catalog: Catalog = {
    regions: spec.regions,
    failureDomains,
    links: makeLinks(spec),
    services: spec.services.map(service => service.contract),
    targets,
    clientBlocks: makeClientBlocks(spec.regions),
    demands: makeDemands(spec, targets),
  };
  const operatorPorts = Array.from(
    {length: instanceCount},
    (_, index) => spec.firstInstancePort + index * portsPerInstance + 3,
  );
  return {name, catalog, instances: makeInstances(spec, failureDomains), operatorPorts};
}

/** Source address of a caller in the region with this index in the catalog. */
export function callerSourceAddress(regionIndex: number, callerIndex: number): string {
  return `127.${regionIndex + 1}.0.${(callerIndex % 250) + 1}`;
}

function makeFailureDomains(regions: readonly Region[]): readonly FailureDomain[] {
  return regions.flatMap(region =>
    Array.from({length: failureDomainsPerRegion}, (_, index) => ({
      id: `${region.id}-${index + 1}`,
      regionId: region.id,
    })),
  );
}

function makeLinks(spec: DeploymentSpec): readonly Link[] {
  return spec.regions.flatMap(from =>
    spec.regions
      .filter(to => to.id !== from.id)
      .map(to => ({
        fromRegionId: from.id,
        toRegionId: to.id,
        oneWayLatencyMs: spec.regionLatencyMs,
      })),
  );
}

function makeTargets(
  spec: DeploymentSpec,
  failureDomains: readonly FailureDomain[],
): readonly Target[] {
  let port = spec.firstTargetPort;
  return spec.services.flatMap(service =>
    Array.from({length: service.targetCount}, (_, index): Target => {
      const domain = failureDomains[index % failureDomains.length] as FailureDomain;
      const site = (Math.floor(index / failureDomains.length) % sitesPerFailureDomain) + 1;
      port += 1;
      return {
        id: `${service.contract.id}-${String(index + 1).padStart(2, '0')}`,
        serviceId: service.contract.id,
        siteId: `${domain.id}-site-${site}`,
        regionId: domain.regionId,
        failureDomainId: domain.id,
        address: {host, port},
        slots: service.slotsPerTarget,
        maxConnections: spec.maxConnections,
      };
    }),
  );
}

function makeClientBlocks(regions: readonly Region[]): readonly ClientBlock[] {
  return regions.map((region, index) => ({
    prefix: `127.${index + 1}.0.0/16`,
    regionId: region.id,
  }));
}

/** The demand of a region is half of the requests that its own targets can serve. */
function makeDemands(spec: DeploymentSpec, targets: readonly Target[]): readonly Demand[] {
  return spec.services.flatMap(({contract}) =>
    spec.regions.map(region => {
      const slots = targets
        .filter(target => target.serviceId === contract.id && target.regionId === region.id)
        .reduce((sum, target) => sum + target.slots, 0);
      const capacityPerS = (slots * 1000) / contract.expectedServiceMs;
      return {
        serviceId: contract.id,
        callerRegionId: region.id,
        requestsPerS: Math.round(capacityPerS * demandFraction * 10) / 10,
      };
    }),
  );
}

function makeInstances(
  spec: DeploymentSpec,
  failureDomains: readonly FailureDomain[],
): readonly Instance[] {
  return Array.from({length: instanceCount}, (_, index): Instance => {
    const domain = failureDomains[index % failureDomains.length] as FailureDomain;
    const port = spec.firstInstancePort + index * portsPerInstance;
    return {
      id: `instance-${String(index + 1).padStart(2, '0')}`,
      regionId: domain.regionId,
      failureDomainId: domain.id,
      callerAddress: {host, port},
      entryPeerAddress: {host, port: port + 1},
      controlPeerAddress: {host, port: port + 2},
    };
  });
}
