/** A slot pool with the requests that wait for it, and the decision whether a request may wait. */
import type {ResultError, ServiceLoad} from '@cuminsill/types';
import {AdmissionQueue} from './admission_queue';
import type {PoolStats} from './refusals';
import {deadlineRefusal, overloadedRefusal} from './refusals';
import type {RouteState} from './route_state';
import type {SlotPool} from './slot_pool';
import type {AssignmentRequest} from './steering_types';
import type {Slot} from './target_state';

/** A request that has not been answered yet. */
export interface PendingRequest extends AssignmentRequest {
  readonly route: RouteState;
  /** Region that the shares say. */
  readonly assignedRegionId: string;
  /** Queue that the request waits in. */
  queue?: PoolQueue;
  readonly onSlot: (slot: Slot, queue: PoolQueue) => void;
  readonly onRefusal: (refusal: ResultError) => void;
}

/** One service in one region at one entry. */
export class PoolQueue {
  readonly waiting = new AdmissionQueue<PendingRequest>();
  refusedTotal = 0;
  /** Requests refused for want of slots since peers were last asked for some. */
  refusedSinceBorrow = 0;

  constructor(
    readonly pool: SlotPool,
    private readonly queuePerSlot: number,
  ) {}

  /** Expected time until a request that arrives now would be answered, in milliseconds. */
  expectedAnswerMs(aheadCount: number): number {
    const {heldSlots, averageLatencyMs: typicalMs} = this.pool;
    return ((aheadCount + 1) / Math.max(1, heldSlots)) * typicalMs + typicalMs;
  }

  /**
   * Queues the request, or answers it with a refusal at once. A full queue drops its last request of a lower
   * class instead.
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

  /** Serves waiting requests while there are free slots for them. */
  serveWaiting(): void {
    this.pool.applyDueChanges();
    for (;;) {
      if (this.pool.freeSlots === 0 || this.waiting.size === 0) return;
      if (!this.serveNext()) return;
    }
  }

  /** Refuses the waiting requests that can no longer finish in time. */
  refuseLate(nowMs: number): void {
    for (const request of this.waiting.removeLate(nowMs, this.pool.averageLatencyMs)) {
      const remainingMs = request.deadlineMs - nowMs;
      this.refuse(request, deadlineRefusal(this.stats(), remainingMs, this.pool.averageLatencyMs));
    }
  }

  /** Answers a request with a refusal. */
  refuse(request: PendingRequest, refusal: ResultError): void {
    this.refusedTotal += 1;
    request.queue = undefined;
    request.onRefusal(refusal);
  }

  /** Figures for refusals. */
  stats(): PoolStats {
    const {serviceId, regionId, heldSlots, inFlight, averageLatencyMs: typicalMs} = this.pool;
    return {
      serviceId,
      regionId,
      heldSlots,
      inFlight,
      queued: this.waiting.size,
      averageLatencyMs: typicalMs,
    };
  }

  /** Load for the control process. */
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

  /** An entry without slots of its own may still queue a few requests while it borrows. */
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
