/** Decides when an entry asks its peers for slots and when it returns them. */
import type {TimeSource} from '@cuminsill/utils';
import type {PoolQueue} from './pool_queue';
import type {BorrowSlots} from './steering_types';

/** Pause between questions while requests wait and peers lend. */
const minBorrowIntervalMs = 100;
/** Longest pause between questions while no peer has an idle slot. */
const maxBorrowIntervalMs = 400;
/** A question for fewer slots than this is not worth a message between regions. */
const minWantedSlots = 2;

/** Tells a lender that its slots are free again. */
export type ReturnLoans = (lenderId: string, loanIds: readonly string[]) => void;

/** How the entry process reaches its peers. */
export interface PeerHandlers {
  readonly borrow: BorrowSlots;
  readonly returnLoans: ReturnLoans;
}

interface BorrowBackoff {
  lastBorrowAtMs: number;
  intervalMs: number;
}

/** Borrowing of all pools of one entry. */
export class PeerBorrowing {
  private handlers: PeerHandlers | undefined;
  private readonly backoffs = new Map<PoolQueue, BorrowBackoff>();

  constructor(private readonly time: TimeSource) {}

  /** Connects the call-backs; without them nothing is borrowed. */
  connect(handlers: PeerHandlers): void {
    this.handlers = handlers;
  }

  /** Asks for slots when requests wait or were refused, or when no own slot is free. */
  borrowIfNeeded(queue: PoolQueue): void {
    const {pool} = queue;
    if (this.handlers === undefined || pool.freeSlots > 0 || pool.isLost()) return;
    const neededSlots = queue.waiting.size + queue.refusedSinceBorrow;
    if (neededSlots === 0 && pool.inFlight === 0) return;
    const backoff = this.backoffs.get(queue) ?? {
      lastBorrowAtMs: -Infinity,
      intervalMs: minBorrowIntervalMs,
    };
    const nowMs = this.time.monotonicMs();
    if (nowMs - backoff.lastBorrowAtMs < backoff.intervalMs) return;
    backoff.lastBorrowAtMs = nowMs;
    backoff.intervalMs = Math.min(maxBorrowIntervalMs, backoff.intervalMs * 2);
    this.backoffs.set(queue, backoff);
    queue.refusedSinceBorrow = 0;
    const maxSlots = Math.max(2 * minWantedSlots, pool.heldSlots);
    const wantedSlots = Math.min(maxSlots, Math.max(minWantedSlots, neededSlots));
    this.handlers.borrow(pool.serviceId, pool.regionId, wantedSlots);
  }

  /** Notes that a peer has lent slots, so that the next question need not wait. */
  resetBackoff(queue: PoolQueue): void {
    const backoff = this.backoffs.get(queue);
    if (backoff !== undefined) backoff.intervalMs = minBorrowIntervalMs;
  }

  /** Returns borrowed slots that are idle while nothing waits. */
  returnIdleSlots(queue: PoolQueue): void {
    if (this.handlers === undefined || queue.waiting.size > 0) return;
    for (const [lenderId, loanIds] of queue.pool.returnIdleLoans()) {
      this.handlers.returnLoans(lenderId, loanIds);
    }
  }

  /** Forgets a pool that the configuration no longer has. */
  removePool(queue: PoolQueue): void {
    this.backoffs.delete(queue);
  }
}
