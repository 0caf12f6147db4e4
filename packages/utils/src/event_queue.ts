/** Discrete-event simulation: events run in order of their virtual times, without waiting for a real clock. */

interface ScheduledEvent {
  readonly atMs: number;
  /** Keeps events with the same time in the order in which they were scheduled. */
  readonly sequence: number;
  readonly run: () => void;
}

/** A binary heap of scheduled events, with a virtual clock that advances to each event as it runs. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];
  private scheduledCount = 0;
  private currentMs = 0;

  /** Current virtual time in milliseconds. */
  get nowMs(): number {
    return this.currentMs;
  }

  /** Schedules a callback to run `delayMs` milliseconds after the current virtual time. */
  schedule(delayMs: number, run: () => void): void {
    this.heap.push({atMs: this.currentMs + delayMs, sequence: this.scheduledCount, run});
    this.scheduledCount += 1;
    this.siftUp(this.heap.length - 1);
  }

  /** Runs all events up to and including `endMs`, or until none is left. */
  runUntil(endMs = Infinity): void {
    for (let next = this.heap[0]; next !== undefined && next.atMs <= endMs; next = this.heap[0]) {
      this.removeFirst();
      this.currentMs = next.atMs;
      next.run();
    }
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown(0);
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      let first = index;
      if (this.isBefore(left, first)) first = left;
      if (this.isBefore(left + 1, first)) first = left + 1;
      if (first === index) return;
      this.swap(index, first);
      index = first;
    }
  }

  private isBefore(index: number, other: number): boolean {
    const a = this.heap[index];
    const b = this.heap[other];
    if (a === undefined || b === undefined) return false;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
  }

  private swap(index: number, other: number): void {
    const a = this.heap[index];
    const b = this.heap[other];
    if (a === undefined || b === undefined) return;
    this.heap[index] = b;
    this.heap[other] = a;
  }
}
