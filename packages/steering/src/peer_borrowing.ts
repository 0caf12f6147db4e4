/** Decides when an entry asks its peers for slots and when it returns them. */
import type {TimeSource} from '@cuminsill/utils';
import type {PoolQueue} from './pool_queue';
import type {BorrowSlots} from './steering_types';

/** Pause between questions while requests wait and peers lend. */
const shortestAskMs = 100;
/** Longest pause between questions while no peer has an idle slot. */
const longestAskMs = 400;
/** A question for fewer slots than this is not worth a message between regions. */
const smallestAsk = 2;

/** Tells a lender that its slots are free again. */
export type ReturnLoans = (lenderId: string, loanIds: readonly string[]) => void;

/** How the entry process reaches its peers. */
export interface PeerHandlers {
  readonly borrow: BorrowSlots;
  readonly returnLoans: ReturnLoans;
}

interface AskState {
  askedAtMs: number;
  pauseMs: number;
}

/** Borrowing of all pools of one entry. */
export class PeerBorrowing {
  private handlers: PeerHandlers | undefined;
  private readonly asks = new Map<PoolQueue, AskState>();

  constructor(private readonly time: TimeSource) {}

  /** Connects the call-backs; without them nothing is borrowed. */
  connect(handlers: PeerHandlers): void {
    this.handlers = handlers;
  }

  /** Asks for slots when requests wait or were refused, or when no own slot is free. */
  askIfNeeded(queue: PoolQueue): void {
    const {pool} = queue;
    if (this.handlers === undefined || pool.freeSlots > 0 || pool.isLost()) return;
    const needed = queue.waiting.size + queue.unmet;
    if (needed === 0 && pool.inFlight === 0) return;
    const state = this.asks.get(queue) ?? {askedAtMs: -Infinity, pauseMs: shortestAskMs};
    const nowMs = this.time.monotonicMs();
    if (nowMs - state.askedAtMs < state.pauseMs) return;
    state.askedAtMs = nowMs;
    state.pauseMs = Math.min(longestAskMs, state.pauseMs * 2);
    this.asks.set(queue, state);
    queue.unmet = 0;
    const limit = Math.max(2 * smallestAsk, pool.heldSlots);
    const wanted = Math.min(limit, Math.max(smallestAsk, needed));
    this.handlers.borrow(pool.serviceId, pool.regionId, wanted);
  }

  /** Notes that a peer has lent slots, so that the next question need not wait. */
  recordLoans(queue: PoolQueue): void {
    const state = this.asks.get(queue);
    if (state !== undefined) state.pauseMs = shortestAskMs;
  }

  /** Returns borrowed slots that are idle while nothing waits. */
  returnIdle(queue: PoolQueue): void {
    if (this.handlers === undefined || queue.waiting.size > 0) return;
    for (const [lenderId, loanIds] of queue.pool.returnIdleLoans()) {
      this.handlers.returnLoans(lenderId, loanIds);
    }
  }

  /** Forgets a pool that the configuration no longer has. */
  forget(queue: PoolQueue): void {
    this.asks.delete(queue);
  }
}
