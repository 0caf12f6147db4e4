/**
 * Keeps the last division of each pool. A division is a pure function of the pool's targets and weighted entries, so
 * a pool in which neither has changed keeps its division.
 */
import type {Target} from '@cuminsill/types';
import type {EntrySlots, WeightedEntry} from './slot_division';

interface RememberedPool {
  readonly inputs: string;
  readonly entries: readonly EntrySlots[];
}

/** The last division of each pool, by pool key. */
export class DivisionMemory {
  private pools = new Map<string, RememberedPool>();
  private next = new Map<string, RememberedPool>();

  /** The division of a pool: the remembered one when the inputs are equal, otherwise a new one. */
  divide(
    poolKey: string,
    targets: readonly Target[],
    weights: readonly WeightedEntry[],
    makeDivision: () => readonly EntrySlots[],
  ): readonly EntrySlots[] {
    const inputs = JSON.stringify([
      targets.map(({id, slots}) => [id, slots]),
      weights.map(({instanceId, weight}) => [instanceId, weight]),
    ]);
    const known = this.pools.get(poolKey);
    const entries = known?.inputs === inputs ? known.entries : makeDivision();
    this.next.set(poolKey, {inputs, entries});
    return entries;
  }

  /** Ends a round: forgets the pools that were not divided in it. */
  endRound(): void {
    this.pools = this.next;
    this.next = new Map();
  }
}
