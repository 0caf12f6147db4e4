/**
 * The entry's side of claims: asks the owner of a key for a claim, decides whether the operation may be sent, and
 * reports its outcome.
 *
 * Why an operation is sent at most once: A key has at most one claim at a time, and a claim is granted in at most one
 * reply. The attempt that receives this reply is a single fiber, which sends once. An attempt that does not receive a
 * valid `granted` reply never sends.
 *
 * Why a lost reply does not block the key: Every attempt has its own token, and the claim id is a digest of the request
 * with this token. So the attempt knows the id of its claim even if it never receives the grant. In that case it
 * withdraws the claim, that is, it reports `not-run` with this id until a current owner records it. The report is
 * true, because only this attempt could have sent under the id, and it has decided not to. The owner remembers
 * released ids, so it does not grant a delayed duplicate of the claim request after the withdrawal. The owner never
 * grants a claim to the same token twice: a second grant would save the caller a retry, but it would be safe only if
 * the entry never mixed up the two replies.
 *
 * Remaining limitation: If an instance crashes between a lost reply and the withdrawal, the claim stays unknown until
 * its retention ends.
 */
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {Data, Duration, Effect} from 'effect';
import type {Scope} from 'effect';
import {randomUUID} from 'node:crypto';
import {claimIdOf} from './claim_records';
import type {ClaimAnswer, ClaimOutcome, ClaimRequest, CompleteAnswer} from './claim_types';

/** A message to the owner of a claim was not answered. */
export class ClaimTransportError extends Data.TaggedError('ClaimTransportError')<{
  /** `no`: the message was certainly not delivered, for example because no connection could be opened. */
  readonly delivered: 'no' | 'maybe';
  readonly detail: string;
}> {
  override get message(): string {
    return `no reply from the owner of the claim: ${this.detail}`;
  }
}

/** Sends the messages of `ClaimService` to a given instance. */
export interface ClaimTransport {
  /** Asks an instance for a claim. */
  claim(instanceId: string, request: ClaimRequest): Effect.Effect<ClaimAnswer, ClaimTransportError>;
  /** Reports an outcome to an instance. */
  complete(
    instanceId: string,
    key: string,
    claimId: string,
    outcome: ClaimOutcome,
  ): Effect.Effect<CompleteAnswer, ClaimTransportError>;
  /** Asks an instance what is known of a key. */
  outcomeOf(instanceId: string, key: string): Effect.Effect<ClaimAnswer, ClaimTransportError>;
}

/** An operation that an entry wants to send to a target. */
export interface SendRequest {
  readonly key: string;
  /** Digest of method, path and body. */
  readonly requestDigest: string;
  /** The operation is not sent after this time, in milliseconds since the Unix epoch. At most ten minutes ahead. */
  readonly sendDeadlineAtMs: number;
}

/** Whether the operation may be sent. */
export type ClaimDecision =
  /** Send once, before the deadline, and report the outcome with `complete`. */
  | {readonly decision: 'send'; readonly claimId: string}
  /** Do not send. An earlier attempt holds the key. */
  | {
      readonly decision: 'held';
      readonly answer: Extract<
        ClaimAnswer,
        {readonly state: 'in-progress' | 'run' | 'unknown' | 'key-reused'}
      >;
    }
  /** Do not send. This attempt did not run and will not run. Nothing is known of other attempts with the key. */
  | {readonly decision: 'not-sent'; readonly reason: 'unavailable' | 'no-owner' | 'deadline'};

/** Settings and dependencies of a claim session. */
export interface ClaimSessionOptions {
  readonly transport: ClaimTransport;
  /** Returns the instance that owns the shard of a key according to the current membership. */
  readonly ownerOf: (key: string) => string | undefined;
  readonly time: TimeSource;
  readonly random: RandomSource;
  /** Maximum time in milliseconds to search for the owner of a key. Default 2,000. */
  readonly claimTimeoutMs?: number;
  /** Maximum time in milliseconds during which the report of an outcome is retried. Default 60,000. */
  readonly completeTimeoutMs?: number;
  /** Timeout of one reply, in milliseconds. Default 3,000. */
  readonly replyTimeoutMs?: number;
}

const defaultClaimTimeoutMs = 2_000;
const defaultCompleteTimeoutMs = 60_000;
// Longer than the time that a request waits for its append at the owner, so that the owner's "unavailable" usually
// arrives as a reply.
const defaultReplyTimeoutMs = 3_000;
const initialRetryDelayMs = 100;
const maxRetryDelayMs = 4_000;

/** Claims operations on behalf of one entry. */
export class ClaimSession {
  private constructor(
    private readonly options: ClaimSessionOptions,
    private readonly scope: Scope.Scope,
  ) {}

  /** Creates a session. Withdrawals run in the background until the scope closes. */
  static make(options: ClaimSessionOptions): Effect.Effect<ClaimSession, never, Scope.Scope> {
    return Effect.map(Effect.scope, scope => new ClaimSession(options, scope));
  }

  /** Asks for permission to send an operation. Each call is a separate attempt. */
  claim(sendRequest: SendRequest): Effect.Effect<ClaimDecision> {
    const request: ClaimRequest = {
      ...sendRequest,
      attemptToken: randomUUID(),
    };
    return this.requestClaim(request).pipe(
      Effect.flatMap(answer => this.decide(request, answer)),
      Effect.onInterrupt(() => this.withdraw(request)),
    );
  }

  /**
   * Reports the outcome of a claimed operation to the current owner of its shard, and retries for up to
   * `completeTimeoutMs` (60 s by default). Returns false if no owner confirms it; the operation then stays unknown.
   */
  complete(key: string, claimId: string, outcome: ClaimOutcome): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const {time, transport, completeTimeoutMs} = this.options;
      const retryUntilMs = time.monotonicMs() + (completeTimeoutMs ?? defaultCompleteTimeoutMs);
      for (let delayMs = initialRetryDelayMs; ; delayMs = Math.min(maxRetryDelayMs, delayMs * 2)) {
        const owner = this.options.ownerOf(key);
        const answer =
          owner === undefined
            ? undefined
            : yield* this.withReplyTimeout(transport.complete(owner, key, claimId, outcome)).pipe(
                Effect.orElseSucceed(() => undefined),
              );
        if (answer === 'recorded') return true;
        if (time.monotonicMs() >= retryUntilMs) return false;
        yield* this.waitBeforeRetry(delayMs);
      }
    });
  }

  /** Returns what is known of a key, or `unavailable` if no owner answers. */
  outcomeOf(key: string): Effect.Effect<ClaimAnswer> {
    return this.askUntilOwnerAnswers(key, owner =>
      this.withReplyTimeout(this.options.transport.outcomeOf(owner, key)),
    ).pipe(Effect.catchAll(() => Effect.succeed<ClaimAnswer>({state: 'unavailable'})));
  }

  private requestClaim(request: ClaimRequest): Effect.Effect<ClaimAnswer | 'reply-lost'> {
    // Without this limit the caller would be answered after its deadline.
    const leftMs = Math.max(0, request.sendDeadlineAtMs - this.options.time.nowMs());
    return this.askUntilOwnerAnswers(
      request.key,
      owner => this.withReplyTimeout(this.options.transport.claim(owner, request), leftMs),
      leftMs,
    ).pipe(Effect.catchAll(() => Effect.succeed('reply-lost' as const)));
  }

  private decide(
    request: ClaimRequest,
    answer: ClaimAnswer | 'reply-lost',
  ): Effect.Effect<ClaimDecision> {
    if (answer === 'reply-lost') {
      return Effect.as(this.withdraw(request), {decision: 'not-sent', reason: 'unavailable'});
    }
    switch (answer.state) {
      case 'granted':
        return this.decideOnGrant(request, answer.claimId);
      case 'in-progress':
      case 'run':
      case 'unknown':
      case 'key-reused':
        return Effect.succeed({decision: 'held', answer});
      case 'not-owner':
        return Effect.succeed({decision: 'not-sent', reason: 'no-owner'});
      case 'unavailable':
      case 'not-run':
        // The owner's append may still take effect later, when the owner no longer serves the shard.
        return Effect.as(this.withdraw(request), {decision: 'not-sent', reason: 'unavailable'});
    }
  }

  private decideOnGrant(request: ClaimRequest, claimId: string): Effect.Effect<ClaimDecision> {
    if (claimId === claimIdOf(request) && this.options.time.nowMs() < request.sendDeadlineAtMs) {
      return Effect.succeed({decision: 'send', claimId});
    }
    return Effect.as(this.withdraw(request), {decision: 'not-sent', reason: 'deadline'});
  }

  /** Reports in the background that the operation of a claim request was not run and never will be. */
  private withdraw(request: ClaimRequest): Effect.Effect<void> {
    return this.complete(request.key, claimIdOf(request), {outcome: 'not-run'}).pipe(
      Effect.forkIn(this.scope),
      Effect.asVoid,
    );
  }

  /**
   * Asks the current owner of a key, and retries until an instance answers that owns the shard. `not-owner` and a
   * message that was certainly not delivered leave no claim behind, so another instance can be asked with the same
   * token. After any other lost reply, no instance is asked again.
   */
  private askUntilOwnerAnswers(
    key: string,
    ask: (owner: string) => Effect.Effect<ClaimAnswer, ClaimTransportError>,
    limitMs = Number.POSITIVE_INFINITY,
  ): Effect.Effect<ClaimAnswer, ClaimTransportError> {
    return Effect.gen(this, function* () {
      const {time, claimTimeoutMs} = this.options;
      const retryUntilMs =
        time.monotonicMs() + Math.min(limitMs, claimTimeoutMs ?? defaultClaimTimeoutMs);
      let redirectedTo: string | undefined;
      for (let delayMs = initialRetryDelayMs; ; delayMs *= 2) {
        const owner = redirectedTo ?? this.options.ownerOf(key);
        const answer: ClaimAnswer =
          owner === undefined
            ? {state: 'not-owner'}
            : yield* ask(owner).pipe(toNotOwnerIfUndelivered);
        if (answer.state !== 'not-owner' || time.monotonicMs() >= retryUntilMs) return answer;
        const isRedirected =
          answer.ownerInstanceId !== undefined && answer.ownerInstanceId !== owner;
        // Follows only one redirect without a delay. Otherwise two instances that redirect to each other would cause a
        // busy loop.
        redirectedTo =
          isRedirected && redirectedTo === undefined ? answer.ownerInstanceId : undefined;
        if (redirectedTo === undefined) yield* this.waitBeforeRetry(delayMs);
      }
    });
  }

  private withReplyTimeout<A>(
    reply: Effect.Effect<A, ClaimTransportError>,
    limitMs = Number.POSITIVE_INFINITY,
  ): Effect.Effect<A, ClaimTransportError> {
    const timeoutMs = Math.min(limitMs, this.options.replyTimeoutMs ?? defaultReplyTimeoutMs);
    return Effect.timeoutFail(reply, {
      duration: Duration.millis(timeoutMs),
      onTimeout: () =>
        new ClaimTransportError({delivered: 'maybe', detail: `no reply within ${timeoutMs} ms`}),
    });
  }

  private waitBeforeRetry(delayMs: number): Effect.Effect<void> {
    return Effect.sleep(Duration.millis(delayMs * (0.5 + this.options.random.next() / 2)));
  }
}

function toNotOwnerIfUndelivered(
  reply: Effect.Effect<ClaimAnswer, ClaimTransportError>,
): Effect.Effect<ClaimAnswer, ClaimTransportError> {
  return Effect.catchAll(reply, error =>
    error.delivered === 'no'
      ? Effect.succeed<ClaimAnswer>({state: 'not-owner'})
      : Effect.fail(error),
  );
}
