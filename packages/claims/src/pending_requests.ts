/**
 * Requests that wait for an append of their shard. An answer is given once; whoever gives it first decides, so
 * a claim that was answered `unavailable` is never also answered `granted`.
 */
import {Deferred, Duration, Effect} from 'effect';
import type {RecordedOutcome} from './claim_records';
import type {ClaimAnswer, ClaimRequest, CompleteAnswer} from './claim_types';

/** The one answer of a request. */
export class Reply<A> {
  private answered = false;

  private constructor(private readonly deferred: Deferred.Deferred<A>) {}

  /** Makes a reply without an answer. */
  static make<A>(): Effect.Effect<Reply<A>> {
    return Effect.map(Deferred.make<A>(), deferred => new Reply(deferred));
  }

  /** Whether an answer was given. */
  isAnswered(): boolean {
    return this.answered;
  }

  /** Gives the answer; false when another one was given before. */
  give(answer: A): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      this.answered = true;
      return Deferred.succeed(this.deferred, answer);
    });
  }

  /**
   * Waits for the answer for at most `waitMs` milliseconds and gives `fallback` then. An interrupted waiter gives
   * it too, because its caller hears nothing.
   */
  awaitOr(fallback: A, waitMs: number): Effect.Effect<A> {
    return Deferred.await(this.deferred).pipe(
      Effect.timeoutOption(Duration.millis(waitMs)),
      Effect.zipRight(this.give(fallback)),
      Effect.zipRight(Deferred.await(this.deferred)),
      Effect.onInterrupt(() => this.give(fallback)),
    );
  }
}

// About 1 MB; two minutes of a shard at 80 claims a second.
const maxAnsweredIds = 10_000;

/** Ids of the claims that were answered last. */
export class AnsweredIds {
  private readonly ids = new Set<string>();

  /** Whether the claim was answered. */
  has(claimId: string): boolean {
    return this.ids.has(claimId);
  }

  /** Remembers an answered claim and forgets the oldest one above the limit. */
  add(claimId: string): void {
    this.ids.add(claimId);
    const oldest = this.ids.values().next();
    if (this.ids.size > maxAnsweredIds && !oldest.done) this.ids.delete(oldest.value);
  }
}

/** A claim that waits for its append. */
export interface PendingClaim {
  readonly kind: 'claim';
  readonly request: ClaimRequest;
  readonly claimId: string;
  readonly reply: Reply<ClaimAnswer>;
}

/** An outcome that waits for its append. */
export interface PendingOutcome {
  readonly kind: 'outcome';
  readonly outcome: RecordedOutcome;
  readonly reply: Reply<CompleteAnswer>;
}

/** A question about a key without a claim; an append proves that no other owner granted one. */
export interface PendingQuestion {
  readonly kind: 'question';
  readonly key: string;
  readonly reply: Reply<ClaimAnswer>;
}

/** One request that waits for an append. */
export type PendingRequest = PendingClaim | PendingOutcome | PendingQuestion;

/** Why a request got no append. */
export type NoAppendReason = 'not-owner' | 'unavailable';

/** Answers requests that get no append. */
export function refuseAll(
  requests: readonly PendingRequest[],
  reason: NoAppendReason,
): Effect.Effect<void> {
  return Effect.forEach(requests, pending => refuse(pending, reason), {discard: true});
}

function refuse(pending: PendingRequest, reason: NoAppendReason): Effect.Effect<boolean> {
  return pending.kind === 'outcome'
    ? pending.reply.give(reason)
    : pending.reply.give({state: reason});
}
