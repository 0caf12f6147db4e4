/**
 * The owner's side of all claim shards. Membership says which shards this instance owns; a wrong answer of
 * membership costs a takeover and cannot break the promise, because the shard's log decides.
 */
import type {Logger} from '@cuminsill/logger';
import type {PlatformStore} from '@cuminsill/store';
import {StoreLog} from '@cuminsill/store';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {hash32} from '@cuminsill/utils';
import {Effect, Either, Schema, Scope} from 'effect';
import type {CheckpointSettings} from './checkpoint_keeper';
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

/** Number of claim shards unless the configuration says otherwise. */
export const defaultShardCount = 16;

/** Settings and surroundings of the claim shards of one instance. */
export interface ShardedClaimAuthorityOptions {
  readonly instanceId: string;
  readonly store: PlatformStore;
  readonly time: TimeSource;
  /** Spreads the back-off of owners that race for a shard. */
  readonly random: RandomSource;
  /** The instance that owns a shard now, as membership says; undefined while it is not known. */
  readonly ownerOf: (shard: number) => string | undefined;
  /** Number of shards in this instance's settings. */
  readonly shardCount: number;
  /** How long a request waits for its append, in milliseconds. */
  readonly replyWaitMs?: number;
  /** Largest number of appends per second and shard. */
  readonly maxAppendsPerS?: number;
  /** Gets the changes of state of shards. Default: none is written. */
  readonly logger?: Logger;
  /** Periods of checkpoints and segments that differ from the usual ones; for tests. */
  readonly checkpoints?: Partial<CheckpointSettings>;
}

const shardsKey = 'claims/shards';
const shardsSchema = Schema.parseJson(Schema.Struct({shards: Schema.Int.pipe(Schema.positive())}));

/** The shard of a key. All instances of a deployment use the same count. */
export function shardOfKey(key: string, shardCount: number): number {
  return hash32(key) % shardCount;
}

/** Serves the shards that this instance owns and names the owner of the others. */
export class ShardedClaimAuthority implements ClaimAuthority {
  private readonly shards = new Map<number, ClaimShard>();
  private countIsConfirmed = false;

  private constructor(
    private readonly options: ShardedClaimAuthorityOptions,
    private readonly scope: Scope.Scope,
  ) {}

  /** Starts without any store call; shards open with their first request. Ends with the scope. */
  static make(
    options: ShardedClaimAuthorityOptions,
  ): Effect.Effect<ShardedClaimAuthority, never, Scope.Scope> {
    return Effect.map(Effect.scope, scope => new ShardedClaimAuthority(options, scope));
  }

  claim(request: ClaimRequest): Effect.Effect<ClaimAnswer> {
    return this.onShard(
      request.key,
      shard => shard.claim(request),
      ownerInstanceId => ({state: 'not-owner', ownerInstanceId}),
      {state: 'unavailable'},
    );
  }

  complete(key: string, claimId: string, outcome: ClaimOutcome): Effect.Effect<CompleteAnswer> {
    return this.onShard<CompleteAnswer>(
      key,
      shard => shard.complete(key, claimId, outcome),
      () => 'not-owner',
      'unavailable',
    );
  }

  outcomeOf(key: string): Effect.Effect<ClaimAnswer> {
    return this.onShard(
      key,
      shard => shard.outcomeOf(key),
      ownerInstanceId => ({state: 'not-owner', ownerInstanceId}),
      {state: 'unavailable'},
    );
  }

  /** Counters of all shards opened so far. */
  counts(): readonly ClaimShardCounts[] {
    return [...this.shards.values()].map(shard => shard.counts());
  }

  private onShard<A>(
    key: string,
    ask: (shard: ClaimShard) => Effect.Effect<A>,
    notOwner: (ownerInstanceId: string | undefined) => A,
    unavailable: A,
  ): Effect.Effect<A> {
    return Effect.gen(this, function* () {
      const shardNumber = shardOfKey(key, this.options.shardCount);
      const owner = this.options.ownerOf(shardNumber);
      if (owner !== this.options.instanceId) return notOwner(owner);
      if (!(yield* this.confirmShardCount())) return unavailable;
      return yield* ask(yield* this.shard(shardNumber));
    });
  }

  private shard(shardNumber: number): Effect.Effect<ClaimShard> {
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
          // A start does not wait, but another request may have started the shard before this one ran on.
          const first = this.shards.get(shardNumber) ?? started;
          this.shards.set(shardNumber, first);
          return first;
        }),
      );
    });
  }

  /** Compares the number of shards with the deployment's; the first control process writes it. */
  private confirmShardCount(): Effect.Effect<boolean> {
    if (this.countIsConfirmed) return Effect.succeed(true);
    const {store, shardCount} = this.options;
    const body = Buffer.from(JSON.stringify({shards: shardCount}));
    return store.get(shardsKey).pipe(
      Effect.flatMap(found =>
        found === undefined
          ? Effect.as(store.create(shardsKey, body), body)
          : Effect.succeed(found.value),
      ),
      Effect.map(value => {
        const decoded = Schema.decodeUnknownEither(shardsSchema)(Buffer.from(value).toString());
        this.countIsConfirmed = Either.isRight(decoded) && decoded.right.shards === shardCount;
        return this.countIsConfirmed;
      }),
      // Another instance may have written it first, so a failed write is followed by one more read.
      Effect.retry({times: 1}),
      Effect.catchAll(() => Effect.succeed(false)),
    );
  }
}
