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

/** What a new configuration has removed. */
export interface RemovedPools {
  readonly removed: readonly PoolQueue[];
  /** Requests that waited for a removed pool. */
  readonly refused: readonly PendingRequest[];
}

/** All pools of one entry. */
export class PoolDirectory {
  private readonly byService = new Map<string, Map<string, PoolQueue>>();
  private byTarget = new Map<string, PoolQueue>();
  private everyQueue: readonly PoolQueue[] = [];
  private readonly slots: SlotDirectory;
  private configuration: Configuration | undefined;
  private routes: RouteTable | undefined;
  private lastSlotId = 0;

  constructor(
    private readonly options: SteeringOptions,
    private readonly time: TimeSource,
  ) {
    this.slots = new SlotDirectory(options.instanceId);
  }

  /** All pools. */
  all(): readonly PoolQueue[] {
    return this.everyQueue;
  }

  /** Pools of one service, by region. */
  ofService(serviceId: string): Iterable<PoolQueue> {
    return this.byService.get(serviceId)?.values() ?? [];
  }

  /** The pool of a service in a region. */
  find(serviceId: string, regionId: string): PoolQueue | undefined {
    return this.byService.get(serviceId)?.get(regionId);
  }

  /** The pool that a target belongs to. */
  poolOfTarget(targetId: string): PoolQueue | undefined {
    return this.byTarget.get(targetId);
  }

  /** Targets that this entry probes. */
  targetsToProbe(): readonly Target[] {
    return this.slots.targetsToProbe();
  }

  /** Makes, changes and removes pools for a new configuration. */
  updateConfiguration(configuration: Configuration, routes: RouteTable): RemovedPools {
    this.configuration = configuration;
    this.routes = routes;
    const wanted = this.targetsByPool(configuration);
    this.byTarget = new Map();
    const removed: PoolQueue[] = [];
    for (const [serviceId, byRegion] of this.byService) {
      for (const [regionId, queue] of byRegion) {
        if (wanted.get(serviceId)?.has(regionId)) continue;
        removed.push(queue);
        byRegion.delete(regionId);
      }
    }
    const contracts = new Map(configuration.catalog.services.map(entry => [entry.id, entry]));
    for (const [serviceId, byRegion] of wanted) {
      const contract = contracts.get(serviceId);
      if (contract === undefined) continue;
      for (const [regionId, targets] of byRegion) this.updatePool(contract, regionId, targets);
    }
    this.everyQueue = [...this.byService.values()].flatMap(byRegion => [...byRegion.values()]);
    return {removed, refused: removed.flatMap(queue => queue.waiting.removeAll())};
  }

  /** Divides the slots again when the configuration or the slot holders have changed; false when not. */
  updateDivision(members: readonly Member[]): boolean {
    if (this.configuration === undefined || this.routes === undefined) return false;
    const own = this.slots.update(this.configuration, this.routes, members);
    if (own === undefined) return false;
    const slotsOf = new Map<PoolQueue, (typeof own)[number]['slots']>();
    for (const {serviceId, regionId, slots} of own) {
      const queue = this.find(serviceId, regionId);
      if (queue !== undefined) slotsOf.set(queue, slots);
    }
    for (const queue of this.everyQueue) queue.pool.setOwnSlots(slotsOf.get(queue) ?? []);
    return true;
  }

  private targetsByPool(configuration: Configuration): Map<string, Map<string, Target[]>> {
    const drained = drainedSites(configuration.intents);
    const wanted = new Map<string, Map<string, Target[]>>();
    for (const target of configuration.catalog.targets) {
      if (drained.has(target.siteId)) continue;
      const byRegion = wanted.get(target.serviceId) ?? new Map<string, Target[]>();
      const list = byRegion.get(target.regionId) ?? [];
      list.push(target);
      byRegion.set(target.regionId, list);
      wanted.set(target.serviceId, byRegion);
    }
    return wanted;
  }

  private updatePool(
    contract: ServiceContract,
    regionId: string,
    targets: readonly Target[],
  ): void {
    const byRegion = this.byService.get(contract.id) ?? new Map<string, PoolQueue>();
    let queue = byRegion.get(regionId);
    if (queue === undefined) {
      queue = new PoolQueue(this.makePool(contract, regionId), this.options.queuePerSlot);
      byRegion.set(regionId, queue);
      this.byService.set(contract.id, byRegion);
    }
    queue.pool.setTargets(contract, targets);
    for (const target of targets) this.byTarget.set(target.id, queue);
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
