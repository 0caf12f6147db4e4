/**
 * The owner of one claim shard. One fiber takes the shard over (it replays the log and appends a takeover record) and
 * then appends batches of requests, one at a time. A claim is granted only after its append is durable. If another
 * writer has already written at the log position of a batch, this instance steps down and grants nothing of the batch.
 */
import {silentLogger} from '@cuminsill/logger';
import {Duration, Effect, Queue} from 'effect';
import type {Scope} from 'effect';
import type {CheckpointCounts, CheckpointSettings} from './checkpointer';
import {defaultCheckpointSettings} from './checkpointer';
import type {ShardRecord} from './claim_records';
import {claimIdOf, encodeShardRecord, toRecordedOutcome} from './claim_records';
import type {ClaimShardCounts, ClaimShardOptions} from './claim_shard_options';
import {releasedIdRetentionMs} from './claim_table';
import type {ClaimAnswer, ClaimOutcome, ClaimRequest, CompleteAnswer} from './claim_types';
import type {PendingQuestion, PendingRequest} from './pending_requests';
import {AnsweredClaimIds, refuseAll, Reply} from './pending_requests';
import {maxRetryDelayMs, minRetryDelayMs, ShardAppender} from './shard_appender';
import {ShardRecovery} from './shard_recovery';
import type {OwnerState} from './shard_replay';
import {archivedAnswer, replayShard} from './shard_replay';

interface Batch {
  readonly requests: readonly PendingRequest[];
  readonly body: Uint8Array;
  readonly record: ShardRecord;
}

const defaultReplyTimeoutMs = 2_000;

// 400 outcomes, each with a response body of 1 KiB in base64, stay below the store's limit of a megabyte.
const maxRequestsPerAppend = 400;
const maxKeyChars = 512;

// Limits the memory used during a store outage: 5,000 requests with stored responses take about 8 MB.
const maxQueuedRequests = 5_000;

// Limits how long an owner that has lost its shard without noticing can answer "in progress" from memory.
const confirmationTtlMs = 5_000;

// After a step-down, the instance waits for the minimum plus a random part of the spread before it tries again.
const minStepDownMs = 1_000;
const stepDownSpreadMs = 2_000;

/** Serves one shard while this instance owns it. */
export class ClaimShard {
  private queue: PendingRequest[] = [];
  private inFlightRequests: readonly PendingRequest[] = [];
  private ownerState: OwnerState | undefined;
  private readonly answeredClaimIds = new AnsweredClaimIds();
  private readonly appender: ShardAppender;
  private readonly recovery: ShardRecovery;
  private readonly ownershipCounts = {takeovers: 0, stepDowns: 0, invalidRecords: 0};

  private constructor(
    private readonly options: ClaimShardOptions,
    private readonly wakeSignal: Queue.Queue<void>,
    private readonly checkpointCounts: CheckpointCounts,
  ) {
    this.appender = new ShardAppender(options);
    const {shardName = 'claims', logger = silentLogger} = options;
    this.recovery = new ShardRecovery({shardName, logger, reset: () => this.reset()});
  }

  /** Starts the shard's fiber in the scope. The shard is taken over with the first request. */
  static start(options: ClaimShardOptions): Effect.Effect<ClaimShard, never, Scope.Scope> {
    return Effect.gen(function* () {
      const wakeSignal = yield* Queue.sliding<void>(1);
      const shard = new ClaimShard(options, wakeSignal, {
        checkpoints: 0,
        checkpointBytes: 0,
        checkpointFailures: 0,
        trimmedRecords: 0,
        segments: 0,
        removedSegments: 0,
      });
      yield* Effect.forkScoped(Effect.forever(shard.recovery.runGuarded(shard.serveOnce())));
      return shard;
    });
  }

  /** Counters since the start of the process, for metrics. */
  counts(): ClaimShardCounts {
    return {
      ...this.ownershipCounts,
      ...this.checkpointCounts,
      appends: this.appender.appends(),
      defects: this.recovery.defects(),
    };
  }

  /** Claims a key. Answers from the known claims if possible, otherwise after the append is durable. */
  claim(request: ClaimRequest): Effect.Effect<ClaimAnswer> {
    return Effect.gen(this, function* () {
      const claimId = claimIdOf(request);
      const immediate =
        this.answerFromPendingClaim(request) ??
        this.immediateAnswer(request) ??
        (yield* this.archivedAnswer(request.key, request.requestDigest));
      if (immediate !== undefined) return this.markAnswered(claimId, immediate);
      if (this.answeredClaimIds.has(claimId)) return {state: 'unavailable'} as const;
      const reply = yield* Reply.make<ClaimAnswer>();
      yield* this.enqueue({kind: 'claim', request, claimId, reply});
      const answer = yield* reply.awaitOrResolve({state: 'unavailable'}, this.replyTimeoutMs());
      return this.markAnswered(claimId, answer);
    });
  }

  /** Records an outcome. Answers `recorded` after the append is durable. */
  complete(key: string, claimId: string, outcome: ClaimOutcome): Effect.Effect<CompleteAnswer> {
    return Effect.gen(this, function* () {
      const recorded = toRecordedOutcome(key, claimId, outcome);
      if (this.ownerState?.table.hasOutcome(recorded)) return 'recorded' as const;
      const reply = yield* Reply.make<CompleteAnswer>();
      yield* this.enqueue({kind: 'outcome', outcome: recorded, reply});
      return yield* reply.awaitOrResolve('unavailable', this.replyTimeoutMs());
    });
  }

  /**
   * Returns what is known of a key. "Not run" is answered only after an append, because an owner that was paused does
   * not know what its successor has granted. For the same reason a known claim other than `run` is confirmed by an
   * append unless the last append is recent: another owner may have recorded an outcome since.
   */
  outcomeOf(key: string): Effect.Effect<ClaimAnswer> {
    return Effect.gen(this, function* () {
      const known = this.ownerState?.table.answerFor(key, this.nowMs());
      const isConfirmed =
        known?.state === 'run' || this.appender.sinceLastAppendMs() < confirmationTtlMs;
      if (known !== undefined && isConfirmed) return known;
      if (this.pendingClaim(key) !== undefined) return {state: 'in-progress'} as const;
      // The outcomes in a segment are final, so they need no confirmation.
      const archived = known ?? (yield* this.archivedAnswer(key));
      if (known === undefined && archived !== undefined) return archived;
      const reply = yield* Reply.make<ClaimAnswer>();
      yield* this.enqueue({kind: 'question', key, reply});
      return yield* reply.awaitOrResolve({state: 'unavailable'}, this.replyTimeoutMs());
    });
  }

  /**
   * Marks a claim request as answered. A duplicate of a request that was answered, for example with "in progress", must
   * not be granted later: the sender acts on the first answer and would never report an outcome.
   */
  private markAnswered(claimId: string, answer: ClaimAnswer): ClaimAnswer {
    if (answer.state !== 'not-owner') this.answeredClaimIds.add(claimId);
    return answer;
  }

  private enqueue(pending: PendingRequest): Effect.Effect<void> {
    if (this.queue.length >= maxQueuedRequests) this.dropAnswered();
    if (this.queue.length >= maxQueuedRequests) return refuseAll([pending], 'unavailable');
    this.queue.push(pending);
    return Effect.asVoid(Queue.offer(this.wakeSignal, undefined));
  }

  /** Returns the answer if it follows from the table or the request is invalid. No append is needed then. */
  private immediateAnswer(request: ClaimRequest): ClaimAnswer | undefined {
    const known = this.answerFromTable(request);
    if (known !== undefined) return known;
    return this.isValidRequest(request) ? undefined : {state: 'unavailable'};
  }

  private answerFromTable(request: ClaimRequest): ClaimAnswer | undefined {
    const digest = this.ownerState?.table.requestDigestOf(request.key, this.nowMs());
    if (digest === undefined) return undefined;
    if (digest !== request.requestDigest) return {state: 'key-reused'};
    return this.ownerState?.table.answerFor(request.key, this.nowMs());
  }

  private archivedAnswer(
    key: string,
    requestDigest?: string,
  ): Effect.Effect<ClaimAnswer | undefined> {
    return archivedAnswer(this.ownerState, key, this.nowMs(), requestDigest);
  }

  private answerFromPendingClaim(request: ClaimRequest): ClaimAnswer | undefined {
    const pending = this.pendingClaim(request.key);
    if (pending === undefined) return undefined;
    const isSameRequest = pending.requestDigest === request.requestDigest;
    return {state: isSameRequest ? 'in-progress' : 'key-reused'};
  }

  private pendingClaim(key: string): ClaimRequest | undefined {
    const inFlight = this.inFlightRequests.find(pending => isClaimOf(pending, key));
    const found =
      inFlight ?? this.queue.find(other => isClaimOf(other, key) && !other.reply.isAnswered());
    return found?.kind === 'claim' ? found.request : undefined;
  }

  private isValidRequest(request: ClaimRequest): boolean {
    const leftMs = request.sendDeadlineAtMs - this.nowMs();
    // Attempts without a token could have the same claim id.
    if (request.attemptToken === '') return false;
    return leftMs > 0 && leftMs <= releasedIdRetentionMs && request.key.length <= maxKeyChars;
  }

  private serveOnce(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      if (this.queue.length === 0) {
        // An idle owner wakes up regularly to write checkpoints and to trim the log.
        yield* Queue.take(this.wakeSignal).pipe(
          Effect.timeoutOption(Duration.millis(this.checkpointSettings().intervalMs)),
        );
      }
      this.dropAnswered();
      if (!this.options.isOwned()) return yield* this.giveUpShard();
      if (this.queue.length > 0) {
        const ownerState = this.ownerState ?? (yield* this.replayAndTakeOver());
        if (ownerState !== undefined) yield* this.appendBatch(ownerState);
      }
      yield* this.runCheckpointer();
    });
  }

  private runCheckpointer(): Effect.Effect<void> {
    if (this.ownerState === undefined) return Effect.void;
    const {checkpointer, position} = this.ownerState;
    return checkpointer.isStale() ? this.stepDown() : checkpointer.runIfDue(position, this.nowMs());
  }

  /** Gives up the shard because membership has moved it. The takeover record of the next owner fences this instance. */
  private giveUpShard(): Effect.Effect<void> {
    const queued = this.queue;
    this.queue = [];
    this.ownerState = undefined;
    return refuseAll(queued, 'not-owner');
  }

  /** Discards the state in memory. An appended batch stays in the log; the next takeover makes its claims unknown. */
  private reset(): Effect.Effect<void> {
    const waiting = [...this.inFlightRequests, ...this.queue];
    [this.inFlightRequests, this.queue] = [[], []];
    this.ownerState = undefined;
    return refuseAll(waiting, 'unavailable');
  }

  private replayAndTakeOver(): Effect.Effect<OwnerState | undefined> {
    return this.replay().pipe(
      Effect.flatMap(replayed => this.takeOver(replayed)),
      Effect.catchTags({
        StoreUnavailableError: () => this.appender.sleepBetween(minRetryDelayMs, maxRetryDelayMs),
        InvalidClaimRecordError: () => {
          this.ownershipCounts.invalidRecords += 1;
          return this.appender.sleepBetween(maxRetryDelayMs, maxRetryDelayMs);
        },
      }),
    );
  }

  private replay() {
    const {log, segmentStore, time} = this.options;
    const [settings, counts] = [this.checkpointSettings(), this.checkpointCounts];
    return replayShard({log, segmentStore, time, settings, counts});
  }

  private checkpointSettings(): CheckpointSettings {
    return {...defaultCheckpointSettings, ...this.options.checkpoints};
  }

  private takeOver(replayed: OwnerState): Effect.Effect<OwnerState | undefined> {
    return Effect.gen(this, function* () {
      const record = this.buildRecord([], true);
      const body = encodeShardRecord(record);
      const result = yield* this.appender.append(replayed.position + 1, body, () => true);
      if (result === 'taken') return yield* this.stepDown();
      if (result === 'refused') return undefined;
      replayed.table.apply(record);
      replayed.position += 1;
      this.ownershipCounts.takeovers += 1;
      this.ownerState = replayed;
      return replayed;
    });
  }

  private appendBatch(state: OwnerState): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const batch = yield* this.takeBatch();
      if (batch === undefined) return;
      const result = yield* this.appender.append(state.position + 1, batch.body, () =>
        batch.requests.some(pending => !pending.reply.isAnswered()),
      );
      if (result === 'appended') {
        state.position += 1;
        state.table.apply(batch.record);
      }
      this.inFlightRequests = [];
      if (result === 'appended') yield* this.answerBatch(state, batch);
      else yield* refuseAll(batch.requests, result === 'taken' ? 'not-owner' : 'unavailable');
      if (result === 'taken') yield* this.stepDown();
    });
  }

  /** Takes a batch from the queue. Claim requests that no longer need an append are answered at once. */
  private takeBatch(): Effect.Effect<Batch | undefined> {
    return Effect.gen(this, function* () {
      yield* this.appender.awaitRateLimit();
      this.dropAnswered();
      const requests: PendingRequest[] = [];
      const taken = this.queue.splice(0, maxRequestsPerAppend);
      for (const pending of taken) {
        const answer =
          pending.kind === 'claim' ? yield* this.findImmediateAnswer(pending.request) : undefined;
        if (pending.kind === 'claim' && answer !== undefined) yield* pending.reply.resolve(answer);
        else requests.push(pending);
      }
      if (requests.length === 0) return undefined;
      this.inFlightRequests = requests;
      const record = this.buildRecord(requests, false);
      return {requests, record, body: encodeShardRecord(record)};
    });
  }

  private findImmediateAnswer(request: ClaimRequest): Effect.Effect<ClaimAnswer | undefined> {
    const immediate = this.immediateAnswer(request);
    return immediate === undefined
      ? this.archivedAnswer(request.key, request.requestDigest)
      : Effect.succeed(immediate);
  }

  private answerBatch(state: OwnerState, batch: Batch): Effect.Effect<void> {
    return Effect.forEach(batch.requests, item => this.answerRequest(state, item), {
      discard: true,
    });
  }

  private answerRequest(state: OwnerState, pending: PendingRequest): Effect.Effect<unknown> {
    if (pending.kind === 'outcome') return pending.reply.resolve('recorded');
    if (pending.kind === 'question') {
      return this.answerQuestion(state, pending);
    }
    const {key} = pending.request;
    if (!state.table.isOpen(key, pending.claimId)) {
      const answer = state.table.answerFor(key, this.nowMs());
      return pending.reply.resolve(answer ?? {state: 'unavailable'});
    }
    return pending.reply
      .resolve({state: 'granted', claimId: pending.claimId})
      .pipe(
        Effect.flatMap(granted =>
          granted ? Effect.void : this.releaseUngranted(key, pending.claimId),
        ),
      );
  }

  private answerQuestion(state: OwnerState, {key, reply}: PendingQuestion): Effect.Effect<boolean> {
    const known = state.table.answerFor(key, this.nowMs());
    const answer = known === undefined ? this.archivedAnswer(key) : Effect.succeed(known);
    return Effect.flatMap(answer, found => reply.resolve(found ?? {state: 'not-run'}));
  }

  /** Releases a claim that became durable after the answer `unavailable`. Nothing was or will be sent under it. */
  private releaseUngranted(key: string, claimId: string): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const reply = yield* Reply.make<CompleteAnswer>();
      const outcome = toRecordedOutcome(key, claimId, {outcome: 'not-run'});
      yield* this.enqueue({kind: 'outcome', outcome, reply});
    });
  }

  private stepDown(): Effect.Effect<undefined> {
    this.ownershipCounts.stepDowns += 1;
    this.ownerState = undefined;
    return this.appender.sleepBetween(minStepDownMs, minStepDownMs + stepDownSpreadMs);
  }

  private dropAnswered(): void {
    this.queue = this.queue.filter(pending => !pending.reply.isAnswered());
  }

  private buildRecord(requests: readonly PendingRequest[], takeover: boolean): ShardRecord {
    const claims = requests.flatMap(pending => (pending.kind === 'claim' ? [pending] : []));
    return {
      ownerInstanceId: this.options.instanceId,
      atMs: this.nowMs(),
      takeover,
      outcomes: requests.flatMap(pending => (pending.kind === 'outcome' ? [pending.outcome] : [])),
      claims: claims.map(({request, claimId}) => ({
        key: request.key,
        claimId,
        requestDigest: request.requestDigest,
      })),
    };
  }

  private nowMs(): number {
    return this.options.time.nowMs();
  }

  private replyTimeoutMs(): number {
    return this.options.replyTimeoutMs ?? defaultReplyTimeoutMs;
  }
}

function isClaimOf(pending: PendingRequest, key: string): boolean {
  return pending.kind === 'claim' && pending.request.key === key;
}
