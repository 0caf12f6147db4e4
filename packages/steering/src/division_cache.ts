/**
 * Caches the division of each pool's slots. A division is a pure function of the pool's targets and of the weighted
 * entries, so it is computed again only when one of them has changed.
 */
import type {Target} from '@cuminsill/types';
import type {EntrySlots, WeightedEntry} from './slot_division';

interface CachedDivision {
  readonly inputsKey: string;
  readonly entries: readonly EntrySlots[];
}

/** The latest division of each pool, by pool key. */
export class DivisionCache {
  private cachedDivisions = new Map<string, CachedDivision>();
  private nextDivisions = new Map<string, CachedDivision>();

  /** Returns the cached division of a pool if its inputs are unchanged, and computes it otherwise. */
  getOrCompute(
    poolKey: string,
    targets: readonly Target[],
    weightedEntries: readonly WeightedEntry[],
    computeDivision: () => readonly EntrySlots[],
  ): readonly EntrySlots[] {
    const inputsKey = JSON.stringify([
      targets.map(({id, slots}) => [id, slots]),
      weightedEntries.map(({instanceId, weight}) => [instanceId, weight]),
    ]);
    const cached = this.cachedDivisions.get(poolKey);
    const entries = cached?.inputsKey === inputsKey ? cached.entries : computeDivision();
    this.nextDivisions.set(poolKey, {inputsKey, entries});
    return entries;
  }

  /** Evicts the pools that were not looked up since the last call. */
  evictUnused(): void {
    this.cachedDivisions = this.nextDivisions;
    this.nextDivisions = new Map();
  }
}
