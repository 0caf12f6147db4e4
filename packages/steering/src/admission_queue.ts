/**
 * Requests that wait for a slot of one pool: interactive first, then upload, then batch; within a class by
 * deadline, then in order of arrival. The queue is small, because it is bounded by the pool's slots.
 */
import type {TrafficClass} from '@cuminsill/types';
import {trafficClasses} from '@cuminsill/types';

/** What the queue needs to know of a waiting request. */
export interface WaitingRequest {
  readonly trafficClass: TrafficClass;
  /** On the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
}

/** Waiting requests of one pool. */
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

  /** Number of waiting requests that would be served before this one. */
  countAhead(item: WaitingRequest): number {
    let aheadCount = 0;
    for (const trafficClass of trafficClasses) {
      if (trafficClass === item.trafficClass) return aheadCount + this.insertionIndex(item);
      aheadCount += this.requestsByClass[trafficClass].length;
    }
    return aheadCount;
  }

  /** Adds a request at its place. */
  add(item: Item): void {
    this.requestsByClass[item.trafficClass].splice(this.insertionIndex(item), 0, item);
  }

  /** Removes a request; false when it does not wait here. */
  remove(item: Item): boolean {
    const requests = this.requestsByClass[item.trafficClass];
    const index = requests.indexOf(item);
    if (index < 0) return false;
    requests.splice(index, 1);
    return true;
  }

  /** Removes and returns the last request of the lowest class below the given one. */
  removeLowerClass(trafficClass: TrafficClass): Item | undefined {
    for (const candidate of [...trafficClasses].reverse()) {
      if (candidate === trafficClass) return undefined;
      const last = this.requestsByClass[candidate].pop();
      if (last !== undefined) return last;
    }
    return undefined;
  }

  /** Removes and returns the requests that can no longer finish in time. */
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

  /** All requests in the order of service. */
  items(): readonly Item[] {
    return trafficClasses.flatMap(trafficClass => this.requestsByClass[trafficClass]);
  }

  private insertionIndex(item: WaitingRequest): number {
    const list = this.requestsByClass[item.trafficClass];
    let low = 0;
    let high = list.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((list[middle]?.deadlineMs ?? Infinity) <= item.deadlineMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
