/** Binary heap, used as a priority queue of numbers. */

/** A min-heap of distinct numbers. */
export class MinHeap {
  private readonly items: number[] = [];

  /** Returns the smallest number without removing it; undefined when the heap is empty. */
  peek(): number | undefined {
    return this.items[0];
  }

  /** Adds a number, which must not be in the heap yet. */
  push(item: number): void {
    this.items.push(item);
    let index = this.items.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.at(parent) <= item) break;
      this.items[index] = this.at(parent);
      index = parent;
    }
    this.items[index] = item;
  }

  /** Removes the smallest number. */
  pop(): void {
    const last = this.items.pop();
    if (last === undefined || this.items.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= this.items.length) break;
      if (child + 1 < this.items.length && this.at(child + 1) < this.at(child)) child += 1;
      if (this.at(child) >= last) break;
      this.items[index] = this.at(child);
      index = child;
    }
    this.items[index] = last;
  }

  private at(index: number): number {
    return this.items[index] as number;
  }
}
