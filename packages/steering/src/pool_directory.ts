/** The pools of one entry, by service and region, and which pool each target belongs to. */
import type {Configuration, Member, ServiceContract, Target} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {PendingRequest} from './pool_queue';
import {PoolQueue} from './pool_queue';
import type {RouteTable} from './routes';
import {drainedSites} from './routes';
import {SlotDirectory} from './slot_directory';
import {SlotPool} from './slot_pool';
import type {SteeringOptions} from './steering_types';

/** The pools that a new configuration no longer has. */
export interface RemovedPools {
  readonly removedQueues: readonly PoolQueue[];
  /** Requests that were waiting for a slot of a removed pool. */
  readonly waitingRequests: readonly PendingRequest[];
}

/** Creates, updates and finds the pools of one entry. */
export class PoolDirectory {
  private readonly queuesByService = new Map<string, Map<string, PoolQueue>>();
  private queuesByTarget = new Map<string, PoolQueue>();
  private allQueues: readonly PoolQueue[] = [];
  private readonly slotDirectory: SlotDirectory;
  private configuration: Configuration | undefined;
  private routeTable: RouteTable | undefined;
  private lastSlotId = 0;

  constructor(
    private readonly options: SteeringOptions,
    private readonly time: TimeSource,
  ) {
    this.slotDirectory = new SlotDirectory(options.instanceId);
  }

  /** All pools. */
  allPools(): readonly PoolQueue[] {
    return this.allQueues;
  }

  /** Pools of one service, by region. */
  poolsOfService(serviceId: string): Iterable<PoolQueue> {
    return this.queuesByService.get(serviceId)?.values() ?? [];
  }

  /** The pool of a service in a region. */
  findPool(serviceId: string, regionId: string): PoolQueue | undefined {
    return this.queuesByService.get(serviceId)?.get(regionId);
  }

  /** The pool that a target belongs to. */
  poolOfTarget(targetId: string): PoolQueue | undefined {
    return this.queuesByTarget.get(targetId);
  }

  /** Targets that this entry probes. */
  targetsToProbe(): readonly Target[] {
    return this.slotDirectory.targetsToProbe();
  }

  /** Creates, updates and removes pools for a new configuration. */
  updateConfiguration(configuration: Configuration, routes: RouteTable): RemovedPools {
    this.configuration = configuration;
    this.routeTable = routes;
    const targetsByService = this.targetsByPool(configuration);
    this.queuesByTarget = new Map();
    const removedQueues: PoolQueue[] = [];
    for (const [serviceId, byRegion] of this.queuesByService) {
      for (const [regionId, queue] of byRegion) {
        if (targetsByService.get(serviceId)?.has(regionId)) continue;
        removedQueues.push(queue);
        byRegion.delete(regionId);
      }
    }
    const contracts = new Map(
      configuration.catalog.services.map(contract => [contract.id, contract]),
    );
    for (const [serviceId, byRegion] of targetsByService) {
      const contract = contracts.get(serviceId);
      if (contract === undefined) continue;
      for (const [regionId, targets] of byRegion) this.updatePool(contract, regionId, targets);
    }
    this.allQueues = [...this.queuesByService.values()].flatMap(byRegion => [...byRegion.values()]);
    return {
      removedQueues,
      waitingRequests: removedQueues.flatMap(queue => queue.waiting.removeAll()),
    };
  }

  /**
   * Divides the slots among the entries again. Returns false if neither the configuration nor the slot holders have
   * changed.
   */
  updateDivision(members: readonly Member[]): boolean {
    if (this.configuration === undefined || this.routeTable === undefined) return false;
    const ownPools = this.slotDirectory.update(this.configuration, this.routeTable, members);
    if (ownPools === undefined) return false;
    const slotsByQueue = new Map<PoolQueue, (typeof ownPools)[number]['slots']>();
    for (const {serviceId, regionId, slots} of ownPools) {
      const queue = this.findPool(serviceId, regionId);
      if (queue !== undefined) slotsByQueue.set(queue, slots);
    }
    for (const queue of this.allQueues) queue.pool.setOwnSlots(slotsByQueue.get(queue) ?? []);
    return true;
  }

  private targetsByPool(configuration: Configuration): Map<string, Map<string, Target[]>> {
    const drained = drainedSites(configuration.intents);
    const targetsByService = new Map<string, Map<string, Target[]>>();
    for (const target of configuration.catalog.targets) {
      if (drained.has(target.siteId)) continue;
      const byRegion = targetsByService.get(target.serviceId) ?? new Map<string, Target[]>();
      const regionTargets = byRegion.get(target.regionId) ?? [];
      regionTargets.push(target);
      byRegion.set(target.regionId, regionTargets);
      targetsByService.set(target.serviceId, byRegion);
    }
    return targetsByService;
  }

  private updatePool(
    contract: ServiceContract,
    regionId: string,
    targets: readonly Target[],
  ): void {
    const byRegion = this.queuesByService.get(contract.id) ?? new Map<string, PoolQueue>();
    let queue = byRegion.get(regionId);
    if (queue === undefined) {
      queue = new PoolQueue(this.makePool(contract, regionId), this.options.queuePerSlot);
      byRegion.set(regionId, queue);
      this.queuesByService.set(contract.id, byRegion);
    }
    queue.pool.setTargets(contract, targets);
    for (const target of targets) this.queuesByTarget.set(target.id, queue);
  }

  private makePool(contract: ServiceContract, regionId: string): SlotPool {
    const nextSlotId = (): number => {
      this.lastSlotId += 1;
      return this.lastSlotId;
    };
    return new SlotPool(
      contract,
      regionId,
      this.options.instanceId,
      nextSlotId,
      this.options,
      this.time,
    );
  }
}
