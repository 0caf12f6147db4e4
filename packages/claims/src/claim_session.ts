/**
 * The entry's side of a claim: asks the owner, decides whether the operation may be sent, and reports how it
 * ended.
 *
 * Why an operation is sent at most once: a key has at most one claim at a time; a claim is granted in one reply
 * at most; the attempt that reads the reply is one fiber, which sends once. An attempt without a readable
 * `granted` reply never sends.
 *
 * Why a lost reply does not block the key: every attempt has a token of its own, and the claim id is a digest of
 * the request with this token, so the attempt knows the id of a claim whose grant it never heard of. It then
 * withdraws the claim, that is, reports `not-run` under this id until a current owner records it. That is
 * true: only this attempt could have sent under the id, and it has decided not to. The owner remembers released
 * ids, so a delayed duplicate of the claim request is not granted after its withdrawal. The owner never grants a
 * claim again to the same token: a second grant would save a caller's retry, but its safety would rest on the
 * entry not mixing up two replies.
 *
 * What remains: an instance that dies between a lost reply and its withdrawal leaves the claim unknown until its
 * retention ends.
 */
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {Data, Duration, Effect} from 'effect';
import type {Scope} from 'effect';
import {randomUUID} from 'node:crypto';
import {claimIdOf} from './claim_records';
import type {ClaimAnswer, ClaimOutcome, ClaimRequest, CompleteAnswer} from './claim_types';

/** A message to an owner failed. */
export class ClaimTransportError extends Data.TaggedError('ClaimTransportError')<{
  /** `no`: the message was provably not sent, for example because no connection could be opened. */
  readonly delivered: 'no' | 'maybe';
  readonly detail: string;
}> {
  override get message(): string {
    return `no reply from the owner of the claim: ${this.detail}`;
  }
}

/** Carries the messages of `ClaimService` to a named instance. */
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

/** What an entry wants to send. */
export interface SendRequest {
  readonly key: string;
  /** Digest of method, path and body. */
  readonly requestDigest: string;
  /** Milliseconds since the Unix epoch; at most ten minutes ahead. */
  readonly sendDeadlineAtMs: number;
}

/** Whether the operation may be sent. */
export type ClaimDecision =
  /** Send once, before the deadline, and report with `complete`. */
  | {readonly decision: 'send'; readonly claimId: string}
  /** Do not send; an earlier attempt holds the key. */
  | {
      readonly decision: 'held';
      readonly answer: Extract<
        ClaimAnswer,
        {readonly state: 'in-progress' | 'run' | 'unknown' | 'key-reused'}
      >;
    }
  /** Do not send. This attempt did not and will not run; nothing is said of other attempts with the key. */
  | {readonly decision: 'not-sent'; readonly reason: 'unavailable' | 'no-owner' | 'deadline'};

/** Settings and surroundings of an entry's claims. */
export interface ClaimSessionOptions {
  readonly transport: ClaimTransport;
  /** The instance that owns the shard of a key, as membership says now. */
  readonly ownerOf: (key: string) => string | undefined;
  readonly time: TimeSource;
  readonly random: RandomSource;
  /** Longest time in milliseconds to look for the owner of a claim. Default 2,000. */
  readonly claimWaitMs?: number;
  /** Longest time in milliseconds to report an outcome. Default 60,000. */
  readonly completeWaitMs?: number;
  /** Longest wait for one reply, in milliseconds. Default 3,000. */
  readonly replyWaitMs?: number;
}

const defaultClaimWaitMs = 2_000;
const defaultCompleteWaitMs = 60_000;
// Longer than an owner lets a request wait for its append, so that most refusals arrive as replies.
const defaultReplyWaitMs = 3_000;
const firstRetryMs = 100;
const longestRetryMs = 4_000;

/** Claims operations for one entry. */
export class ClaimSession {
  private constructor(
    private readonly options: ClaimSessionOptions,
    private readonly scope: Scope.Scope,
  ) {}

  /** Makes a session; withdrawals run in the background until the scope closes. */
  static make(options: ClaimSessionOptions): Effect.Effect<ClaimSession, never, Scope.Scope> {
    return Effect.map(Effect.scope, scope => new ClaimSession(options, scope));
  }

  /** Asks for the right to send. Each call is an attempt of its own. */
  claim(wanted: SendRequest): Effect.Effect<ClaimDecision> {
    const request: ClaimRequest = {
      ...wanted,
      attemptToken: randomUUID(),
    };
    return this.askOwners(request).pipe(
      Effect.flatMap(answer => this.decide(request, answer)),
      Effect.onInterrupt(() => this.withdraw(request)),
    );
  }

  /**
   * Reports how a claimed operation ended, to whoever owns the shard, for up to 60 s. False when no owner has
   * confirmed it; the operation then stays unknown.
   */
  complete(key: string, claimId: string, outcome: ClaimOutcome): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const {time, transport, completeWaitMs} = this.options;
      const endAtMs = time.monotonicMs() + (completeWaitMs ?? defaultCompleteWaitMs);
      for (let retryMs = firstRetryMs; ; retryMs = Math.min(longestRetryMs, retryMs * 2)) {
        const owner = this.options.ownerOf(key);
        const answer =
          owner === undefined
            ? undefined
            : yield* this.replyOf(transport.complete(owner, key, claimId, outcome)).pipe(
                Effect.orElseSucceed(() => undefined),
              );
        if (answer === 'recorded') return true;
        if (time.monotonicMs() >= endAtMs) return false;
        yield* this.backOff(retryMs);
      }
    });
  }

  /** What is known of a key; `unavailable` when no owner answers. */
  outcomeOf(key: string): Effect.Effect<ClaimAnswer> {
    return this.untilOwner(key, owner =>
      this.replyOf(this.options.transport.outcomeOf(owner, key)),
    ).pipe(Effect.catchAll(() => Effect.succeed<ClaimAnswer>({state: 'unavailable'})));
  }

  private askOwners(request: ClaimRequest): Effect.Effect<ClaimAnswer | 'reply-lost'> {
    // Without this bound the caller would be answered after its deadline.
    const leftMs = Math.max(0, request.sendDeadlineAtMs - this.options.time.nowMs());
    return this.untilOwner(
      request.key,
      owner => this.replyOf(this.options.transport.claim(owner, request), leftMs),
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
        return this.decideGranted(request, answer.claimId);
      case 'in-progress':
      case 'run':
      case 'unknown':
      case 'key-reused':
        return Effect.succeed({decision: 'held', answer});
      case 'not-owner':
        return Effect.succeed({decision: 'not-sent', reason: 'no-owner'});
      case 'unavailable':
      case 'not-run':
        // The owner's append may take effect later, and the owner may be gone by then.
        return Effect.as(this.withdraw(request), {decision: 'not-sent', reason: 'unavailable'});
    }
  }

  private decideGranted(request: ClaimRequest, claimId: string): Effect.Effect<ClaimDecision> {
    if (claimId === claimIdOf(request) && this.options.time.nowMs() < request.sendDeadlineAtMs) {
      return Effect.succeed({decision: 'send', claimId});
    }
    return Effect.as(this.withdraw(request), {decision: 'not-sent', reason: 'deadline'});
  }

  private withdraw(request: ClaimRequest): Effect.Effect<void> {
    return this.complete(request.key, claimIdOf(request), {outcome: 'not-run'}).pipe(
      Effect.forkIn(this.scope),
      Effect.asVoid,
    );
  }

  /**
   * Asks the current owner until one answers that owns the shard. `not-owner` and a message that was provably
   * not sent leave no claim behind, so another instance may be asked under the same token. After any other lost
   * reply, no instance is asked again.
   */
  private untilOwner(
    key: string,
    ask: (owner: string) => Effect.Effect<ClaimAnswer, ClaimTransportError>,
    limitMs = Number.POSITIVE_INFINITY,
  ): Effect.Effect<ClaimAnswer, ClaimTransportError> {
    return Effect.gen(this, function* () {
      const {time, claimWaitMs} = this.options;
      const endAtMs = time.monotonicMs() + Math.min(limitMs, claimWaitMs ?? defaultClaimWaitMs);
      let named: string | undefined;
      for (let retryMs = firstRetryMs; ; retryMs *= 2) {
        const owner = named ?? this.options.ownerOf(key);
        const answer: ClaimAnswer =
          owner === undefined ? {state: 'not-owner'} : yield* ask(owner).pipe(notOwnerIfNotSent);
        if (answer.state !== 'not-owner' || time.monotonicMs() >= endAtMs) return answer;
        const redirected = answer.ownerInstanceId !== undefined && answer.ownerInstanceId !== owner;
        // Follows one redirection at once; two instances that name each other do not cause a busy loop.
        named = redirected && named === undefined ? answer.ownerInstanceId : undefined;
        if (named === undefined) yield* this.backOff(retryMs);
      }
    });
  }

  private replyOf<A>(
    reply: Effect.Effect<A, ClaimTransportError>,
    limitMs = Number.POSITIVE_INFINITY,
  ): Effect.Effect<A, ClaimTransportError> {
    const waitMs = Math.min(limitMs, this.options.replyWaitMs ?? defaultReplyWaitMs);
    return Effect.timeoutFail(reply, {
      duration: Duration.millis(waitMs),
      onTimeout: () =>
        new ClaimTransportError({delivered: 'maybe', detail: `no reply within ${waitMs} ms`}),
    });
  }

  private backOff(retryMs: number): Effect.Effect<void> {
    return Effect.sleep(Duration.millis(retryMs * (0.5 + this.options.random.next() / 2)));
  }
}

function notOwnerIfNotSent(
  reply: Effect.Effect<ClaimAnswer, ClaimTransportError>,
): Effect.Effect<ClaimAnswer, ClaimTransportError> {
  return Effect.catchAll(reply, error =>
    error.delivered === 'no'
      ? Effect.succeed<ClaimAnswer>({state: 'not-owner'})
      : Effect.fail(error),
  );
}
