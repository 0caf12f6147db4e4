/**
 * Indexed binary heap. Each item stores its own index, so that an update or removal needs no search and takes
 * O(log n).
 */

/** An item that stores its own index in the heap. */
export interface HeapItem {
  /** Index in the heap; -1 if the item is not in it. */
  heapIndex: number;
}

/**
 * Indexed binary heap with the best item by `isBetter` first; `insertOrUpdate` must be called for an item whose order
 * changes.
 */
export class TargetHeap<Item extends HeapItem> {
  private readonly items: Item[] = [];

  constructor(private readonly isBetter: (a: Item, b: Item) => boolean) {}

  /** The best item that `accepts` returns true for; better items are tested before it. */
  findBest(accepts: (item: Item) => boolean): Item | undefined {
    const skipped: Item[] = [];
    let found: Item | undefined;
    for (let item = this.items[0]; item !== undefined; item = this.items[0]) {
      if (accepts(item)) {
        found = item;
        break;
      }
      skipped.push(item);
      this.remove(item);
    }
    for (const item of skipped) this.insertOrUpdate(item);
    return found;
  }

  /** Inserts an item that is not in the heap; otherwise restores the heap order after the item has changed. */
  insertOrUpdate(item: Item): void {
    if (item.heapIndex < 0) {
      item.heapIndex = this.items.length;
      this.items.push(item);
    }
    this.siftUp(item);
    this.siftDown(item);
  }

  /** Removes an item, if it is in the heap. */
  remove(item: Item): void {
    const index = item.heapIndex;
    if (index < 0) return;
    const last = this.items.pop();
    item.heapIndex = -1;
    if (last === undefined || last === item) return;
    this.setAt(last, index);
    this.siftUp(last);
    this.siftDown(last);
  }

  private setAt(item: Item, index: number): void {
    this.items[index] = item;
    item.heapIndex = index;
  }

  private siftUp(item: Item): void {
    while (item.heapIndex > 0) {
      const parentIndex = (item.heapIndex - 1) >>> 1;
      const parent = this.items[parentIndex];
      if (parent === undefined || !this.isBetter(item, parent)) return;
      this.setAt(parent, item.heapIndex);
      this.setAt(item, parentIndex);
    }
  }

  private siftDown(item: Item): void {
    for (;;) {
      const leftIndex = 2 * item.heapIndex + 1;
      const left = this.items[leftIndex];
      if (left === undefined) return;
      const right = this.items[leftIndex + 1];
      const child = right !== undefined && this.isBetter(right, left) ? right : left;
      if (!this.isBetter(child, item)) return;
      const childIndex = child.heapIndex;
      this.setAt(child, item.heapIndex);
      this.setAt(item, childIndex);
    }
  }
}
