/**
 * Loans of slots between entries. The borrower counts the duration from the time it asked and the lender from
 * the time it lent, so a loan ends at the borrower first, whatever the clocks say and whichever reply is lost.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {SlotLoan} from './steering_types';
import type {Slot} from './target_state';

/** A loan lasts for the longest usual request and this time, in which the borrower can start requests. */
const reuseMs = 5000;
const longestLoanMs = 60_000;
/** A borrowed slot is given back when it has been idle for this long; 1 s cost 7% of the goodput at 70% load. */
const borrowedIdleMs = 50;

/** One in ten, rounded up. */
export function ceilTenth(count: number): number {
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
      nowMs - slot.idleSinceMs >= borrowedIdleMs,
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
export class LoanBook {
  private readonly lent = new Map<string, Slot>();
  private readonly borrowed = new Map<string, number>();
  private readonly idPrefix: string;
  private lastNumber = 0;

  constructor(
    ownerId: string,
    private readonly time: TimeSource,
  ) {
    // The start time keeps the ids of a restarted lender apart from those of its former life.
    this.idPrefix = `${ownerId}/${time.nowMs().toString(36)}`;
  }

  /** Lends a free slot for the time that a request with the service's usual time limit needs. */
  lend(slot: Slot, requestTimeoutMs: number): SlotLoan {
    this.lastNumber += 1;
    const loanId = `${this.idPrefix}/${slot.slotId}/${this.lastNumber}`;
    const durationMs = Math.min(longestLoanMs, requestTimeoutMs + reuseMs);
    this.forgetEnded();
    slot.lentAs = loanId;
    slot.blockedUntilMs = this.time.monotonicMs() + durationMs;
    this.lent.set(loanId, slot);
    return {loanId, targetId: slot.target.target.id, durationMs};
  }

  /** Ends loans early; returns the slots that are back. */
  takeBack(loanIds: readonly string[]): readonly Slot[] {
    const back: Slot[] = [];
    for (const loanId of loanIds) {
      const slot = this.lent.get(loanId);
      this.lent.delete(loanId);
      if (slot?.lentAs !== loanId) continue;
      slot.lentAs = undefined;
      slot.blockedUntilMs = -Infinity;
      back.push(slot);
    }
    return back;
  }

  /** Notes a borrowed slot; false when the same loan was accepted before. */
  startBorrowing(loanId: string, expiresAtMs: number): boolean {
    const nowMs = this.time.monotonicMs();
    for (const [id, endMs] of this.borrowed) if (endMs <= nowMs) this.borrowed.delete(id);
    if (this.borrowed.has(loanId)) return false;
    this.borrowed.set(loanId, expiresAtMs);
    return true;
  }

  private forgetEnded(): void {
    const nowMs = this.time.monotonicMs();
    for (const [loanId, slot] of this.lent) {
      if (slot.lentAs !== loanId || slot.blockedUntilMs <= nowMs) this.lent.delete(loanId);
    }
  }
}
