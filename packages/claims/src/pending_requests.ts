/**
 * Requests that wait for an append to the log of their shard. Each reply is resolved once, and the first answer
 * counts: a claim that was answered `unavailable` is never also answered `granted`.
 */
import {Deferred, Duration, Effect} from 'effect';
import type {RecordedOutcome} from './claim_records';
import type {ClaimAnswer, ClaimRequest, CompleteAnswer} from './claim_types';

/** The reply to a pending request, which is resolved with one answer. */
export class Reply<A> {
  private hasAnswer = false;

  private constructor(private readonly deferred: Deferred.Deferred<A>) {}

  /** Creates an unresolved reply. */
  static make<A>(): Effect.Effect<Reply<A>> {
    return Effect.map(Deferred.make<A>(), deferred => new Reply(deferred));
  }

  /** Whether the reply was resolved. */
  isAnswered(): boolean {
    return this.hasAnswer;
  }

  /** Resolves the reply with an answer. Returns false if it was resolved before. */
  resolve(answer: A): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      this.hasAnswer = true;
      return Deferred.succeed(this.deferred, answer);
    });
  }

  /**
   * Waits for the answer. Resolves the reply with `fallback` after `timeoutMs`, and also when the waiting fiber is
   * interrupted, because its caller then receives no answer.
   */
  awaitOrResolve(fallback: A, timeoutMs: number): Effect.Effect<A> {
    return Deferred.await(this.deferred).pipe(
      Effect.timeoutOption(Duration.millis(timeoutMs)),
      Effect.zipRight(this.resolve(fallback)),
      Effect.zipRight(Deferred.await(this.deferred)),
      Effect.onInterrupt(() => this.resolve(fallback)),
    );
  }
}

// Takes about 1 MB and covers the claims of two minutes at 80 claims per second and shard.
const maxAnsweredIds = 10_000;

/** The ids of the most recently answered claim requests. */
export class AnsweredClaimIds {
  private readonly ids = new Set<string>();

  /** Whether the claim request was answered recently. */
  has(claimId: string): boolean {
    return this.ids.has(claimId);
  }

  /** Adds an answered claim request and evicts the oldest one above the limit. */
  add(claimId: string): void {
    this.ids.add(claimId);
    const oldest = this.ids.values().next();
    if (this.ids.size > maxAnsweredIds && !oldest.done) this.ids.delete(oldest.value);
  }
}

/** A claim request that waits for its append. */
export interface PendingClaim {
  readonly kind: 'claim';
  readonly request: ClaimRequest;
  readonly claimId: string;
  readonly reply: Reply<ClaimAnswer>;
}

/** A reported outcome that waits for its append. */
export interface PendingOutcome {
  readonly kind: 'outcome';
  readonly outcome: RecordedOutcome;
  readonly reply: Reply<CompleteAnswer>;
}

/** A question about a key. It waits for an append, which proves that no other owner has granted a claim. */
export interface PendingQuestion {
  readonly kind: 'question';
  readonly key: string;
  readonly reply: Reply<ClaimAnswer>;
}

/** A request that waits for an append. */
export type PendingRequest = PendingClaim | PendingOutcome | PendingQuestion;

/** Why a request was answered without an append. */
export type NoAppendReason = 'not-owner' | 'unavailable';

/** Answers requests that are not appended with the reason. */
export function refuseAll(
  requests: readonly PendingRequest[],
  reason: NoAppendReason,
): Effect.Effect<void> {
  return Effect.forEach(requests, pending => refuse(pending, reason), {discard: true});
}

function refuse(pending: PendingRequest, reason: NoAppendReason): Effect.Effect<boolean> {
  return pending.kind === 'outcome'
    ? pending.reply.resolve(reason)
    : pending.reply.resolve({state: reason});
}
