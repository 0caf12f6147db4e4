/** Decides when an entry borrows slots from its peers and when it returns them. */
import type {TimeSource} from '@cuminsill/utils';
import type {PoolQueue} from './pool_queue';
import type {BorrowSlots} from './steering_types';

/** Interval between borrow requests of a pool while peers lend slots. */
const minBorrowIntervalMs = 100;
/** Longest interval between borrow requests of a pool while no peer has an idle slot. */
const maxBorrowIntervalMs = 400;
/** Borrowing fewer slots than this is not worth a message between regions. */
const minWantedSlots = 2;

/** Tells a lender that the borrower no longer uses its slots. */
export type ReturnLoans = (lenderId: string, loanIds: readonly string[]) => void;

/** Functions of the entry process that send messages to its peers. */
export interface PeerHandlers {
  readonly borrow: BorrowSlots;
  readonly returnLoans: ReturnLoans;
}

interface BorrowBackoff {
  lastBorrowAtMs: number;
  intervalMs: number;
}

/** Borrows slots for all pools of one entry, with exponential backoff per pool. */
export class PeerBorrowing {
  private handlers: PeerHandlers | undefined;
  private readonly backoffs = new Map<PoolQueue, BorrowBackoff>();

  constructor(private readonly time: TimeSource) {}

  /** Sets the functions that reach the peers; until then, nothing is borrowed. */
  connect(handlers: PeerHandlers): void {
    this.handlers = handlers;
  }

  /**
   * Sends a borrow request if a pool has no free slot and requests wait, are in flight or were refused, unless the last
   * borrow request is too recent.
   */
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

  /** Resets the backoff after a peer has lent slots. */
  resetBackoff(queue: PoolQueue): void {
    const backoff = this.backoffs.get(queue);
    if (backoff !== undefined) backoff.intervalMs = minBorrowIntervalMs;
  }

  /** Returns idle borrowed slots if no request waits. */
  returnIdleSlots(queue: PoolQueue): void {
    if (this.handlers === undefined || queue.waiting.size > 0) return;
    for (const [lenderId, loanIds] of queue.pool.returnIdleLoans()) {
      this.handlers.returnLoans(lenderId, loanIds);
    }
  }

  /** Removes the state of a pool that is no longer in the configuration. */
  removePool(queue: PoolQueue): void {
    this.backoffs.delete(queue);
  }
}
