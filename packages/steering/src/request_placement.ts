/**
 * Finds a slot or a queue for a request: first in the region of its share, then in other regions, within the
 * overflow budget or, when the region is lost, without it.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {PoolDirectory} from './pool_directory';
import type {PendingRequest, PoolQueue} from './pool_queue';
import {deadlineRefusal, noTargetRefusal} from './refusals';
import type {Slot} from './target_state';

/** Places requests in the pools of one entry. */
export class RequestPlacement {
  constructor(
    private readonly pools: PoolDirectory,
    private readonly time: TimeSource,
  ) {}

  /** Answers the request, or queues it. */
  place(request: PendingRequest): void {
    const nowMs = this.time.monotonicMs();
    const preferred = this.pools.find(request.serviceId, request.regionId);
    if (preferred !== undefined && request.deadlineMs <= nowMs) {
      const figures = preferred.figures();
      const refusal = deadlineRefusal(figures, request.deadlineMs - nowMs, figures.typicalMs);
      preferred.refuse(request, refusal);
      return;
    }
    const slot = preferred?.pool.tryTake(request);
    if (preferred !== undefined && slot !== undefined) {
      request.answer(slot, preferred);
      return;
    }
    if (!this.tryOverflow(request, preferred)) this.enqueue(request, preferred, nowMs);
  }

  /** Lets waiting requests of a service use free slots of other regions, and leave regions that were lost. */
  moveWaiting(serviceId: string): void {
    for (const queue of this.pools.ofService(serviceId)) {
      if (queue.waiting.size === 0) continue;
      if (queue.pool.isLost()) {
        for (const request of queue.waiting.removeAll()) {
          request.queue = undefined;
          this.place(request);
        }
        continue;
      }
      this.overflowWaiting(queue);
    }
  }

  private overflowWaiting(queue: PoolQueue): void {
    if (!this.hasFreeElsewhere(queue)) return;
    for (const request of queue.waiting.items()) {
      // An earlier answer may have cancelled this request or moved it.
      if (request.queue !== queue) continue;
      const preferred = this.pools.find(request.serviceId, request.regionId);
      if (preferred !== queue && !preferred?.pool.isRecovering()) continue;
      this.tryOverflow(request, preferred);
      if (!this.hasFreeElsewhere(queue)) return;
    }
  }

  private hasFreeElsewhere(queue: PoolQueue): boolean {
    for (const other of this.pools.ofService(queue.pool.serviceId)) {
      if (other !== queue && other.pool.freeSlots > 0) return true;
    }
    return false;
  }

  private tryOverflow(request: PendingRequest, preferred: PoolQueue | undefined): boolean {
    // A retry that has tried all targets of its region is no loss of the region and stays under the cap.
    const unlimited = preferred === undefined || preferred.pool.isRecovering();
    if (!unlimited && !request.route.mayOverflow()) return false;
    for (const other of this.others(request)) {
      if (other === request.queue) continue;
      const slot = other.pool.tryTake(request);
      if (slot === undefined) continue;
      if (!unlimited) request.route.countOverflow();
      this.answer(request, slot, other);
      return true;
    }
    return false;
  }

  private answer(request: PendingRequest, slot: Slot, pool: PoolQueue): void {
    request.queue?.waiting.remove(request);
    request.queue = undefined;
    request.answer(slot, pool);
  }

  /** Queues in the region of the share; when that is lost or recovering, where the wait is shortest. */
  private enqueue(request: PendingRequest, preferred: PoolQueue | undefined, nowMs: number): void {
    let chosen: PoolQueue | undefined;
    if (preferred !== undefined && !this.isLostFor(request, preferred)) chosen = preferred;
    if (chosen === undefined || chosen.pool.isRecovering()) {
      for (const other of this.others(request)) {
        if (this.isLostFor(request, other)) continue;
        if (chosen === undefined || this.isShorter(other, chosen, request)) chosen = other;
      }
    }
    if (chosen !== undefined) {
      chosen.admit(request, nowMs);
      return;
    }
    const {serviceId, excludedTargetIds, route} = request;
    const refusal = noTargetRefusal(serviceId, route.route.regionOrder, excludedTargetIds.length);
    if (preferred !== undefined) preferred.refuse(request, refusal);
    else request.refuse(refusal);
  }

  private isShorter(a: PoolQueue, b: PoolQueue, request: PendingRequest): boolean {
    return (
      a.expectedMs(a.waiting.countAhead(request)) < b.expectedMs(b.waiting.countAhead(request))
    );
  }

  /** True when the region has no target for this request, counting those that were tried before. */
  private isLostFor(request: PendingRequest, queue: PoolQueue | undefined): boolean {
    if (queue === undefined) return true;
    return queue.pool.isLost() || !queue.pool.hasOtherTarget(request.excludedTargetIds);
  }

  private *others(request: PendingRequest): Iterable<PoolQueue> {
    for (const regionId of request.route.route.regionOrder) {
      if (regionId === request.regionId) continue;
      const queue = this.pools.find(request.serviceId, regionId);
      if (queue !== undefined) yield queue;
    }
  }
}
