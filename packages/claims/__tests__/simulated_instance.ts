/**
 * One instance of a simulated deployment: a claim authority and a claim session. Their store calls and messages wait
 * while the instance is paused, and end when it is killed. The timers of a paused instance continue, but their effects
 * leave the instance only after it resumes.
 */
import type {PlatformStore, StoreWriteError} from '@cuminsill/store';
import {StoreAmbiguousError} from '@cuminsill/store';
import type {TimeSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';
import {Deferred, Duration, Effect, Exit, Scope} from 'effect';
import type {ClaimAnswer, CompleteAnswer} from '../src';
import {ClaimSession, ClaimTransportError, ShardedClaimAuthority, shardOfKey} from '../src';
import type {ClaimSimulation} from './claim_simulation';
import type {NetworkFault} from './history_types';

/** Longer than a session searches for an owner (2 s), so that no instance is asked again after a slow message. */
const slowMessageDelayMs = 2_500;
const lateWriteDelayMs = 1_500;

// The trim age is far above the longest pause and the longest delay of a write, like the hour of the default settings.
const shortCheckpointSettings = {
  intervalMs: 4_000,
  maxRecords: 1,
  maxDelayMs: 4_000,
  minSegmentBytes: 1,
  trimAgeMs: 20_000,
};

/** A simulated instance that can be paused and killed. */
export class SimulatedInstance {
  isAlive = true;
  /** Whether the instance assumes that it owns all shards, regardless of membership. */
  assumesOwnership = false;
  authority!: ShardedClaimAuthority;
  session!: ClaimSession;
  /** The clock of the instance. Its wall clock may be wrong. */
  readonly clock: TimeSource;
  private readonly scope = Effect.runSync(Scope.make());
  private readonly killed = Effect.runSync(Deferred.make<void>());
  private resumed = Effect.runSync(Deferred.make<void>());

  constructor(
    private readonly simulation: ClaimSimulation,
    readonly instanceId: string,
    seed: number,
    clockOffsetMs: number,
  ) {
    Effect.runSync(Deferred.succeed(this.resumed, undefined));
    const {time} = simulation;
    const {shards: shardCount} = simulation.history;
    this.clock = {
      nowMs: () => time.nowMs() + clockOffsetMs,
      monotonicMs: () => time.monotonicMs(),
    };
    const commonOptions = {instanceId, time: this.clock, random: seededRandom(seed)};
    const ownerOf = (shard: number) =>
      this.assumesOwnership ? instanceId : simulation.ownerOf(shard);
    const startBoth = Effect.gen(this, function* () {
      const store = this.pausableStore();
      const checkpoints = simulation.history.shortPeriods ? shortCheckpointSettings : {};
      this.authority = yield* ShardedClaimAuthority.make({
        ...commonOptions,
        store,
        ownerOf,
        shardCount,
        checkpoints,
      });
      this.session = yield* ClaimSession.make({
        ...commonOptions,
        ownerOf: key => ownerOf(shardOfKey(key, shardCount)),
        transport: this.transport(),
      });
    });
    time.run(startBoth.pipe(Scope.extend(this.scope)));
  }

  /** Pauses the instance for `durationMs`. */
  pause(durationMs: number): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const resumed = yield* Deferred.make<void>();
      this.resumed = resumed;
      yield* Effect.sleep(Duration.millis(durationMs));
      yield* Deferred.succeed(resumed, undefined);
    });
  }

  /** Ends the instance abruptly, as a crash does. */
  kill(): Effect.Effect<void> {
    this.isAlive = false;
    return Effect.zipRight(
      Deferred.succeed(this.killed, undefined),
      Effect.forkDaemon(Scope.close(this.scope, Exit.void)),
    );
  }

  /** Waits until the instance is no longer paused; returns at once if it is running. */
  waitWhilePaused(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.resumed));
  }

  /** Runs an effect until the instance is killed. Returns `died` in that case. */
  untilKilled<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<A | 'died', E> {
    return Effect.raceFirst(effect, Effect.as(Deferred.await(this.killed), 'died' as const));
  }

  private pausableStore(): PlatformStore {
    const store = this.simulation.storeForInstances();
    const pausable = <A, E>(call: Effect.Effect<A, E>): Effect.Effect<A, E> =>
      this.waitWhilePaused().pipe(
        Effect.zipRight(call),
        Effect.tap(() => this.waitWhilePaused()),
      );
    return {
      get: key => pausable(store.get(key)),
      create: (key, value) => pausable(this.delayIfLate(store.create(key, value))),
      update: (key, value, version) => pausable(store.update(key, value, version)),
      remove: (key, version) => pausable(store.remove(key, version)),
      list: (prefix, afterKey, limit) => pausable(store.list(prefix, afterKey, limit)),
      watch: (prefix, afterKey, waitMs) => pausable(store.watch(prefix, afterKey, waitMs)),
    };
  }

  /** While writes are late, fails at once with an ambiguous error and lets the write take effect later. */
  private delayIfLate(write: Effect.Effect<bigint, StoreWriteError>) {
    return Effect.suspend((): Effect.Effect<bigint, StoreWriteError> => {
      if (!this.simulation.areWritesLate) return write;
      const late = Effect.zipRight(Effect.sleep(Duration.millis(lateWriteDelayMs)), write);
      return Effect.zipRight(
        Effect.forkDaemon(Effect.ignore(late)),
        Effect.fail(new StoreAmbiguousError({detail: 'late write'})),
      );
    });
  }

  private transport() {
    const call = <A>(owner: string, ask: (to: SimulatedInstance) => Effect.Effect<A>) =>
      this.call(owner, ask);
    return {
      claim: (owner: string, request: Parameters<ShardedClaimAuthority['claim']>[0]) =>
        call<ClaimAnswer>(owner, to => to.authority.claim(request)),
      complete: (owner: string, ...report: Parameters<ShardedClaimAuthority['complete']>) =>
        call<CompleteAnswer>(owner, to => to.authority.complete(...report)),
      outcomeOf: (owner: string, key: string) =>
        call<ClaimAnswer>(owner, to => to.authority.outcomeOf(key)),
    };
  }

  private call<A>(
    owner: string,
    ask: (to: SimulatedInstance) => Effect.Effect<A>,
  ): Effect.Effect<A, ClaimTransportError> {
    return Effect.gen(this, function* () {
      const fault: NetworkFault = this.simulation.networkFault;
      yield* this.waitWhilePaused();
      const to = this.simulation.instance(owner);
      if (to === undefined || !to.isAlive) return yield* failDelivery('no');
      yield* Effect.sleep(Duration.millis(fault === 'slow-request' ? slowMessageDelayMs : 1));
      if (fault === 'request-lost') return yield* failDelivery('maybe');
      // The owner continues with a request whose sender has given up. A duplicate arrives a little later.
      const handling = yield* Effect.forkDaemon(
        to.untilKilled(Effect.zipRight(to.waitWhilePaused(), ask(to))),
      );
      if (fault === 'duplicated') {
        yield* Effect.forkDaemon(Effect.delay(to.untilKilled(ask(to)), Duration.millis(150)));
      }
      const answer = yield* handling.await.pipe(Effect.flatten);
      yield* to.waitWhilePaused();
      yield* Effect.sleep(Duration.millis(fault === 'slow-reply' ? slowMessageDelayMs : 1));
      if (fault === 'reply-lost' || answer === 'died') return yield* failDelivery('maybe');
      yield* this.waitWhilePaused();
      return answer as A;
    });
  }
}

function failDelivery(delivered: 'no' | 'maybe'): Effect.Effect<never, ClaimTransportError> {
  return Effect.fail(new ClaimTransportError({delivered, detail: 'simulated'}));
}
