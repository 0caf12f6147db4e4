/**
 * Priority queue of the requests that wait for a slot of one pool: by traffic class (interactive, upload, batch),
 * then by deadline, then by arrival. Sorted arrays are enough, because the number of slots in the pool limits the
 * length of the queue.
 */
import type {TrafficClass} from '@cuminsill/types';
import {trafficClasses} from '@cuminsill/types';

/** The properties of a request that decide its place in the queue. */
export interface WaitingRequest {
  readonly trafficClass: TrafficClass;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
}

/** Waiting requests of one pool in the order in which they are served. */
export class AdmissionQueue<Item extends WaitingRequest> {
  private readonly requestsByClass: Readonly<Record<TrafficClass, Item[]>> = {
    interactive: [],
    upload: [],
    batch: [],
  };

  /** Number of waiting requests. */
  get size(): number {
    const {interactive, upload, batch} = this.requestsByClass;
    return interactive.length + upload.length + batch.length;
  }

  /** Number of waiting requests that would be served before the given one if it were added now. */
  countAhead(item: WaitingRequest): number {
    let aheadCount = 0;
    for (const trafficClass of trafficClasses) {
      if (trafficClass === item.trafficClass) return aheadCount + this.insertionIndex(item);
      aheadCount += this.requestsByClass[trafficClass].length;
    }
    return aheadCount;
  }

  /** Adds a request behind those of the same class with the same or an earlier deadline. */
  add(item: Item): void {
    this.requestsByClass[item.trafficClass].splice(this.insertionIndex(item), 0, item);
  }

  /** Removes a request. Returns false if it is not in the queue. */
  remove(item: Item): boolean {
    const requests = this.requestsByClass[item.trafficClass];
    const index = requests.indexOf(item);
    if (index < 0) return false;
    requests.splice(index, 1);
    return true;
  }

  /** Removes and returns the last request of the lowest non-empty class below the given one. */
  removeLowerClass(trafficClass: TrafficClass): Item | undefined {
    for (const candidate of [...trafficClasses].reverse()) {
      if (candidate === trafficClass) return undefined;
      const last = this.requestsByClass[candidate].pop();
      if (last !== undefined) return last;
    }
    return undefined;
  }

  /** Removes and returns the requests whose deadline passes before they could be served. */
  removeLate(nowMs: number, expectedServiceMs: number): readonly Item[] {
    const late: Item[] = [];
    for (const trafficClass of trafficClasses) {
      const requests = this.requestsByClass[trafficClass];
      const firstInTime = requests.findIndex(item => item.deadlineMs >= nowMs + expectedServiceMs);
      late.push(...requests.splice(0, firstInTime < 0 ? requests.length : firstInTime));
    }
    return late;
  }

  /** Removes and returns all requests. */
  removeAll(): readonly Item[] {
    return trafficClasses.flatMap(trafficClass => this.requestsByClass[trafficClass].splice(0));
  }

  /** All requests in the order in which they are served. */
  items(): readonly Item[] {
    return trafficClasses.flatMap(trafficClass => this.requestsByClass[trafficClass]);
  }

  private insertionIndex(item: WaitingRequest): number {
    const requests = this.requestsByClass[item.trafficClass];
    let low = 0;
    let high = requests.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((requests[middle]?.deadlineMs ?? Infinity) <= item.deadlineMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
