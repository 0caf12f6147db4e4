/**
 * The owner's side of all claim shards. Membership determines which shards this instance owns. A wrong membership view
 * costs a takeover but cannot break the at-most-once guarantee, because the log of the shard admits only one owner.
 */
import type {Logger} from '@cuminsill/logger';
import type {PlatformStore} from '@cuminsill/store';
import {StoreLog} from '@cuminsill/store';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {hash32} from '@cuminsill/utils';
import {Effect, Either, Schema, Scope} from 'effect';
import type {CheckpointSettings} from './checkpointer';
import type {ClaimShardCounts} from './claim_shard_options';
import {ClaimShard} from './claim_shard';
import type {
  ClaimAnswer,
  ClaimAuthority,
  ClaimOutcome,
  ClaimRequest,
  CompleteAnswer,
} from './claim_types';
import {SegmentStore} from './segment_archive';

/** Default number of claim shards. */
export const defaultShardCount = 16;

/** Settings and dependencies of the claim shards of one instance. */
export interface ShardedClaimAuthorityOptions {
  readonly instanceId: string;
  readonly store: PlatformStore;
  readonly time: TimeSource;
  /** Randomizes the backoff of instances that compete for a shard. */
  readonly random: RandomSource;
  /** Returns the instance that owns a shard according to the current membership; undefined while it is not known. */
  readonly ownerOf: (shard: number) => string | undefined;
  /** Number of shards in this instance's settings. */
  readonly shardCount: number;
  /** Maximum time that a request waits for its append, in milliseconds. */
  readonly replyTimeoutMs?: number;
  /** Maximum number of appends per second and shard. */
  readonly maxAppendsPerS?: number;
  /** Logs the state changes of shards. Without a logger, nothing is logged. */
  readonly logger?: Logger;
  /** Overrides of the default checkpoint settings, for tests. */
  readonly checkpoints?: Partial<CheckpointSettings>;
}

const shardCountKey = 'claims/shards';
const shardCountSchema = Schema.parseJson(
  Schema.Struct({shards: Schema.Int.pipe(Schema.positive())}),
);

/** Returns the shard of a key. All instances of a deployment must use the same shard count. */
export function shardOfKey(key: string, shardCount: number): number {
  return hash32(key) % shardCount;
}

/** Serves the shards that this instance owns and redirects requests for other shards to their owners. */
export class ShardedClaimAuthority implements ClaimAuthority {
  private readonly shards = new Map<number, ClaimShard>();
  private isShardCountConfirmed = false;

  private constructor(
    private readonly options: ShardedClaimAuthorityOptions,
    private readonly scope: Scope.Scope,
  ) {}

  /** Creates the authority without a store call. Each shard starts with its first request and ends with the scope. */
  static make(
    options: ShardedClaimAuthorityOptions,
  ): Effect.Effect<ShardedClaimAuthority, never, Scope.Scope> {
    return Effect.map(Effect.scope, scope => new ShardedClaimAuthority(options, scope));
  }

  claim(request: ClaimRequest): Effect.Effect<ClaimAnswer> {
    return this.askShard(
      request.key,
      shard => shard.claim(request),
      ownerInstanceId => ({state: 'not-owner', ownerInstanceId}),
      {state: 'unavailable'},
    );
  }

  complete(key: string, claimId: string, outcome: ClaimOutcome): Effect.Effect<CompleteAnswer> {
    return this.askShard<CompleteAnswer>(
      key,
      shard => shard.complete(key, claimId, outcome),
      () => 'not-owner',
      'unavailable',
    );
  }

  outcomeOf(key: string): Effect.Effect<ClaimAnswer> {
    return this.askShard(
      key,
      shard => shard.outcomeOf(key),
      ownerInstanceId => ({state: 'not-owner', ownerInstanceId}),
      {state: 'unavailable'},
    );
  }

  /** Counters of all shards started so far. */
  counts(): readonly ClaimShardCounts[] {
    return [...this.shards.values()].map(shard => shard.counts());
  }

  private askShard<A>(
    key: string,
    ask: (shard: ClaimShard) => Effect.Effect<A>,
    toNotOwner: (ownerInstanceId: string | undefined) => A,
    unavailable: A,
  ): Effect.Effect<A> {
    return Effect.gen(this, function* () {
      const shardNumber = shardOfKey(key, this.options.shardCount);
      const owner = this.options.ownerOf(shardNumber);
      if (owner !== this.options.instanceId) return toNotOwner(owner);
      if (!(yield* this.checkShardCount())) return unavailable;
      return yield* ask(yield* this.getOrStartShard(shardNumber));
    });
  }

  private getOrStartShard(shardNumber: number): Effect.Effect<ClaimShard> {
    return Effect.suspend(() => {
      const existing = this.shards.get(shardNumber);
      if (existing !== undefined) return Effect.succeed(existing);
      const {store, time, ownerOf, instanceId} = this.options;
      return ClaimShard.start({
        ...this.options,
        log: new StoreLog(store, `claims/${shardNumber}`, time),
        shardName: `claims/${shardNumber}`,
        segmentStore: new SegmentStore(store, `claims/${shardNumber}`),
        isOwned: () => ownerOf(shardNumber) === instanceId,
      }).pipe(
        Scope.extend(this.scope),
        Effect.map(started => {
          // Starting does not wait, but another request may have started the shard before this fiber continued.
          const shard = this.shards.get(shardNumber) ?? started;
          this.shards.set(shardNumber, shard);
          return shard;
        }),
      );
    });
  }

  /**
   * Checks that this instance has the same number of shards as the deployment. The first control process of a
   * deployment writes the number to the store.
   */
  private checkShardCount(): Effect.Effect<boolean> {
    if (this.isShardCountConfirmed) return Effect.succeed(true);
    const {store, shardCount} = this.options;
    const body = Buffer.from(JSON.stringify({shards: shardCount}));
    return store.get(shardCountKey).pipe(
      Effect.flatMap(found =>
        found === undefined
          ? Effect.as(store.create(shardCountKey, body), body)
          : Effect.succeed(found.value),
      ),
      Effect.map(value => {
        const decoded = Schema.decodeUnknownEither(shardCountSchema)(Buffer.from(value).toString());
        this.isShardCountConfirmed = Either.isRight(decoded) && decoded.right.shards === shardCount;
        return this.isShardCountConfirmed;
      }),
      // After a failed write, the number is read again, because another instance may have written it first.
      Effect.retry({times: 1}),
      Effect.catchAll(() => Effect.succeed(false)),
    );
  }
}
