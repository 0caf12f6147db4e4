/** Items waiting to be spread, each sent a bounded number of times. */

interface QueuedItem<T> {
  readonly key: string;
  readonly value: T;
  sends: number;
}

/** Holds at most one item per key. An item that changes starts over. */
export class UpdateQueue<T> {
  private readonly items = new Map<string, QueuedItem<T>>();
  /**
   * Items by number of sends, oldest first. Replaced and removed items stay until a search passes them, so that
   * taking does not cost a pass over thousands of items while a new instance learns of the whole fleet.
   */
  private readonly bySends: Array<Array<QueuedItem<T>>> = [];

  /** Number of items that are still being spread. */
  get size(): number {
    return this.items.size;
  }

  /** Adds or replaces an item. */
  enqueue(key: string, value: T): void {
    this.put({key, value, sends: 0});
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
    const taken: Array<QueuedItem<T>> = [];
    if (this.items.size === 0 || limit <= 0) return [];
    for (const bucket of this.bySends) {
      for (let index = bucket.length - 1; index >= 0 && taken.length < limit; index -= 1) {
        const item = bucket[index] as QueuedItem<T>;
        const current = this.items.get(item.key) === item;
        if (current && !accepts(item.value)) continue;
        bucket.splice(index, 1);
        if (current) taken.push(item);
      }
      if (taken.length === limit) break;
    }
    for (const item of taken) {
      item.sends += 1;
      if (item.sends >= sendLimit) this.items.delete(item.key);
      else this.put(item);
    }
    return taken.map(item => item.value);
  }

  private put(item: QueuedItem<T>): void {
    this.items.set(item.key, item);
    const bucket = (this.bySends[item.sends] ??= []);
    bucket.push(item);
  }
}

/** Number of times that one change is sent by each instance; grows with the logarithm of the fleet. */
export function sendLimitFor(memberCount: number): number {
  return 4 + 3 * Math.ceil(Math.log2(memberCount + 1));
}
