/**
 * Loans of slots between entries. The borrower counts the duration from the time it asked and the lender from
 * the time it lent, so a loan ends at the borrower first, whatever the clocks say and whichever reply is lost.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {SlotLoan} from './steering_types';
import type {Slot} from './target_state';

/** A loan lasts for the longest usual request and this time, in which the borrower can start requests. */
const requestStartWindowMs = 5000;
const maxLoanMs = 60_000;
/** A borrowed slot is given back when it has been idle for this long; 1 s cost 7% of the goodput at 70% load. */
const maxBorrowedIdleMs = 50;

/** One in ten, rounded up. */
export function reservedSlots(count: number): number {
  return Math.ceil(count / 10);
}

/** Borrowed slots that no request has used for a while. */
export function idleBorrowedSlots(slots: Iterable<Slot>, nowMs: number): readonly Slot[] {
  return [...slots].filter(
    slot =>
      slot.loanId !== undefined &&
      slot.held &&
      !slot.busy &&
      nowMs >= slot.blockedUntilMs &&
      nowMs - slot.idleSinceMs >= maxBorrowedIdleMs,
  );
}

/** Ids of the loans that the slots were borrowed by, for each lender. */
export function loansByLender(slots: readonly Slot[]): ReadonlyMap<string, readonly string[]> {
  const byLender = new Map<string, string[]>();
  for (const {loanId, lenderId} of slots) {
    if (loanId === undefined || lenderId === undefined) continue;
    byLender.set(lenderId, [...(byLender.get(lenderId) ?? []), loanId]);
  }
  return byLender;
}

/** Loans that one pool has given and taken. */
export class LoanRegistry {
  private readonly lentSlots = new Map<string, Slot>();
  private readonly borrowedUntilMs = new Map<string, number>();
  private readonly idPrefix: string;
  private lastLoanNumber = 0;

  constructor(
    lenderId: string,
    private readonly time: TimeSource,
  ) {
    // The start time keeps the ids of a restarted lender apart from those of its former life.
    this.idPrefix = `${lenderId}/${time.nowMs().toString(36)}`;
  }

  /** Lends a free slot for the time that a request with the service's usual time limit needs. */
  lend(slot: Slot, requestTimeoutMs: number): SlotLoan {
    this.lastLoanNumber += 1;
    const loanId = `${this.idPrefix}/${slot.slotId}/${this.lastLoanNumber}`;
    const durationMs = Math.min(maxLoanMs, requestTimeoutMs + requestStartWindowMs);
    this.removeEndedLoans();
    slot.lentLoanId = loanId;
    slot.blockedUntilMs = this.time.monotonicMs() + durationMs;
    this.lentSlots.set(loanId, slot);
    return {loanId, targetId: slot.target.target.id, durationMs};
  }

  /** Ends loans early; returns the slots that are back. */
  endLoans(loanIds: readonly string[]): readonly Slot[] {
    const returnedSlots: Slot[] = [];
    for (const loanId of loanIds) {
      const slot = this.lentSlots.get(loanId);
      this.lentSlots.delete(loanId);
      if (slot?.lentLoanId !== loanId) continue;
      slot.lentLoanId = undefined;
      slot.blockedUntilMs = -Infinity;
      returnedSlots.push(slot);
    }
    return returnedSlots;
  }

  /** Notes a borrowed slot; false when the same loan was accepted before. */
  recordBorrowed(loanId: string, expiresAtMs: number): boolean {
    const nowMs = this.time.monotonicMs();
    for (const [id, endMs] of this.borrowedUntilMs)
      if (endMs <= nowMs) this.borrowedUntilMs.delete(id);
    if (this.borrowedUntilMs.has(loanId)) return false;
    this.borrowedUntilMs.set(loanId, expiresAtMs);
    return true;
  }

  private removeEndedLoans(): void {
    const nowMs = this.time.monotonicMs();
    for (const [loanId, slot] of this.lentSlots) {
      if (slot.lentLoanId !== loanId || slot.blockedUntilMs <= nowMs) this.lentSlots.delete(loanId);
    }
  }
}
