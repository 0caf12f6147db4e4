/**
 * Finds a slot or a queue for a request: first in the region that the shares assign it to, then in other regions. The
 * overflow budget limits the use of other regions unless the assigned region is lost or recovering.
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

  /** Gives the request a slot, queues it or refuses it. */
  place(request: PendingRequest): void {
    const nowMs = this.time.monotonicMs();
    const assigned = this.pools.findPool(request.serviceId, request.assignedRegionId);
    if (assigned !== undefined && request.deadlineMs <= nowMs) {
      const stats = assigned.stats();
      const refusal = deadlineRefusal(stats, request.deadlineMs - nowMs, stats.averageLatencyMs);
      assigned.refuse(request, refusal);
      return;
    }
    const slot = assigned?.pool.tryAcquire(request);
    if (assigned !== undefined && slot !== undefined) {
      request.onSlot(slot, assigned);
      return;
    }
    if (!this.tryOverflow(request, assigned)) this.enqueue(request, assigned, nowMs);
  }

  /** Moves waiting requests of a service to free slots of other regions, and away from lost regions. */
  moveWaiting(serviceId: string): void {
    for (const queue of this.pools.poolsOfService(serviceId)) {
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
    if (!this.hasFreeSlotsElsewhere(queue)) return;
    for (const request of queue.waiting.items()) {
      // The callback of an earlier request in the loop may have cancelled or moved this one.
      if (request.queue !== queue) continue;
      const assigned = this.pools.findPool(request.serviceId, request.assignedRegionId);
      if (assigned !== queue && !assigned?.pool.isRecovering()) continue;
      this.tryOverflow(request, assigned);
      if (!this.hasFreeSlotsElsewhere(queue)) return;
    }
  }

  private hasFreeSlotsElsewhere(queue: PoolQueue): boolean {
    for (const other of this.pools.poolsOfService(queue.pool.serviceId)) {
      if (other !== queue && other.pool.freeSlots > 0) return true;
    }
    return false;
  }

  private tryOverflow(request: PendingRequest, assigned: PoolQueue | undefined): boolean {
    // A retry that has tried all targets of its region stays under the cap, because the region is not lost.
    const ignoresCap = assigned === undefined || assigned.pool.isRecovering();
    if (!ignoresCap && !request.route.mayOverflow()) return false;
    for (const other of this.otherPools(request)) {
      if (other === request.queue) continue;
      const slot = other.pool.tryAcquire(request);
      if (slot === undefined) continue;
      if (!ignoresCap) request.route.countOverflow();
      this.assignSlot(request, slot, other);
      return true;
    }
    return false;
  }

  private assignSlot(request: PendingRequest, slot: Slot, pool: PoolQueue): void {
    request.queue?.waiting.remove(request);
    request.queue = undefined;
    request.onSlot(slot, pool);
  }

  /** Queues the request in its assigned region or, if that is lost or recovering, where the wait is shortest. */
  private enqueue(request: PendingRequest, assigned: PoolQueue | undefined, nowMs: number): void {
    let chosen: PoolQueue | undefined;
    if (assigned !== undefined && !this.hasNoTargetFor(request, assigned)) chosen = assigned;
    if (chosen === undefined || chosen.pool.isRecovering()) {
      for (const other of this.otherPools(request)) {
        if (this.hasNoTargetFor(request, other)) continue;
        if (chosen === undefined || this.hasShorterWait(other, chosen, request)) chosen = other;
      }
    }
    if (chosen !== undefined) {
      chosen.admit(request, nowMs);
      return;
    }
    const {serviceId, excludedTargetIds, route} = request;
    const refusal = noTargetRefusal(
      serviceId,
      route.route.regionIdsByPreference,
      excludedTargetIds.length,
    );
    if (assigned !== undefined) assigned.refuse(request, refusal);
    else request.onRefusal(refusal);
  }

  private hasShorterWait(a: PoolQueue, b: PoolQueue, request: PendingRequest): boolean {
    return (
      a.expectedAnswerMs(a.waiting.countAhead(request)) <
      b.expectedAnswerMs(b.waiting.countAhead(request))
    );
  }

  /** True if the region is lost or the request has already tried all of its targets. */
  private hasNoTargetFor(request: PendingRequest, queue: PoolQueue | undefined): boolean {
    if (queue === undefined) return true;
    return queue.pool.isLost() || !queue.pool.hasOtherTarget(request.excludedTargetIds);
  }

  private *otherPools(request: PendingRequest): Iterable<PoolQueue> {
    for (const regionId of request.route.route.regionIdsByPreference) {
      if (regionId === request.assignedRegionId) continue;
      const queue = this.pools.findPool(request.serviceId, regionId);
      if (queue !== undefined) yield queue;
    }
  }
}
