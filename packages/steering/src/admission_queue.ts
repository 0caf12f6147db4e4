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
  private readonly waiting: Readonly<Record<TrafficClass, Item[]>> = {
    interactive: [],
    upload: [],
    batch: [],
  };

  /** Number of waiting requests. */
  get size(): number {
    const {interactive, upload, batch} = this.waiting;
    return interactive.length + upload.length + batch.length;
  }

  /** Number of waiting requests that would be served before this one. */
  countAhead(item: WaitingRequest): number {
    let ahead = 0;
    for (const trafficClass of trafficClasses) {
      if (trafficClass === item.trafficClass) return ahead + this.insertionIndex(item);
      ahead += this.waiting[trafficClass].length;
    }
    return ahead;
  }

  /** Adds a request at its place. */
  add(item: Item): void {
    this.waiting[item.trafficClass].splice(this.insertionIndex(item), 0, item);
  }

  /** Removes a request; false when it does not wait here. */
  remove(item: Item): boolean {
    const list = this.waiting[item.trafficClass];
    const index = list.indexOf(item);
    if (index < 0) return false;
    list.splice(index, 1);
    return true;
  }

  /** Removes and returns the last request of the lowest class below the given one. */
  removeBelow(trafficClass: TrafficClass): Item | undefined {
    for (const candidate of [...trafficClasses].reverse()) {
      if (candidate === trafficClass) return undefined;
      const last = this.waiting[candidate].pop();
      if (last !== undefined) return last;
    }
    return undefined;
  }

  /** Removes and returns the requests that can no longer finish in time. */
  removeLate(nowMs: number, serviceMs: number): readonly Item[] {
    const late: Item[] = [];
    for (const trafficClass of trafficClasses) {
      const list = this.waiting[trafficClass];
      const firstInTime = list.findIndex(item => item.deadlineMs >= nowMs + serviceMs);
      late.push(...list.splice(0, firstInTime < 0 ? list.length : firstInTime));
    }
    return late;
  }

  /** Removes and returns all requests. */
  removeAll(): readonly Item[] {
    return trafficClasses.flatMap(trafficClass => this.waiting[trafficClass].splice(0));
  }

  /** All requests in the order of service. */
  items(): readonly Item[] {
    return trafficClasses.flatMap(trafficClass => this.waiting[trafficClass]);
  }

  private insertionIndex(item: WaitingRequest): number {
    const list = this.waiting[item.trafficClass];
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
