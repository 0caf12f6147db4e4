/**
 * Runs one history of operations and failures on several instances, one store and one target in virtual time, and
 * compares what the target ran with what the callers were told.
 */
import {MemoryStore, VirtualTime} from '@cuminsill/standins';
import type {StoreFault} from '@cuminsill/standins';
import type {PlatformStore} from '@cuminsill/store';
import {ownerByRendezvous} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';
import type {ClaimAnswer, ClaimOutcome} from '../src';
import type {
  CallStep,
  DisabledSafeguard,
  FailureStep,
  History,
  HistoryResult,
  NetworkFault,
} from './history_types';
import {SimulatedInstance} from './simulated_instance';

interface Attempt {
  readonly key: string;
  readonly fault: CallStep['fault'];
  sentAtMs: number | undefined;
  runs: number;
}

type CallerResult = 'run' | 'not-run' | 'unknown' | 'connection-lost';

const instanceCount = 3;
const sendDeadlineMs = 8_000;

/** A simulated deployment that runs one history. */
export class ClaimSimulation {
  readonly time = new VirtualTime();
  networkFault: NetworkFault = 'none';
  areWritesLate = false;
  private readonly store = new MemoryStore();
  private instances: SimulatedInstance[] = [];
  private excludedInstanceId: string | undefined;
  private startedCount = 0;
  private killCount = 0;
  private falseNotRuns = 0;
  private falseRuns = 0;
  private readonly attempts: Attempt[] = [];

  constructor(
    readonly history: History,
    private readonly disabledSafeguard: DisabledSafeguard,
  ) {
    for (let index = 0; index < instanceCount; index += 1) this.startInstance();
  }

  /** The owner of a shard according to membership. */
  ownerOf(shard: number): string | undefined {
    const members = this.instances
      .filter(instance => instance.isAlive && instance.instanceId !== this.excludedInstanceId)
      .map(instance => instance.instanceId);
    return ownerByRendezvous(`shard ${shard} ${this.history.seed}`, members);
  }

  /** Returns an instance by its id, also a killed one. */
  instance(instanceId: string): SimulatedInstance | undefined {
    return this.instances.find(instance => instance.instanceId === instanceId);
  }

  /** The store of all instances. If the durable append is disabled, it confirms creations that it did not write. */
  storeForInstances(): PlatformStore {
    const store = this.store;
    if (this.disabledSafeguard !== 'durable-append') return store;
    return {
      get: key => store.get(key),
      create: (key, value) =>
        store.create(key, value).pipe(Effect.catchAll(() => Effect.succeed(0n))),
      update: (key, value, version) => store.update(key, value, version),
      remove: (key, version) => store.remove(key, version),
      list: (prefix, afterKey, limit) => store.list(prefix, afterKey, limit),
      watch: (prefix, afterKey, waitMs) => store.watch(prefix, afterKey, waitMs),
    };
  }

  /** Runs the history and then a period without failures, and asks for the outcome of every operation. */
  run(): HistoryResult {
    for (const step of this.history.failures) this.time.fork(this.at(step.atMs, this.inject(step)));
    for (const step of this.history.calls) this.time.fork(this.at(step.atMs, this.runCall(step)));
    this.time.advance(30_000);
    this.endFailures();
    this.time.advance(70_000);
    // The shards move, so that another owner reads the checkpoints and segments of the former one.
    this.excludedInstanceId = this.ownerOf(0);
    const keys = [...new Set(this.history.calls.map(step => keyOf(step)))];
    const final = keys.map(key => ({key, state: this.finalState(key)}));
    const unknown = final.filter(({state}) => state === 'unknown' || state === 'in-progress');
    for (const [index, key] of keys.entries()) this.retryAfterArchiving(key, index);
    this.stop();
    const blocked = unknown.filter(
      ({key}) => this.killCount === 0 && !this.mayHaveLostResponse(key),
    );
    return {
      doubleRuns: keys.filter(key => this.runsOf(key) > 1).length,
      falseNotRuns: this.falseNotRuns,
      falseRuns: this.falseRuns,
      operations: keys.length,
      unknownOperations: unknown.length,
      blockedOperations: blocked.length,
    };
  }

  /** Retries an operation when its claim may already be in a segment. */
  private retryAfterArchiving(key: string, entryIndex: number): void {
    this.time.run(this.runAttempt({key}, entryIndex, 'none'));
  }

  /** Whether the response to an attempt may have been lost, so that only the target knows the outcome. */
  private mayHaveLostResponse(key: string): boolean {
    return this.attempts.some(
      attempt =>
        attempt.key === key &&
        attempt.sentAtMs !== undefined &&
        !['none', 'connection-refused'].includes(attempt.fault),
    );
  }

  /** Ends all fibers, so that the memory of the simulation can be freed. */
  private stop(): void {
    const alive = this.instances.filter(instance => instance.isAlive);
    this.time.run(Effect.forEach(alive, instance => instance.kill(), {discard: true}));
    this.time.advance(3 * sendDeadlineMs);
  }

  private finalState(key: string): ClaimAnswer['state'] {
    for (let round = 0; round < 10; round += 1) {
      const state = this.time.run(this.queryOutcome(key, 0)).state;
      if (state !== 'unavailable' && state !== 'not-owner') return state;
      this.time.advance(3_000);
    }
    throw new Error(`no owner answers for ${key} after the failures have ended`);
  }

  private startInstance(): void {
    this.startedCount += 1;
    const seed = this.history.seed * 31 + this.startedCount;
    const offsets = this.history.clockOffsetsMs;
    const offsetMs = offsets[this.startedCount % offsets.length] ?? 0;
    this.instances.push(new SimulatedInstance(this, `i${this.startedCount}`, seed, offsetMs));
  }

  private endFailures(): void {
    this.store.setOutage(false);
    this.store.setLatency(0);
    this.networkFault = 'none';
    this.areWritesLate = false;
    this.excludedInstanceId = undefined;
  }

  private at(atMs: number, effect: Effect.Effect<void>): Effect.Effect<void> {
    return Effect.zipRight(Effect.sleep(Duration.millis(atMs)), effect);
  }

  private aliveInstance(index: number): SimulatedInstance {
    const alive = this.instances.filter(instance => instance.isAlive);
    return alive[index % alive.length] as SimulatedInstance;
  }

  private inject(step: FailureStep): Effect.Effect<void> {
    const handlers: Record<FailureStep['kind'], () => Effect.Effect<void>> = {
      'store-down': () => this.injectStoreFault(step, 'unavailable'),
      'store-slow': () =>
        this.whileActive(step, active =>
          this.store.setLatency(active ? 200 + (step.durationMs % 1_800) : 0),
        ),
      'store-answer-lost-before-write': () =>
        this.injectStoreFault(step, 'answer-lost-before-write'),
      'store-answer-lost-after-write': () => this.injectStoreFault(step, 'answer-lost-after-write'),
      'store-write-late': () => this.whileActive(step, active => (this.areWritesLate = active)),
      'request-lost': () => this.injectNetworkFault(step, 'request-lost'),
      'reply-lost': () => this.injectNetworkFault(step, 'reply-lost'),
      'slow-request': () => this.injectNetworkFault(step, 'slow-request'),
      'slow-reply': () => this.injectNetworkFault(step, 'slow-reply'),
      duplicated: () => this.injectNetworkFault(step, 'duplicated'),
      pause: () => this.aliveInstance(step.instance).pause(step.durationMs),
      'pause-and-move': () => this.pauseOwnerAndMoveShards(step),
      move: () => this.moveShards(step),
      'two-owners': () => {
        const instance = this.aliveInstance(step.instance);
        return this.whileActive(step, active => (instance.assumesOwnership = active));
      },
      kill: () => this.killAndReplace(this.aliveInstance(step.instance)),
      'replace-all': () => this.replaceAllInstances(),
    };
    return Effect.suspend(handlers[step.kind]);
  }

  private whileActive(step: FailureStep, set: (active: boolean) => void): Effect.Effect<void> {
    return Effect.gen(function* () {
      set(true);
      yield* Effect.sleep(Duration.millis(step.durationMs));
      set(false);
    });
  }

  private injectStoreFault(step: FailureStep, fault: StoreFault): Effect.Effect<void> {
    return this.whileActive(step, active =>
      this.store.setFaultPlan(kind =>
        active && (kind === 'write' || fault === 'unavailable') ? fault : 'none',
      ),
    );
  }

  private injectNetworkFault(step: FailureStep, fault: NetworkFault): Effect.Effect<void> {
    return this.whileActive(step, active => (this.networkFault = active ? fault : 'none'));
  }

  private moveShards(step: FailureStep): Effect.Effect<void> {
    const owner = this.ownerOf(0);
    return this.whileActive(step, active => (this.excludedInstanceId = active ? owner : undefined));
  }

  private pauseOwnerAndMoveShards(step: FailureStep): Effect.Effect<void> {
    const owner = this.instance(this.ownerOf(0) ?? '') ?? this.aliveInstance(0);
    const effects = [owner.pause(step.durationMs / 2), this.moveShards(step)];
    return Effect.all(effects, {concurrency: 'unbounded', discard: true});
  }

  private killAndReplace(instance: SimulatedInstance): Effect.Effect<void> {
    this.killCount += 1;
    return Effect.zipRight(
      instance.kill(),
      Effect.sync(() => this.startInstance()),
    );
  }

  private replaceAllInstances(): Effect.Effect<void> {
    const alive = this.instances.filter(instance => instance.isAlive);
    return Effect.forEach(alive, instance => this.killAndReplace(instance), {discard: true});
  }

  private runCall(step: CallStep): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const first = yield* this.runAttempt({key: keyOf(step)}, step.entry, step.fault);
      if (first === 'run' || step.retry === 'none') return;
      if (step.retry === 'after-replacement') yield* this.replaceAllInstances();
      if (step.retry === 'after-a-while') yield* Effect.sleep(Duration.seconds(5));
      yield* this.queryOutcome(keyOf(step), step.entry + 1);
      yield* this.runAttempt({key: keyOf(step)}, step.entry + 1, 'none');
    });
  }

  /** Sends one request of a caller to one entry and returns what the caller is told. */
  private runAttempt(
    {key}: Pick<Attempt, 'key'>,
    entryIndex: number,
    fault: CallStep['fault'],
  ): Effect.Effect<CallerResult> {
    return Effect.gen(this, function* () {
      const entry = this.aliveInstance(entryIndex);
      const attempt: Attempt = {key, fault, sentAtMs: undefined, runs: 0};
      this.attempts.push(attempt);
      const callerResult = yield* entry.untilKilled(this.serve(entry, attempt, fault));
      if (callerResult === 'died') return 'connection-lost' as const;
      // The target may still run the request, so "not-run" is checked after the deadline.
      if (callerResult === 'not-run') yield* Effect.forkDaemon(this.checkNotRunLater(attempt));
      return callerResult;
    });
  }

  private checkNotRunLater(attempt: Attempt): Effect.Effect<void> {
    const check = Effect.sync(() => {
      if (attempt.runs > 0) this.falseNotRuns += 1;
    });
    return Effect.delay(check, Duration.millis(2 * sendDeadlineMs));
  }

  private serve(
    entry: SimulatedInstance,
    attempt: Attempt,
    fault: CallStep['fault'],
  ): Effect.Effect<CallerResult> {
    return Effect.gen(this, function* () {
      const {key} = attempt;
      const sendDeadlineAtMs = entry.clock.nowMs() + sendDeadlineMs;
      const decision = yield* entry.session.claim({key, requestDigest: key, sendDeadlineAtMs});
      yield* entry.waitWhilePaused();
      if (decision.decision === 'not-sent') return 'not-run' as const;
      const isHeld = decision.decision === 'held';
      if (isHeld && this.disabledSafeguard !== 'refusal-of-held-keys') {
        return decision.answer.state === 'run' ? ('run' as const) : ('unknown' as const);
      }
      const claimId = decision.decision === 'send' ? decision.claimId : 'none';
      // The target gets the remaining time instead of a point in time, so a wrong clock of the entry has no effect.
      const deadlineAtMs = this.time.nowMs() + (sendDeadlineAtMs - entry.clock.nowMs());
      const outcome = yield* this.send(entry, attempt, fault, deadlineAtMs);
      yield* entry.waitWhilePaused();
      yield* Effect.forkDaemon(entry.untilKilled(entry.session.complete(key, claimId, outcome)));
      return outcome.outcome;
    });
  }

  private send(
    entry: SimulatedInstance,
    attempt: Attempt,
    fault: CallStep['fault'],
    deadlineAtMs: number,
  ): Effect.Effect<ClaimOutcome> {
    const lostConnectionOutcome: ClaimOutcome =
      this.disabledSafeguard === 'unknown-after-lost-connection'
        ? {outcome: 'not-run'}
        : {outcome: 'unknown'};
    return Effect.gen(this, function* () {
      if (fault === 'connection-refused' || this.time.nowMs() >= deadlineAtMs) {
        return {outcome: 'not-run'} as const;
      }
      if (fault === 'entry-killed-before-send') yield* this.killAndHang(entry);
      attempt.sentAtMs = this.time.nowMs();
      const slowRun = this.runOnTarget(attempt, deadlineAtMs, 1_000);
      if (fault === 'entry-killed-during-send') {
        yield* Effect.forkDaemon(slowRun);
        yield* this.killAndHang(entry);
      }
      yield* Effect.sleep(Duration.millis(5));
      if (fault === 'target-killed-before-run') return lostConnectionOutcome;
      if (fault === 'connection-lost-after-body') {
        yield* Effect.forkDaemon(slowRun);
        return lostConnectionOutcome;
      }
      yield* this.runOnTarget(attempt, deadlineAtMs, 20);
      if (fault === 'entry-killed-after-send') yield* this.killAndHang(entry);
      if (fault === 'target-killed-after-run') return lostConnectionOutcome;
      return {outcome: 'run', answer: {status: 201, contentType: 'text/plain'}} as const;
    });
  }

  /** Kills the entry in the middle of an attempt, which therefore never continues. */
  private killAndHang(entry: SimulatedInstance): Effect.Effect<never> {
    return Effect.zipRight(this.killAndReplace(entry), Effect.never);
  }

  private runOnTarget(
    attempt: Attempt,
    deadlineAtMs: number,
    delayMs: number,
  ): Effect.Effect<void> {
    const run = Effect.sync(() => {
      if (this.time.nowMs() < deadlineAtMs) attempt.runs += 1;
    });
    return Effect.delay(run, Duration.millis(delayMs));
  }

  /** Asks for an outcome as a caller does, and checks the answer against what the target ran. */
  private queryOutcome(key: string, entryIndex: number): Effect.Effect<ClaimAnswer> {
    return Effect.gen(this, function* () {
      const askedAtMs = this.time.nowMs();
      const sentBefore = this.attempts.filter(
        attempt => attempt.key === key && (attempt.sentAtMs ?? Infinity) < askedAtMs,
      );
      const answer = yield* this.aliveInstance(entryIndex).session.outcomeOf(key);
      if (answer.state === 'run' && this.runsOf(key) === 0) this.falseRuns += 1;
      if (answer.state === 'not-run') {
        yield* Effect.forkDaemon(
          Effect.forEach(sentBefore, attempt => this.checkNotRunLater(attempt), {discard: true}),
        );
      }
      return answer;
    });
  }

  private runsOf(key: string): number {
    return this.attempts
      .filter(attempt => attempt.key === key)
      .reduce((sum, attempt) => sum + attempt.runs, 0);
  }
}

function keyOf(step: CallStep): string {
  return `key-${step.key}`;
}
