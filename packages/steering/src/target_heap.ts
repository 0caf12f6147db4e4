/** Binary heap of targets with a free slot, best first; a target knows its place, so that updates are cheap. */

/** Something that the heap can order. */
export interface HeapItem {
  /** Place in the heap; -1 when it is not in it. */
  heapIndex: number;
}

/** Ordered by `isBetter`; an entry whose order changes must be updated. */
export class TargetHeap<Item extends HeapItem> {
  private readonly items: Item[] = [];

  constructor(private readonly isBetter: (a: Item, b: Item) => boolean) {}

  /** The best entry that passes the test; entries before it are looked at in order. */
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
    for (const item of skipped) this.update(item);
    return found;
  }

  /** Inserts an entry or moves it to its place. */
  update(item: Item): void {
    if (item.heapIndex < 0) {
      item.heapIndex = this.items.length;
      this.items.push(item);
    }
    this.siftUp(item);
    this.siftDown(item);
  }

  /** Takes an entry out; nothing happens when it is not in. */
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
