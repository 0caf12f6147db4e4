/**
 * What this entry holds under the configuration and members in force: its slots per pool and the targets that it
 * probes. Recomputed only when the configuration or the set of slot holders changes.
 */
import type {Configuration, Member, Target} from '@cuminsill/types';
import {rankByRendezvous} from '@cuminsill/utils';
import {DivisionMemory} from './division_memory';
import type {RouteTable} from './routes';
import type {HandedSlot} from './slot_division';
import {divideSlots, slotHolders} from './slot_division';

/** Entries that probe each target. */
const probersPerTarget = 2;

/** Own slots in one pool. */
export interface OwnPool {
  readonly serviceId: string;
  readonly regionId: string;
  readonly slots: readonly HandedSlot[];
}

/** Tracks the division from one view to the next. */
export class SlotDirectory {
  private readonly memory = new DivisionMemory();
  private owners = new Map<string, string>();
  private holdersKey = '';
  private version = -1;
  private probed: readonly Target[] = [];

  constructor(private readonly instanceId: string) {}

  /** Own slots in every pool; undefined when nothing has changed since the last call. */
  update(
    configuration: Configuration,
    routes: RouteTable,
    members: readonly Member[],
  ): readonly OwnPool[] | undefined {
    const holders = slotHolders(members);
    const holdersKey = JSON.stringify(
      holders.map(({instance}) => [instance.id, instance.regionId]),
    );
    if (holdersKey === this.holdersKey && configuration.version === this.version) return undefined;
    this.holdersKey = holdersKey;
    this.version = configuration.version;
    this.probed = this.findProbed(configuration, holders);
    return this.divide(configuration, routes, holders);
  }

  /** Targets that this entry probes. */
  targetsToProbe(): readonly Target[] {
    return this.probed;
  }

  private divide(
    configuration: Configuration,
    routes: RouteTable,
    holders: readonly Member[],
  ): readonly OwnPool[] {
    const owners = new Map<string, string>();
    const pools: OwnPool[] = [];
    const divisions = divideSlots(configuration, routes, holders, this.memory);
    for (const {serviceId, regionId, entries} of divisions) {
      const slots: HandedSlot[] = [];
      for (const entry of entries) {
        for (const slot of entry.slots) {
          const key = `${slot.targetId}/${slot.slotIndex}`;
          owners.set(key, entry.instanceId);
          if (entry.instanceId !== this.instanceId) continue;
          const before = this.owners.get(key) ?? this.instanceId;
          slots.push({...slot, fromOther: before !== this.instanceId});
        }
      }
      pools.push({serviceId, regionId, slots});
    }
    this.owners = owners;
    return pools;
  }

  private findProbed(configuration: Configuration, holders: readonly Member[]): readonly Target[] {
    const byRegion = new Map<string, string[]>();
    for (const {instance} of holders) {
      const list = byRegion.get(instance.regionId) ?? [];
      list.push(instance.id);
      byRegion.set(instance.regionId, list);
    }
    const all = holders.map(({instance}) => instance.id);
    return configuration.catalog.targets.filter(target => {
      const candidates = byRegion.get(target.regionId) ?? all;
      if (!candidates.includes(this.instanceId)) return false;
      return rankByRendezvous(target.id, candidates)
        .slice(0, probersPerTarget)
        .includes(this.instanceId);
    });
  }
}
