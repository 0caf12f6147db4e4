/** Items waiting to be spread, each sent a bounded number of times. */

interface QueuedItem<T> {
  value: T;
  sends: number;
  order: number;
}

/** Holds at most one item per key. An item that changes starts over. */
export class UpdateQueue<T> {
  private readonly items = new Map<string, QueuedItem<T>>();
  private lastOrder = 0;

  /** Number of items that are still being spread. */
  get size(): number {
    return this.items.size;
  }

  /** Adds or replaces an item. */
  enqueue(key: string, value: T): void {
    this.lastOrder += 1;
    this.items.set(key, {value, sends: 0, order: this.lastOrder});
  }

  /** Drops an item. */
  remove(key: string): void {
    this.items.delete(key);
  }

  /**
   * Takes up to `limit` items for one message: those sent the fewest times first, and newest first among them,
   * so that a burst of changes does not hold back the first copy of each. Each taken item counts as sent.
   * @param sendLimit Number of sends after which an item is dropped.
   * @param accepts Items that this message may carry.
   */
  take(
    limit: number,
    sendLimit: number,
    accepts: (value: T) => boolean = () => true,
  ): readonly T[] {
    if (this.items.size === 0 || limit <= 0) return [];
    const candidates = [...this.items].filter(([, item]) => accepts(item.value));
    if (candidates.length > limit) {
      candidates.sort(([, a], [, b]) => a.sends - b.sends || b.order - a.order);
    }
    const taken = candidates.slice(0, limit);
    for (const [key, item] of taken) {
      item.sends += 1;
      if (item.sends >= sendLimit) this.items.delete(key);
    }
    return taken.map(([, item]) => item.value);
  }
}

/** Number of times that one change is sent by each instance; grows with the logarithm of the fleet. */
export function sendLimitFor(memberCount: number): number {
  return 4 + 3 * Math.ceil(Math.log2(memberCount + 1));
}
