/**
 * The owner of one claim shard. One fiber opens the log (replay, takeover record) and then appends batches, one
 * at a time. A claim is granted only after its append is durable. A position that another writer has taken ends
 * the ownership: nothing of the batch is granted.
 */
import {silentLogger} from '@cuminsill/logger';
import {Duration, Effect, Queue} from 'effect';
import type {Scope} from 'effect';
import type {CheckpointCounts} from './checkpoint_keeper';
import type {CheckpointSettings} from './checkpoint_keeper';
import {defaultCheckpointSettings} from './checkpoint_keeper';
import type {ShardRecord} from './claim_records';
import {claimIdOf, encodeShardRecord, toRecordedOutcome} from './claim_records';
import type {ClaimShardCounts, ClaimShardOptions} from './claim_shard_options';
import {releasedIdMs} from './claim_table';
import type {ClaimAnswer, ClaimOutcome, ClaimRequest, CompleteAnswer} from './claim_types';
import type {PendingQuestion, PendingRequest} from './pending_requests';
import {AnsweredIds, refuseAll, Reply} from './pending_requests';
import {retryMaxMs, retryMinMs, ShardAppender} from './shard_appender';
import {ShardRecovery} from './shard_recovery';
import type {Tenure} from './shard_replay';
import {archivedAnswer, replayShard} from './shard_replay';

interface Batch {
  readonly items: readonly PendingRequest[];
  readonly body: Uint8Array;
  readonly record: ShardRecord;
}

const defaultReplyWaitMs = 2_000;

// 400 outcomes with a kept answer of 1 KiB, in base64, stay below the store's megabyte.
const maxItemsPerAppend = 400;
const maxKeyChars = 512;

// Bounds the memory that an outage of the store can take: 5,000 requests with kept answers are about 8 MB.
const maxQueued = 5_000;

// Limits how long an owner that lost its shard unnoticed can answer "in progress" from memory.
const confirmedMs = 5_000;

const stepDownMinMs = 1_000;
const stepDownSpreadMs = 2_000;

/** Serves one shard while this instance owns it. */
export class ClaimShard {
  private queue: PendingRequest[] = [];
  private batch: readonly PendingRequest[] = [];
  private tenure: Tenure | undefined;
  private readonly answered = new AnsweredIds();
  private readonly appender: ShardAppender;
  private readonly recovery: ShardRecovery;
  private readonly counted = {takeovers: 0, stepDowns: 0, invalidRecords: 0};

  private constructor(
    private readonly options: ClaimShardOptions,
    private readonly wake: Queue.Queue<void>,
    private readonly keeperCounts: CheckpointCounts,
  ) {
    this.appender = new ShardAppender(options);
    const {shardName = 'claims', logger = silentLogger} = options;
    this.recovery = new ShardRecovery({shardName, logger, reset: () => this.reset()});
  }

  /** Starts the shard's fiber in the scope. The log is opened with the first request. */
  static start(options: ClaimShardOptions): Effect.Effect<ClaimShard, never, Scope.Scope> {
    return Effect.gen(function* () {
      const wake = yield* Queue.sliding<void>(1);
      const shard = new ClaimShard(options, wake, {
        checkpoints: 0,
        checkpointBytes: 0,
        checkpointFailures: 0,
        trimmedRecords: 0,
        segments: 0,
        removedSegments: 0,
      });
      yield* Effect.forkScoped(Effect.forever(shard.recovery.guard(shard.serveOnce())));
      return shard;
    });
  }

  /** Counters for metrics. */
  counts(): ClaimShardCounts {
    return {
      ...this.counted,
      ...this.keeperCounts,
      appends: this.appender.appends(),
      defects: this.recovery.defects(),
    };
  }

  /** Claims a key; answers after the append is durable, or from what is known. */
  claim(request: ClaimRequest): Effect.Effect<ClaimAnswer> {
    return Effect.gen(this, function* () {
      const claimId = claimIdOf(request);
      const early =
        this.pendingAnswer(request) ??
        this.earlyAnswer(request) ??
        (yield* this.archivedAnswer(request.key, request.requestDigest));
      if (early !== undefined) return this.remember(claimId, early);
      if (this.answered.has(claimId)) return {state: 'unavailable'} as const;
      const reply = yield* Reply.make<ClaimAnswer>();
      yield* this.enqueue({kind: 'claim', request, claimId, reply});
      const answer = yield* reply.awaitOr({state: 'unavailable'}, this.replyWaitMs());
      return this.remember(claimId, answer);
    });
  }

  /** Records an outcome; `recorded` after the append is durable. */
  complete(key: string, claimId: string, outcome: ClaimOutcome): Effect.Effect<CompleteAnswer> {
    return Effect.gen(this, function* () {
      const recorded = toRecordedOutcome(key, claimId, outcome);
      if (this.tenure?.table.hasOutcome(recorded)) return 'recorded' as const;
      const reply = yield* Reply.make<CompleteAnswer>();
      yield* this.enqueue({kind: 'outcome', outcome: recorded, reply});
      return yield* reply.awaitOr('unavailable', this.replyWaitMs());
    });
  }

  /**
   * What is known of a key. "Not run" is answered only after an append, because an owner that was paused does
   * not know what its successor granted. An unfinished claim is confirmed the same way when the last append is
   * some time ago, because its outcome may have been recorded by another owner since.
   */
  outcomeOf(key: string): Effect.Effect<ClaimAnswer> {
    return Effect.gen(this, function* () {
      const known = this.tenure?.table.answerFor(key, this.nowMs());
      const confirmed = known?.state === 'run' || this.appender.sinceLastMs() < confirmedMs;
      if (known !== undefined && confirmed) return known;
      if (this.pendingClaim(key) !== undefined) return {state: 'in-progress'} as const;
      // What a segment holds is final, so it needs no confirmation.
      const archived = known ?? (yield* this.archivedAnswer(key));
      if (known === undefined && archived !== undefined) return archived;
      const reply = yield* Reply.make<ClaimAnswer>();
      yield* this.enqueue({kind: 'question', key, reply});
      return yield* reply.awaitOr({state: 'unavailable'}, this.replyWaitMs());
    });
  }

  /**
   * A duplicate of a claim message that was answered, for example with "in progress", must not be granted later:
   * its sender has the first answer and would never report an outcome.
   */
  private remember(claimId: string, answer: ClaimAnswer): ClaimAnswer {
    if (answer.state !== 'not-owner') this.answered.add(claimId);
    return answer;
  }

  private enqueue(pending: PendingRequest): Effect.Effect<void> {
    if (this.queue.length >= maxQueued) this.dropAnswered();
    if (this.queue.length >= maxQueued) return refuseAll([pending], 'unavailable');
    this.queue.push(pending);
    return Effect.asVoid(Queue.offer(this.wake, undefined));
  }

  /** The answer that needs no append, if there is one. */
  private earlyAnswer(request: ClaimRequest): ClaimAnswer | undefined {
    const known = this.knownAnswer(request);
    if (known !== undefined) return known;
    return this.isAcceptable(request) ? undefined : {state: 'unavailable'};
  }

  private knownAnswer(request: ClaimRequest): ClaimAnswer | undefined {
    const digest = this.tenure?.table.requestDigestOf(request.key, this.nowMs());
    if (digest === undefined) return undefined;
    if (digest !== request.requestDigest) return {state: 'key-reused'};
    return this.tenure?.table.answerFor(request.key, this.nowMs());
  }

  private archivedAnswer(
    key: string,
    requestDigest?: string,
  ): Effect.Effect<ClaimAnswer | undefined> {
    return archivedAnswer(this.tenure, key, this.nowMs(), requestDigest);
  }

  private pendingAnswer(request: ClaimRequest): ClaimAnswer | undefined {
    const pending = this.pendingClaim(request.key);
    if (pending === undefined) return undefined;
    const same = pending.requestDigest === request.requestDigest;
    return {state: same ? 'in-progress' : 'key-reused'};
  }

  private pendingClaim(key: string): ClaimRequest | undefined {
    const inBatch = this.batch.find(pending => isClaimOf(pending, key));
    const found =
      inBatch ?? this.queue.find(pending => isClaimOf(pending, key) && !pending.reply.isAnswered());
    return found?.kind === 'claim' ? found.request : undefined;
  }

  private isAcceptable(request: ClaimRequest): boolean {
    const leftMs = request.sendDeadlineAtMs - this.nowMs();
    // Attempts without a token would share a claim id.
    if (request.attemptToken === '') return false;
    return leftMs > 0 && leftMs <= releasedIdMs && request.key.length <= maxKeyChars;
  }

  private serveOnce(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      if (this.queue.length === 0) {
        // An idle owner wakes for its checkpoint and its trimming.
        yield* Queue.take(this.wake).pipe(
          Effect.timeoutOption(Duration.millis(this.settings().intervalMs)),
        );
      }
      this.dropAnswered();
      if (!this.options.isOwned()) return yield* this.leave();
      if (this.queue.length > 0) {
        const open = this.tenure ?? (yield* this.open());
        if (open !== undefined) yield* this.appendBatch(open);
      }
      yield* this.keepCheckpoint();
    });
  }

  private keepCheckpoint(): Effect.Effect<void> {
    if (this.tenure === undefined) return Effect.void;
    const {keeper, position} = this.tenure;
    return keeper.isSuperseded() ? this.stepDown() : keeper.runIfDue(position, this.nowMs());
  }

  /** Membership moved the shard. The next owner's takeover record fences this one in any case. */
  private leave(): Effect.Effect<void> {
    const queued = this.queue;
    this.queue = [];
    this.tenure = undefined;
    return refuseAll(queued, 'not-owner');
  }

  /** A batch that was appended stays in the log; the takeover after the next replay makes its claims unknown. */
  private reset(): Effect.Effect<void> {
    const waiting = [...this.batch, ...this.queue];
    [this.batch, this.queue] = [[], []];
    this.tenure = undefined;
    return refuseAll(waiting, 'unavailable');
  }

  private open(): Effect.Effect<Tenure | undefined> {
    return this.replay().pipe(
      Effect.flatMap(replayed => this.takeOver(replayed)),
      Effect.catchTags({
        StoreUnavailableError: () => this.appender.pause(retryMinMs, retryMaxMs),
        InvalidClaimRecordError: () => {
          this.counted.invalidRecords += 1;
          return this.appender.pause(retryMaxMs, retryMaxMs);
        },
      }),
    );
  }

  private replay() {
    const {log, segmentStore, time} = this.options;
    const [settings, counts] = [this.settings(), this.keeperCounts];
    return replayShard({log, segmentStore, time, settings, counts});
  }

  private settings(): CheckpointSettings {
    return {...defaultCheckpointSettings, ...this.options.checkpoints};
  }

  private takeOver(replayed: Tenure): Effect.Effect<Tenure | undefined> {
    return Effect.gen(this, function* () {
      const record = this.recordOf([], true);
      const body = encodeShardRecord(record);
      const result = yield* this.appender.append(replayed.position + 1, body, () => true);
      if (result === 'taken') return yield* this.stepDown();
      if (result === 'refused') return undefined;
      replayed.table.apply(record);
      replayed.position += 1;
      this.counted.takeovers += 1;
      this.tenure = replayed;
      return replayed;
    });
  }

  private appendBatch(tenure: Tenure): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const batch = yield* this.takeBatch();
      if (batch === undefined) return;
      const result = yield* this.appender.append(tenure.position + 1, batch.body, () =>
        batch.items.some(item => !item.reply.isAnswered()),
      );
      if (result === 'appended') {
        tenure.position += 1;
        tenure.table.apply(batch.record);
      }
      this.batch = [];
      if (result === 'appended') yield* this.answerBatch(tenure, batch);
      else yield* refuseAll(batch.items, result === 'taken' ? 'not-owner' : 'unavailable');
      if (result === 'taken') yield* this.stepDown();
    });
  }

  /** Takes what is queued now; claims whose key is known by now are answered at once. */
  private takeBatch(): Effect.Effect<Batch | undefined> {
    return Effect.gen(this, function* () {
      yield* this.appender.waitForSlot();
      this.dropAnswered();
      const items: PendingRequest[] = [];
      const taken = this.queue.splice(0, maxItemsPerAppend);
      for (const pending of taken) {
        const early =
          pending.kind === 'claim' ? yield* this.answerBeforeAppend(pending.request) : undefined;
        if (pending.kind === 'claim' && early !== undefined) yield* pending.reply.give(early);
        else items.push(pending);
      }
      if (items.length === 0) return undefined;
      this.batch = items;
      const record = this.recordOf(items, false);
      return {items, record, body: encodeShardRecord(record)};
    });
  }

  private answerBeforeAppend(request: ClaimRequest): Effect.Effect<ClaimAnswer | undefined> {
    const early = this.earlyAnswer(request);
    return early === undefined
      ? this.archivedAnswer(request.key, request.requestDigest)
      : Effect.succeed(early);
  }

  private answerBatch(tenure: Tenure, batch: Batch): Effect.Effect<void> {
    return Effect.forEach(batch.items, item => this.answerItem(tenure, item), {discard: true});
  }

  private answerItem(tenure: Tenure, item: PendingRequest): Effect.Effect<unknown> {
    if (item.kind === 'outcome') return item.reply.give('recorded');
    if (item.kind === 'question') {
      return this.answerQuestion(tenure, item);
    }
    const {key} = item.request;
    if (!tenure.table.isOpen(key, item.claimId)) {
      const answer = tenure.table.answerFor(key, this.nowMs());
      return item.reply.give(answer ?? {state: 'unavailable'});
    }
    return item.reply
      .give({state: 'granted', claimId: item.claimId})
      .pipe(
        Effect.flatMap(granted =>
          granted ? Effect.void : this.releaseUngranted(key, item.claimId),
        ),
      );
  }

  private answerQuestion(tenure: Tenure, {key, reply}: PendingQuestion): Effect.Effect<boolean> {
    const known = tenure.table.answerFor(key, this.nowMs());
    const answer = known === undefined ? this.archivedAnswer(key) : Effect.succeed(known);
    return Effect.flatMap(answer, found => reply.give(found ?? {state: 'not-run'}));
  }

  /** The claim became durable after its caller was told `unavailable`; nothing was or will be sent under it. */
  private releaseUngranted(key: string, claimId: string): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const reply = yield* Reply.make<CompleteAnswer>();
      const outcome = toRecordedOutcome(key, claimId, {outcome: 'not-run'});
      yield* this.enqueue({kind: 'outcome', outcome, reply});
    });
  }

  private stepDown(): Effect.Effect<undefined> {
    this.counted.stepDowns += 1;
    this.tenure = undefined;
    return this.appender.pause(stepDownMinMs, stepDownMinMs + stepDownSpreadMs);
  }

  private dropAnswered(): void {
    this.queue = this.queue.filter(pending => !pending.reply.isAnswered());
  }

  private recordOf(items: readonly PendingRequest[], takeover: boolean): ShardRecord {
    const claims = items.flatMap(item => (item.kind === 'claim' ? [item] : []));
    return {
      ownerInstanceId: this.options.instanceId,
      atMs: this.nowMs(),
      takeover,
      outcomes: items.flatMap(item => (item.kind === 'outcome' ? [item.outcome] : [])),
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

  private replyWaitMs(): number {
    return this.options.replyWaitMs ?? defaultReplyWaitMs;
  }
}

function isClaimOf(pending: PendingRequest, key: string): boolean {
  return pending.kind === 'claim' && pending.request.key === key;
}
