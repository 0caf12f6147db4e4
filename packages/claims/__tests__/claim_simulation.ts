/**
 * Runs one history of operations and failures over several instances, one store and one target, under virtual
 * time, and records what ran and what callers were told.
 */
import {MemoryStore, VirtualTime} from '@cuminsill/standins';
import type {StoreFault} from '@cuminsill/standins';
import type {PlatformStore} from '@cuminsill/store';
import {ownerByRendezvous} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';
import type {ClaimAnswer, ClaimOutcome} from '../src';
import type {
  CallStep,
  EventStep,
  History,
  HistoryResult,
  NetworkFault,
  RemovedPart,
} from './history_types';
import {SimulatedInstance} from './simulated_instance';

interface Attempt {
  readonly key: string;
  readonly fault: CallStep['fault'];
  sentAtMs: number | undefined;
  runs: number;
}

type Told = 'run' | 'not-run' | 'unknown' | 'connection-lost';

const instanceCount = 3;
const sendDeadlineMs = 8_000;

/** The state of one simulated deployment. */
export class ClaimSimulation {
  readonly time = new VirtualTime();
  networkFault: NetworkFault = 'none';
  writesAreLate = false;
  private readonly store = new MemoryStore();
  private instances: SimulatedInstance[] = [];
  private awayInstanceId: string | undefined;
  private started = 0;
  private deaths = 0;
  private falseNotRuns = 0;
  private falseRuns = 0;
  private readonly attempts: Attempt[] = [];

  constructor(
    readonly history: History,
    private readonly removed: RemovedPart,
  ) {
    for (let index = 0; index < instanceCount; index += 1) this.startInstance();
  }

  /** The owner of a shard, as membership says. */
  owner(shard: number): string | undefined {
    const members = this.instances
      .filter(instance => instance.alive && instance.instanceId !== this.awayInstanceId)
      .map(instance => instance.instanceId);
    return ownerByRendezvous(`shard ${shard} ${this.history.seed}`, members);
  }

  /** An instance by its id. */
  instance(instanceId: string): SimulatedInstance | undefined {
    return this.instances.find(instance => instance.instanceId === instanceId);
  }

  /** The store; without the durable append, a store that confirms what it did not write. */
  storeOf(): PlatformStore {
    const store = this.store;
    if (this.removed !== 'durable-append') return store;
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

  /** Runs the history and then a time without failures, and asks for every operation's outcome. */
  run(): HistoryResult {
    for (const step of this.history.events) this.time.fork(this.at(step.atMs, this.event(step)));
    for (const step of this.history.calls) this.time.fork(this.at(step.atMs, this.call(step)));
    this.time.advance(30_000);
    this.heal();
    this.time.advance(70_000);
    // Another owner reads what the former one has left in checkpoints and segments.
    this.awayInstanceId = this.owner(0);
    const keys = [...new Set(this.history.calls.map(step => keyOf(step)))];
    const final = keys.map(key => ({key, state: this.finalState(key)}));
    const unknown = final.filter(({state}) => state === 'unknown' || state === 'in-progress');
    for (const [index, key] of keys.entries()) this.retryLate(key, index);
    this.stop();
    const blocked = unknown.filter(({key}) => this.deaths === 0 && !this.endsUnknown(key));
    return {
      doubleRuns: keys.filter(key => this.runsOf(key) > 1).length,
      falseNotRuns: this.falseNotRuns,
      falseRuns: this.falseRuns,
      operations: keys.length,
      unknownOperations: unknown.length,
      blockedOperations: blocked.length,
    };
  }

  /** A caller that comes back when its claim may be in a segment. */
  private retryLate(key: string, entryIndex: number): void {
    this.time.run(this.attempt({key}, entryIndex, 'none'));
  }

  /** Whether an attempt lost its response, so that nobody but the target can know its outcome. */
  private endsUnknown(key: string): boolean {
    return this.attempts.some(
      attempt =>
        attempt.key === key &&
        attempt.sentAtMs !== undefined &&
        !['none', 'connection-refused'].includes(attempt.fault),
    );
  }

  /** Ends all fibers, so that the history can be freed. */
  private stop(): void {
    const serving = this.instances.filter(instance => instance.alive);
    this.time.run(Effect.forEach(serving, instance => instance.kill(), {discard: true}));
    this.time.advance(3 * sendDeadlineMs);
  }

  private finalState(key: string): ClaimAnswer['state'] {
    for (let round = 0; round < 10; round += 1) {
      const state = this.time.run(this.ask(key, 0)).state;
      if (state !== 'unavailable' && state !== 'not-owner') return state;
      this.time.advance(3_000);
    }
    throw new Error(`no owner answers for ${key} after the failures have ended`);
  }

  private startInstance(): void {
    this.started += 1;
    const seed = this.history.seed * 31 + this.started;
    const offsets = this.history.clockOffsetsMs;
    const offsetMs = offsets[this.started % offsets.length] ?? 0;
    this.instances.push(new SimulatedInstance(this, `i${this.started}`, seed, offsetMs));
  }

  private heal(): void {
    this.store.setOutage(false);
    this.store.setLatency(0);
    this.networkFault = 'none';
    this.writesAreLate = false;
    this.awayInstanceId = undefined;
  }

  private at(atMs: number, effect: Effect.Effect<void>): Effect.Effect<void> {
    return Effect.zipRight(Effect.sleep(Duration.millis(atMs)), effect);
  }

  private serving(index: number): SimulatedInstance {
    const serving = this.instances.filter(instance => instance.alive);
    return serving[index % serving.length] as SimulatedInstance;
  }

  private event(step: EventStep): Effect.Effect<void> {
    const handlers: Record<EventStep['kind'], () => Effect.Effect<void>> = {
      'store-down': () => this.storeFault(step, 'unavailable'),
      'store-slow': () =>
        this.during(step, on => this.store.setLatency(on ? 200 + (step.durationMs % 1_800) : 0)),
      'store-answer-lost-before-write': () => this.storeFault(step, 'answer-lost-before-write'),
      'store-answer-lost-after-write': () => this.storeFault(step, 'answer-lost-after-write'),
      'store-write-late': () => this.during(step, on => (this.writesAreLate = on)),
      'request-lost': () => this.network(step, 'request-lost'),
      'reply-lost': () => this.network(step, 'reply-lost'),
      'slow-request': () => this.network(step, 'slow-request'),
      'slow-reply': () => this.network(step, 'slow-reply'),
      duplicated: () => this.network(step, 'duplicated'),
      pause: () => this.serving(step.instance).pause(step.durationMs),
      'pause-and-move': () => this.pauseOwnerAndMove(step),
      move: () => this.move(step),
      'two-owners': () => {
        const instance = this.serving(step.instance);
        return this.during(step, on => (instance.claimsOwnership = on));
      },
      kill: () => this.kill(this.serving(step.instance)),
      'replace-all': () => this.replaceAll(),
    };
    return Effect.suspend(handlers[step.kind]);
  }

  private during(step: EventStep, set: (on: boolean) => void): Effect.Effect<void> {
    return Effect.gen(function* () {
      set(true);
      yield* Effect.sleep(Duration.millis(step.durationMs));
      set(false);
    });
  }

  private storeFault(step: EventStep, fault: StoreFault): Effect.Effect<void> {
    return this.during(step, on =>
      this.store.setFaultPlan(kind =>
        on && (kind === 'write' || fault === 'unavailable') ? fault : 'none',
      ),
    );
  }

  private network(step: EventStep, fault: NetworkFault): Effect.Effect<void> {
    return this.during(step, on => (this.networkFault = on ? fault : 'none'));
  }

  private move(step: EventStep): Effect.Effect<void> {
    const owner = this.owner(0);
    return this.during(step, on => (this.awayInstanceId = on ? owner : undefined));
  }

  private pauseOwnerAndMove(step: EventStep): Effect.Effect<void> {
    const owner = this.instance(this.owner(0) ?? '') ?? this.serving(0);
    const both = [owner.pause(step.durationMs / 2), this.move(step)];
    return Effect.all(both, {concurrency: 'unbounded', discard: true});
  }

  private kill(instance: SimulatedInstance): Effect.Effect<void> {
    this.deaths += 1;
    return Effect.zipRight(
      instance.kill(),
      Effect.sync(() => this.startInstance()),
    );
  }

  private replaceAll(): Effect.Effect<void> {
    const serving = this.instances.filter(instance => instance.alive);
    return Effect.forEach(serving, instance => this.kill(instance), {discard: true});
  }

  private call(step: CallStep): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const first = yield* this.attempt({key: keyOf(step)}, step.entry, step.fault);
      if (first === 'run' || step.retry === 'none') return;
      if (step.retry === 'after-replacement') yield* this.replaceAll();
      if (step.retry === 'after-a-while') yield* Effect.sleep(Duration.seconds(5));
      yield* this.ask(keyOf(step), step.entry + 1);
      yield* this.attempt({key: keyOf(step)}, step.entry + 1, 'none');
    });
  }

  /** One request of a caller to one entry. */
  private attempt(
    {key}: Pick<Attempt, 'key'>,
    entryIndex: number,
    fault: CallStep['fault'],
  ): Effect.Effect<Told> {
    return Effect.gen(this, function* () {
      const entry = this.serving(entryIndex);
      const attempt: Attempt = {key, fault, sentAtMs: undefined, runs: 0};
      this.attempts.push(attempt);
      const told = yield* entry.untilDeath(this.serve(entry, attempt, fault));
      if (told === 'died') return 'connection-lost' as const;
      // The target may run the request later, so the statement is checked after its deadline.
      if (told === 'not-run') yield* Effect.forkDaemon(this.checkLater(attempt));
      return told;
    });
  }

  private checkLater(attempt: Attempt): Effect.Effect<void> {
    const check = Effect.sync(() => {
      if (attempt.runs > 0) this.falseNotRuns += 1;
    });
    return Effect.delay(check, Duration.millis(2 * sendDeadlineMs));
  }

  private serve(
    entry: SimulatedInstance,
    attempt: Attempt,
    fault: CallStep['fault'],
  ): Effect.Effect<Told> {
    return Effect.gen(this, function* () {
      const {key} = attempt;
      const sendDeadlineAtMs = entry.clock.nowMs() + sendDeadlineMs;
      const decision = yield* entry.session.claim({key, requestDigest: key, sendDeadlineAtMs});
      yield* entry.whileRunning();
      if (decision.decision === 'not-sent') return 'not-run' as const;
      const held = decision.decision === 'held';
      if (held && this.removed !== 'refusal-of-held-keys') {
        return decision.answer.state === 'run' ? ('run' as const) : ('unknown' as const);
      }
      const claimId = decision.decision === 'send' ? decision.claimId : 'none';
      // The target gets the remaining time, so the entry's clock does not matter to it.
      const deadlineAtMs = this.time.nowMs() + (sendDeadlineAtMs - entry.clock.nowMs());
      const outcome = yield* this.send(entry, attempt, fault, deadlineAtMs);
      yield* entry.whileRunning();
      yield* Effect.forkDaemon(entry.untilDeath(entry.session.complete(key, claimId, outcome)));
      return outcome.outcome;
    });
  }

  private send(
    entry: SimulatedInstance,
    attempt: Attempt,
    fault: CallStep['fault'],
    deadlineAtMs: number,
  ): Effect.Effect<ClaimOutcome> {
    const lostConnection: ClaimOutcome =
      this.removed === 'unknown-after-lost-connection'
        ? {outcome: 'not-run'}
        : {outcome: 'unknown'};
    return Effect.gen(this, function* () {
      if (fault === 'connection-refused' || this.time.nowMs() >= deadlineAtMs) {
        return {outcome: 'not-run'} as const;
      }
      if (fault === 'entry-killed-before-send') yield* this.killAndStop(entry);
      attempt.sentAtMs = this.time.nowMs();
      const slowRun = this.targetRuns(attempt, deadlineAtMs, 1_000);
      if (fault === 'entry-killed-during-send') {
        yield* Effect.forkDaemon(slowRun);
        yield* this.killAndStop(entry);
      }
      yield* Effect.sleep(Duration.millis(5));
      if (fault === 'target-killed-before-run') return lostConnection;
      if (fault === 'connection-lost-after-body') {
        yield* Effect.forkDaemon(slowRun);
        return lostConnection;
      }
      yield* this.targetRuns(attempt, deadlineAtMs, 20);
      if (fault === 'entry-killed-after-send') yield* this.killAndStop(entry);
      if (fault === 'target-killed-after-run') return lostConnection;
      return {outcome: 'run', answer: {status: 201, contentType: 'text/plain'}} as const;
    });
  }

  private killAndStop(entry: SimulatedInstance): Effect.Effect<never> {
    return Effect.zipRight(this.kill(entry), Effect.never);
  }

  private targetRuns(attempt: Attempt, deadlineAtMs: number, delayMs: number): Effect.Effect<void> {
    const run = Effect.sync(() => {
      if (this.time.nowMs() < deadlineAtMs) attempt.runs += 1;
    });
    return Effect.delay(run, Duration.millis(delayMs));
  }

  /** A caller asks for an outcome; what it is told is checked against the target. */
  private ask(key: string, entryIndex: number): Effect.Effect<ClaimAnswer> {
    return Effect.gen(this, function* () {
      const askedAtMs = this.time.nowMs();
      const sentBefore = this.attempts.filter(
        attempt => attempt.key === key && (attempt.sentAtMs ?? Infinity) < askedAtMs,
      );
      const answer = yield* this.serving(entryIndex).session.outcomeOf(key);
      if (answer.state === 'run' && this.runsOf(key) === 0) this.falseRuns += 1;
      if (answer.state === 'not-run') {
        yield* Effect.forkDaemon(
          Effect.forEach(sentBefore, attempt => this.checkLater(attempt), {discard: true}),
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
