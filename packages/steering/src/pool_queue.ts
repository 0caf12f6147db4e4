/** A slot pool with the requests that wait for it, and the decision whether a request may wait. */
import type {ResultError, ServiceLoad} from '@cuminsill/types';
import {AdmissionQueue} from './admission_queue';
import type {PoolFigures} from './refusals';
import {deadlineRefusal, overloadedRefusal} from './refusals';
import type {RouteState} from './route_state';
import type {SlotPool} from './slot_pool';
import type {AssignmentRequest} from './steering_types';
import type {Slot} from './target_state';

/** A request that has not been answered yet. */
export interface PendingRequest extends AssignmentRequest {
  readonly route: RouteState;
  /** Region that the shares say. */
  readonly regionId: string;
  /** Queue that the request waits in. */
  queue?: PoolQueue;
  readonly answer: (slot: Slot, queue: PoolQueue) => void;
  readonly refuse: (refusal: ResultError) => void;
}

/** One service in one region at one entry. */
export class PoolQueue {
  readonly waiting = new AdmissionQueue<PendingRequest>();
  refusedTotal = 0;
  /** Requests refused for want of slots since peers were last asked for some. */
  unmet = 0;

  constructor(
    readonly pool: SlotPool,
    private readonly queuePerSlot: number,
  ) {}

  /** Expected time until a request that arrives now would be answered, in milliseconds. */
  expectedMs(ahead: number): number {
    const {heldSlots, typicalMs} = this.pool;
    return ((ahead + 1) / Math.max(1, heldSlots)) * typicalMs + typicalMs;
  }

  /**
   * Queues the request, or answers it with a refusal at once. A full queue drops its last request of a lower
   * class instead.
   */
  admit(request: PendingRequest, nowMs: number): void {
    const neededMs = this.expectedMs(this.waiting.countAhead(request));
    const remainingMs = request.deadlineMs - nowMs;
    if (neededMs > remainingMs) {
      this.unmet += 1;
      this.refuse(request, deadlineRefusal(this.figures(), remainingMs, neededMs));
      return;
    }
    const limit = this.queueLimit();
    if (this.waiting.size >= limit) {
      const dropped = this.waiting.removeBelow(request.trafficClass);
      this.unmet += 1;
      this.refuse(dropped ?? request, overloadedRefusal(this.figures(), limit));
      if (dropped === undefined) return;
    }
    request.queue = this;
    this.waiting.add(request);
  }

  /** Serves waiting requests while there are free slots for them. */
  serve(): void {
    this.pool.expire();
    for (;;) {
      if (this.pool.freeSlots === 0 || this.waiting.size === 0) return;
      if (!this.serveOne()) return;
    }
  }

  /** Refuses the waiting requests that can no longer finish in time. */
  refuseLate(nowMs: number): void {
    for (const request of this.waiting.removeLate(nowMs, this.pool.typicalMs)) {
      const remainingMs = request.deadlineMs - nowMs;
      this.refuse(request, deadlineRefusal(this.figures(), remainingMs, this.pool.typicalMs));
    }
  }

  /** Answers a request with a refusal. */
  refuse(request: PendingRequest, refusal: ResultError): void {
    this.refusedTotal += 1;
    request.queue = undefined;
    request.refuse(refusal);
  }

  /** Figures for refusals. */
  figures(): PoolFigures {
    const {serviceId, regionId, heldSlots, inFlight, typicalMs} = this.pool;
    return {serviceId, regionId, heldSlots, inFlight, queued: this.waiting.size, typicalMs};
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
  private queueLimit(): number {
    return this.queuePerSlot * Math.max(1, this.pool.heldSlots);
  }

  private serveOne(): boolean {
    for (const request of this.waiting.items()) {
      const slot = this.pool.tryTake(request);
      if (slot === undefined) continue;
      this.waiting.remove(request);
      request.queue = undefined;
      request.answer(slot, this);
      return true;
    }
    return false;
  }
}
