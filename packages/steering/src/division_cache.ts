/**
 * Keeps the last division of each pool. A division is a pure function of the pool's targets and weighted entries, so
 * a pool in which neither has changed keeps its division.
 */
import type {Target} from '@cuminsill/types';
import type {EntrySlots, WeightedEntry} from './slot_division';

interface CachedDivision {
  readonly inputsKey: string;
  readonly entries: readonly EntrySlots[];
}

/** The last division of each pool, by pool key. */
export class DivisionCache {
  private cachedDivisions = new Map<string, CachedDivision>();
  private nextDivisions = new Map<string, CachedDivision>();

  /** The division of a pool: the remembered one when the inputs are equal, otherwise a new one. */
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

  /** Ends a round: forgets the pools that were not divided in it. */
  evictUnused(): void {
    this.cachedDivisions = this.nextDivisions;
    this.nextDivisions = new Map();
  }
}
