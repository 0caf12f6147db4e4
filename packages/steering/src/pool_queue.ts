/** A slot pool with the queue of requests that wait for its slots, and admission control of that queue. */
import type {ResultError, ServiceLoad} from '@cuminsill/types';
import {AdmissionQueue} from './admission_queue';
import type {PoolStats} from './refusals';
import {deadlineRefusal, overloadedRefusal} from './refusals';
import type {RouteState} from './route_state';
import type {SlotPool} from './slot_pool';
import type {AssignmentRequest} from './steering_types';
import type {Slot} from './target_state';

/** A request that has neither a slot nor a refusal yet. */
export interface PendingRequest extends AssignmentRequest {
  readonly route: RouteState;
  /** Region that the request is assigned to by the shares of its route. */
  readonly assignedRegionId: string;
  /** Queue in which the request waits; undefined while it does not wait. */
  queue?: PoolQueue;
  readonly onSlot: (slot: Slot, queue: PoolQueue) => void;
  readonly onRefusal: (refusal: ResultError) => void;
}

/** Pool and queue of one service in one region at one entry. */
export class PoolQueue {
  readonly waiting = new AdmissionQueue<PendingRequest>();
  refusedTotal = 0;
  /** Requests refused because slots were scarce, counted since slots were last requested from peers. */
  refusedSinceBorrow = 0;

  constructor(
    readonly pool: SlotPool,
    private readonly queuePerSlot: number,
  ) {}

  /** Expected time until a request with `aheadCount` requests before it is answered, in milliseconds. */
  expectedAnswerMs(aheadCount: number): number {
    const {heldSlots, averageLatencyMs} = this.pool;
    return ((aheadCount + 1) / Math.max(1, heldSlots)) * averageLatencyMs + averageLatencyMs;
  }

  /**
   * Queues the request, or refuses it if its deadline is too short or the queue is full. A full queue refuses its last
   * request of a lower class instead, if it has one.
   */
  admit(request: PendingRequest, nowMs: number): void {
    const neededMs = this.expectedAnswerMs(this.waiting.countAhead(request));
    const remainingMs = request.deadlineMs - nowMs;
    if (neededMs > remainingMs) {
      this.refusedSinceBorrow += 1;
      this.refuse(request, deadlineRefusal(this.stats(), remainingMs, neededMs));
      return;
    }
    const maxQueued = this.maxQueuedRequests();
    if (this.waiting.size >= maxQueued) {
      const dropped = this.waiting.removeLowerClass(request.trafficClass);
      this.refusedSinceBorrow += 1;
      this.refuse(dropped ?? request, overloadedRefusal(this.stats(), maxQueued));
      if (dropped === undefined) return;
    }
    request.queue = this;
    this.waiting.add(request);
  }

  /** Gives free slots to waiting requests. */
  serveWaiting(): void {
    this.pool.applyDueChanges();
    for (;;) {
      if (this.pool.freeSlots === 0 || this.waiting.size === 0) return;
      if (!this.serveNext()) return;
    }
  }

  /** Refuses the waiting requests that can no longer be answered before their deadline. */
  refuseLate(nowMs: number): void {
    for (const request of this.waiting.removeLate(nowMs, this.pool.averageLatencyMs)) {
      const remainingMs = request.deadlineMs - nowMs;
      this.refuse(request, deadlineRefusal(this.stats(), remainingMs, this.pool.averageLatencyMs));
    }
  }

  /** Refuses a request and counts the refusal. */
  refuse(request: PendingRequest, refusal: ResultError): void {
    this.refusedTotal += 1;
    request.queue = undefined;
    request.onRefusal(refusal);
  }

  /** Current numbers of the pool, for the text of a refusal. */
  stats(): PoolStats {
    const {serviceId, regionId, heldSlots, inFlight, averageLatencyMs} = this.pool;
    return {
      serviceId,
      regionId,
      heldSlots,
      inFlight,
      queued: this.waiting.size,
      averageLatencyMs,
    };
  }

  /** Load of the pool as it is reported to the control process. */
  load(): ServiceLoad {
    const {serviceId, regionId, heldSlots, inFlight, answeredTotal} = this.pool;
    return {
      serviceId,
      targetRegionId: regionId,
      inFlight,
      queued: this.waiting.size,
      heldSlots,
      answeredTotal,
      refusedTotal: this.refusedTotal,
    };
  }

  /** Counts at least one slot, so that an entry without slots can queue a few requests while it borrows. */
  private maxQueuedRequests(): number {
    return this.queuePerSlot * Math.max(1, this.pool.heldSlots);
  }

  private serveNext(): boolean {
    for (const request of this.waiting.items()) {
      const slot = this.pool.tryAcquire(request);
      if (slot === undefined) continue;
      this.waiting.remove(request);
      request.queue = undefined;
      request.onSlot(slot, this);
      return true;
    }
    return false;
  }
}
