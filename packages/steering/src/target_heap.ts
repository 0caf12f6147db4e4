/** Binary heap of targets with a free slot, best first; a target knows its place, so that updates are cheap. */

/** Something that the heap can order. */
export interface HeapEntry {
  /** Place in the heap; -1 when it is not in it. */
  heapIndex: number;
}

/** Ordered by `isBetter`; an entry whose order changes must be updated. */
export class TargetHeap<Entry extends HeapEntry> {
  private readonly entries: Entry[] = [];

  constructor(private readonly isBetter: (a: Entry, b: Entry) => boolean) {}

  /** The best entry that passes the test; entries before it are looked at in order. */
  findBest(accepts: (entry: Entry) => boolean): Entry | undefined {
    const rejected: Entry[] = [];
    let found: Entry | undefined;
    for (let entry = this.entries[0]; entry !== undefined; entry = this.entries[0]) {
      if (accepts(entry)) {
        found = entry;
        break;
      }
      rejected.push(entry);
      this.remove(entry);
    }
    for (const entry of rejected) this.update(entry);
    return found;
  }

  /** Inserts an entry or moves it to its place. */
  update(entry: Entry): void {
    if (entry.heapIndex < 0) {
      entry.heapIndex = this.entries.length;
      this.entries.push(entry);
    }
    this.siftUp(entry);
    this.siftDown(entry);
  }

  /** Takes an entry out; nothing happens when it is not in. */
  remove(entry: Entry): void {
    const index = entry.heapIndex;
    if (index < 0) return;
    const last = this.entries.pop();
    entry.heapIndex = -1;
    if (last === undefined || last === entry) return;
    this.place(last, index);
    this.siftUp(last);
    this.siftDown(last);
  }

  private place(entry: Entry, index: number): void {
    this.entries[index] = entry;
    entry.heapIndex = index;
  }

  private siftUp(entry: Entry): void {
    while (entry.heapIndex > 0) {
      const parentIndex = (entry.heapIndex - 1) >>> 1;
      const parent = this.entries[parentIndex];
      if (parent === undefined || !this.isBetter(entry, parent)) return;
      this.place(parent, entry.heapIndex);
      this.place(entry, parentIndex);
    }
  }

  private siftDown(entry: Entry): void {
    for (;;) {
      const leftIndex = 2 * entry.heapIndex + 1;
      const left = this.entries[leftIndex];
      if (left === undefined) return;
      const right = this.entries[leftIndex + 1];
      const child = right !== undefined && this.isBetter(right, left) ? right : left;
      if (!this.isBetter(child, entry)) return;
      const childIndex = child.heapIndex;
      this.place(child, entry.heapIndex);
      this.place(entry, childIndex);
    }
  }
}
