/**
 * One instance of a simulated deployment: an authority and a session whose store calls and messages wait while
 * the instance is paused and end when it is killed. Timers of a paused instance go on; what they decide leaves
 * the instance only after it resumes.
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

/** Longer than the deadline of a send, so that a late message is truly late. */
const slowMessageMs = 2_500;
const lateWriteMs = 1_500;

// Far above the longest pause and the latest write of a history, as the hour is in operation.
const shortPeriods = {
  intervalMs: 4_000,
  records: 1,
  longestMs: 4_000,
  segmentBytes: 1,
  trimAgeMs: 20_000,
};

/** An instance that can be paused and killed. */
export class SimulatedInstance {
  alive = true;
  /** Believes that it owns the shard, whatever the others believe. */
  claimsOwnership = false;
  authority!: ShardedClaimAuthority;
  session!: ClaimSession;
  /** The instance's clock, which may be wrong. */
  readonly clock: TimeSource;
  private readonly scope = Effect.runSync(Scope.make());
  private readonly death = Effect.runSync(Deferred.make<void>());
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
    const common = {instanceId, time: this.clock, random: seededRandom(seed)};
    const ownerOf = (shard: number) =>
      this.claimsOwnership ? instanceId : simulation.owner(shard);
    const makeBoth = Effect.gen(this, function* () {
      const store = this.pausableStore();
      const checkpoints = simulation.history.shortPeriods ? shortPeriods : {};
      this.authority = yield* ShardedClaimAuthority.make({
        ...common,
        store,
        ownerOf,
        shardCount,
        checkpoints,
      });
      this.session = yield* ClaimSession.make({
        ...common,
        ownerOf: key => ownerOf(shardOfKey(key, shardCount)),
        transport: this.transport(),
      });
    });
    time.run(makeBoth.pipe(Scope.extend(this.scope)));
  }

  /** Pauses the instance for a time in milliseconds. */
  pause(durationMs: number): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const resumed = yield* Deferred.make<void>();
      this.resumed = resumed;
      yield* Effect.sleep(Duration.millis(durationMs));
      yield* Deferred.succeed(resumed, undefined);
    });
  }

  /** Ends the process. */
  kill(): Effect.Effect<void> {
    this.alive = false;
    return Effect.zipRight(
      Deferred.succeed(this.death, undefined),
      Effect.forkDaemon(Scope.close(this.scope, Exit.void)),
    );
  }

  /** Waits until the instance is not paused. */
  whileRunning(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.resumed));
  }

  /** Runs an effect that ends without a result when the instance dies. */
  untilDeath<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<A | 'died', E> {
    return Effect.raceFirst(effect, Effect.as(Deferred.await(this.death), 'died' as const));
  }

  private pausableStore(): PlatformStore {
    const store = this.simulation.storeOf();
    const gated = <A, E>(call: Effect.Effect<A, E>): Effect.Effect<A, E> =>
      this.whileRunning().pipe(
        Effect.zipRight(call),
        Effect.tap(() => this.whileRunning()),
      );
    return {
      get: key => gated(store.get(key)),
      create: (key, value) => gated(this.lateOr(store.create(key, value))),
      update: (key, value, version) => gated(store.update(key, value, version)),
      remove: (key, version) => gated(store.remove(key, version)),
      list: (prefix, afterKey, limit) => gated(store.list(prefix, afterKey, limit)),
      watch: (prefix, afterKey, waitMs) => gated(store.watch(prefix, afterKey, waitMs)),
    };
  }

  /** The answer is lost at once, and the write takes effect later. */
  private lateOr(write: Effect.Effect<bigint, StoreWriteError>) {
    return Effect.suspend((): Effect.Effect<bigint, StoreWriteError> => {
      if (!this.simulation.writesAreLate) return write;
      const late = Effect.zipRight(Effect.sleep(Duration.millis(lateWriteMs)), write);
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
      yield* this.whileRunning();
      const to = this.simulation.instance(owner);
      if (to === undefined || !to.alive) return yield* lost('no');
      yield* Effect.sleep(Duration.millis(fault === 'slow-request' ? slowMessageMs : 1));
      if (fault === 'request-lost') return yield* lost('maybe');
      // The owner goes on with a request whose sender has given up; a duplicate arrives a little later.
      const handled = yield* Effect.forkDaemon(
        to.untilDeath(Effect.zipRight(to.whileRunning(), ask(to))),
      );
      if (fault === 'duplicated') {
        yield* Effect.forkDaemon(Effect.delay(to.untilDeath(ask(to)), Duration.millis(150)));
      }
      const answer = yield* handled.await.pipe(Effect.flatten);
      yield* to.whileRunning();
      yield* Effect.sleep(Duration.millis(fault === 'slow-reply' ? slowMessageMs : 1));
      if (fault === 'reply-lost' || answer === 'died') return yield* lost('maybe');
      yield* this.whileRunning();
      return answer as A;
    });
  }
}

function lost(delivered: 'no' | 'maybe'): Effect.Effect<never, ClaimTransportError> {
  return Effect.fail(new ClaimTransportError({delivered, detail: 'simulated'}));
}
