/**
 * The slots that this entry owns in each pool and the targets that it probes, under the current configuration and
 * members. Both are recomputed only when the configuration or the set of slot holders changes.
 */
import type {Configuration, Member, Target} from '@cuminsill/types';
import {rankByRendezvous} from '@cuminsill/utils';
import {DivisionCache} from './division_cache';
import type {RouteTable} from './routes';
import type {OwnSlot} from './slot_division';
import {divideSlots, slotHolders} from './slot_division';

/** Number of entries that probe each target. */
const probersPerTarget = 2;

/** Slots that this entry owns in one pool. */
export interface OwnPoolSlots {
  readonly serviceId: string;
  readonly regionId: string;
  readonly slots: readonly OwnSlot[];
}

/** Computes the own slots and remembers the owner of every slot, to detect slots that change their owner. */
export class SlotDirectory {
  private readonly divisionCache = new DivisionCache();
  private ownersBySlot = new Map<string, string>();
  private holdersKey = '';
  private version = -1;
  private probedTargets: readonly Target[] = [];

  constructor(private readonly instanceId: string) {}

  /** Returns the own slots in every pool, or undefined if nothing has changed since the last call. */
  update(
    configuration: Configuration,
    routes: RouteTable,
    members: readonly Member[],
  ): readonly OwnPoolSlots[] | undefined {
    const holders = slotHolders(members);
    const holdersKey = JSON.stringify(
      holders.map(({instance}) => [instance.id, instance.regionId]),
    );
    if (holdersKey === this.holdersKey && configuration.version === this.version) return undefined;
    this.holdersKey = holdersKey;
    this.version = configuration.version;
    this.probedTargets = this.findProbedTargets(configuration, holders);
    return this.divide(configuration, routes, holders);
  }

  /** Targets that this entry probes. */
  targetsToProbe(): readonly Target[] {
    return this.probedTargets;
  }

  private divide(
    configuration: Configuration,
    routes: RouteTable,
    holders: readonly Member[],
  ): readonly OwnPoolSlots[] {
    const owners = new Map<string, string>();
    const pools: OwnPoolSlots[] = [];
    const divisions = divideSlots(configuration, routes, holders, this.divisionCache);
    for (const {serviceId, regionId, entries} of divisions) {
      const slots: OwnSlot[] = [];
      for (const entry of entries) {
        for (const slot of entry.slots) {
          const key = `${slot.targetId}/${slot.slotIndex}`;
          owners.set(key, entry.instanceId);
          if (entry.instanceId !== this.instanceId) continue;
          const previousOwnerId = this.ownersBySlot.get(key) ?? this.instanceId;
          slots.push({...slot, hadOtherOwner: previousOwnerId !== this.instanceId});
        }
      }
      pools.push({serviceId, regionId, slots});
    }
    this.ownersBySlot = owners;
    return pools;
  }

  private findProbedTargets(
    configuration: Configuration,
    holders: readonly Member[],
  ): readonly Target[] {
    const holderIdsByRegion = new Map<string, string[]>();
    for (const {instance} of holders) {
      const regionHolderIds = holderIdsByRegion.get(instance.regionId) ?? [];
      regionHolderIds.push(instance.id);
      holderIdsByRegion.set(instance.regionId, regionHolderIds);
    }
    const holderIds = holders.map(({instance}) => instance.id);
    return configuration.catalog.targets.filter(target => {
      const candidates = holderIdsByRegion.get(target.regionId) ?? holderIds;
      if (!candidates.includes(this.instanceId)) return false;
      return rankByRendezvous(target.id, candidates)
        .slice(0, probersPerTarget)
        .includes(this.instanceId);
    });
  }
}
