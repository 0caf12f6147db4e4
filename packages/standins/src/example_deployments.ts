/**
 * The two example deployments of the design page, sized as described there, on loopback addresses. Callers of
 * region n use source addresses 127.n.0.0/16, so that one machine has callers in every region.
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

/** A service with its number of targets and their size. */
interface ServicePlan {
  readonly contract: ServiceContract;
  readonly targetCount: number;
  readonly slotsPerTarget: number;
}

interface DeploymentPlan {
  readonly regions: readonly Region[];
  readonly regionLatencyMs: number;
  readonly maxConnections: number;
  readonly services: readonly ServicePlan[];
  readonly firstInstancePort: number;
  readonly firstTargetPort: number;
}

/** Everything that an example deployment consists of. */
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
const loadShare = 0.5;
const host = '127.0.0.1';

function service(
  id: string,
  trafficClass: ServiceContract['trafficClass'],
  idempotency: ServiceContract['idempotency'],
  defaultTimeoutMs: number,
  expectedServiceMs: number,
  targetCount: number,
  slotsPerTarget: number,
): ServicePlan {
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

// Ports stay below 32768, where Linux starts to hand out local ports to outgoing connections.
const deploymentPlans: Readonly<Record<DeploymentName, DeploymentPlan>> = {
  boletines: {
    regions: [
      {id: 'montevideo', name: 'Montevideo'},
      {id: 'litoral', name: 'Litoral'},
      {id: 'este', name: 'Este'},
    ],
    regionLatencyMs: 55,
    maxConnections: 360,
    services: [
      service('proofs', 'interactive', 'idempotent', 5_000, 120, 14, 4),
      service('print-runs', 'interactive', 'non-idempotent', 10_000, 150, 12, 3),
      service('photos', 'upload', 'idempotent', 20_000, 250, 12, 5),
      service('archive', 'batch', 'idempotent', 60_000, 400, 12, 3),
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
      service('availability', 'interactive', 'idempotent', 2_000, 60, 12, 3),
      service('reservations', 'interactive', 'non-idempotent', 10_000, 150, 12, 3),
      service('site-plans', 'upload', 'idempotent', 20_000, 250, 12, 3),
      service('reports', 'batch', 'idempotent', 60_000, 400, 12, 3),
    ],
    firstInstancePort: 21_000,
    firstTargetPort: 21_200,
  },
};

/** Names of all example deployments. */
export const deploymentNames = Object.keys(deploymentPlans) as readonly DeploymentName[];

/** Makes an example deployment; the same name always gives the same result. */
export function makeDeployment(name: DeploymentName): Deployment {
  const plan = deploymentPlans[name];
  const failureDomains = makeFailureDomains(plan.regions);
  const targets = makeTargets(plan, failureDomains);
  const catalog: Catalog = {
    regions: plan.regions,
    failureDomains,
    links: makeLinks(plan),
    services: plan.services.map(entry => entry.contract),
    targets,
    clientBlocks: makeClientBlocks(plan.regions),
    demands: makeDemands(plan, targets),
  };
  const operatorPorts = Array.from(
    {length: instanceCount},
    (_, index) => plan.firstInstancePort + index * portsPerInstance + 3,
  );
  return {name, catalog, instances: makeInstances(plan, failureDomains), operatorPorts};
}

/** A source address of callers in the region with the given index in the catalog. */
export function callerAddress(regionIndex: number, callerIndex: number): string {
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

function makeLinks(plan: DeploymentPlan): readonly Link[] {
  return plan.regions.flatMap(from =>
    plan.regions
      .filter(to => to.id !== from.id)
      .map(to => ({
        fromRegionId: from.id,
        toRegionId: to.id,
        oneWayLatencyMs: plan.regionLatencyMs,
      })),
  );
}

function makeTargets(
  plan: DeploymentPlan,
  failureDomains: readonly FailureDomain[],
): readonly Target[] {
  let port = plan.firstTargetPort;
  return plan.services.flatMap(entry =>
    Array.from({length: entry.targetCount}, (_, index): Target => {
      const domain = failureDomains[index % failureDomains.length] as FailureDomain;
      const site = (Math.floor(index / failureDomains.length) % sitesPerFailureDomain) + 1;
      port += 1;
      return {
        id: `${entry.contract.id}-${String(index + 1).padStart(2, '0')}`,
        serviceId: entry.contract.id,
        siteId: `${domain.id}-site-${site}`,
        regionId: domain.regionId,
        failureDomainId: domain.id,
        address: {host, port},
        slots: entry.slotsPerTarget,
        maxConnections: plan.maxConnections,
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

/** Demand of a region is half of what the region's own targets can serve. */
function makeDemands(plan: DeploymentPlan, targets: readonly Target[]): readonly Demand[] {
  return plan.services.flatMap(({contract}) =>
    plan.regions.map(region => {
      const slots = targets
        .filter(target => target.serviceId === contract.id && target.regionId === region.id)
        .reduce((sum, target) => sum + target.slots, 0);
      const capacityPerS = (slots * 1000) / contract.expectedServiceMs;
      return {
        serviceId: contract.id,
        callerRegionId: region.id,
        requestsPerS: Math.round(capacityPerS * loadShare * 10) / 10,
      };
    }),
  );
}

function makeInstances(
  plan: DeploymentPlan,
  failureDomains: readonly FailureDomain[],
): readonly Instance[] {
  return Array.from({length: instanceCount}, (_, index): Instance => {
    const domain = failureDomains[index % failureDomains.length] as FailureDomain;
    const port = plan.firstInstancePort + index * portsPerInstance;
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
