/**
 * Caches the order of a service's targets by rendezvous hashing for recently requested objects. Sorting hundreds of
 * targets for each request takes most of the time of a choice, and the order changes only with the list of targets.
 */
import {combineHashes} from '@cuminsill/utils';
import type {Target} from './target';

/** Bounds the memory of a service to about 2 MB; at 1,000 targets, 524 objects are ranked. */
const maxCachedIndices = 2 ** 19;
const maxCachedObjects = 1_024;
const maxHash = 2 ** 32 - 1;
/** The low digits of a sort key hold the target's index; keys stay below 2 ** 53, so they are exact. */
const maxRankedTargets = 2 ** 20;

/** Orders of the targets of one service. */
export class ObjectRankings {
  private targets: readonly Target[] = [];
  /** Ordered by last use. */
  private readonly orders = new Map<number, Uint32Array>();

  /** Indices of the targets in the order of their weight for the object; of equal ones, the first is first. */
  orderOf(objectHash: number, targets: readonly Target[]): Uint32Array {
    if (!isSameList(targets, this.targets)) this.orders.clear();
    this.targets = targets;
    const known = this.orders.get(objectHash);
    if (known !== undefined) {
      // Deleting first moves the object to the end, which keeps the map ordered by last use.
      this.orders.delete(objectHash);
      this.orders.set(objectHash, known);
      return known;
    }
    const order = sortByWeight(objectHash, targets);
    this.orders.set(objectHash, order);
    this.evict();
    return order;
  }

  private evict(): void {
    const byMemory = Math.floor(maxCachedIndices / Math.max(1, this.targets.length));
    if (this.orders.size <= Math.max(1, Math.min(maxCachedObjects, byMemory))) return;
    const [oldest] = this.orders.keys();
    if (oldest !== undefined) this.orders.delete(oldest);
  }
}

function sortByWeight(objectHash: number, targets: readonly Target[]): Uint32Array {
  const sortKeys = new Float64Array(targets.length);
  targets.forEach(({idHash}, index) => {
    sortKeys[index] = (maxHash - combineHashes(idHash, objectHash)) * maxRankedTargets + index;
  });
  // Sorting numbers without a comparison function is fast.
  sortKeys.sort();
  return Uint32Array.from(sortKeys, key => key % maxRankedTargets);
}

/** The directory makes a new list whenever it reads records, mostly with the same targets. */
function isSameList(left: readonly Target[], right: readonly Target[]): boolean {
  if (left === right) return true;
  return left.length === right.length && left.every((target, index) => target === right[index]);
}
