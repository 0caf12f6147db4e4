/** Queue of items to gossip; each item is sent a bounded number of times. */

interface QueuedItem<T> {
  readonly key: string;
  readonly value: T;
  sendCount: number;
}

/** Holds at most one item per key. Replacing an item resets its number of sends. */
export class UpdateQueue<T> {
  private readonly items = new Map<string, QueuedItem<T>>();
  /**
   * Items by number of sends, oldest first. Replaced and removed items stay until `take` comes across them. This way
   * `take` need not scan thousands of items while a new instance learns of the whole fleet.
   */
  private readonly bucketsBySendCount: Array<Array<QueuedItem<T>>> = [];

  /** Number of items that are still to be sent. */
  get size(): number {
    return this.items.size;
  }

  /** Adds the item of a key, or replaces it. */
  enqueue(key: string, value: T): void {
    this.insert({key, value, sendCount: 0});
  }

  /** Removes the item of a key, if there is one. */
  remove(key: string): void {
    this.items.delete(key);
  }

  /**
   * Takes up to `maxItems` items for one message: those sent the fewest times first and the newest first among them,
   * so that in a burst of changes each is sent once before any is repeated. Each taken item counts as sent.
   * @param sendLimit Number of sends after which an item is removed.
   * @param isAllowed Returns whether this message may carry an item.
   */
  take(
    maxItems: number,
    sendLimit: number,
    isAllowed: (value: T) => boolean = () => true,
  ): readonly T[] {
    const takenItems: Array<QueuedItem<T>> = [];
    if (this.items.size === 0 || maxItems <= 0) return [];
    for (const bucket of this.bucketsBySendCount) {
      for (let index = bucket.length - 1; index >= 0 && takenItems.length < maxItems; index -= 1) {
        const item = bucket[index] as QueuedItem<T>;
        const isCurrent = this.items.get(item.key) === item;
        if (isCurrent && !isAllowed(item.value)) continue;
        bucket.splice(index, 1);
        if (isCurrent) takenItems.push(item);
      }
      if (takenItems.length === maxItems) break;
    }
    for (const item of takenItems) {
      item.sendCount += 1;
      if (item.sendCount >= sendLimit) this.items.delete(item.key);
      else this.insert(item);
    }
    return takenItems.map(item => item.value);
  }

  private insert(item: QueuedItem<T>): void {
    this.items.set(item.key, item);
    const bucket = (this.bucketsBySendCount[item.sendCount] ??= []);
    bucket.push(item);
  }
}

/** Number of times that each instance sends one change; grows with the logarithm of the number of members. */
export function sendLimitFor(memberCount: number): number {
  return 4 + 3 * Math.ceil(Math.log2(memberCount + 1));
}
