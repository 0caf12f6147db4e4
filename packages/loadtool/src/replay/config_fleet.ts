/** A fleet of configuration synchronisations on virtual time, with one store and a network that can fail. */
import {ConfigSync, ConfigTransportError} from '@cuminsill/config_sync';
import type {ConfigSyncSettings, SubmitError, SubmitResult} from '@cuminsill/config_sync';
import {silentLogger, silentMetrics} from '@cuminsill/logger';
import {MemoryStore, VirtualTime} from '@cuminsill/standins';
import type {PlatformStore} from '@cuminsill/store';
import {StoreUnavailableError} from '@cuminsill/store';
import type {
  Configuration,
  ConfigurationChange,
  Instance,
  Member,
  RegionShare,
} from '@cuminsill/types';
import {seededRandom} from '@cuminsill/utils';
import {Duration, Effect, Either, Exit, Scope} from 'effect';
import type {Fiber} from 'effect';

/** Never ends. Effect.never would hold a real timer, which keeps the test process alive. */
const noAnswer: Effect.Effect<never> = Effect.async<never>(() => undefined);

/** Size, seed and settings of a fleet. */
export interface ConfigFleetOptions {
  readonly instances: number;
  readonly regions: number;
  readonly seed?: number;
  readonly settings?: Partial<ConfigSyncSettings>;
}

/** One process of an instance. */
export interface ConfigNode {
  readonly instance: Instance;
  readonly sync: ConfigSync;
  readonly scope: Scope.CloseableScope;
  alive: boolean;
  /** Virtual time at which each version was first in force. */
  readonly adoptedAtMs: Map<number, number>;
}

/** Applies intent changes; catalog changes replace the catalog. */
export function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration {
  const {body, version} = change;
  if (body.kind === 'put-catalog') return {...configuration, version, catalog: body.catalog};
  const id = body.kind === 'put-intent' ? body.intent.id : body.intentId;
  const intents = configuration.intents.filter(entry => entry.intent.id !== id);
  if (body.kind === 'remove-intent') return {...configuration, version, intents};
  const confirmed = {
    intent: body.intent,
    version,
    confirmedBy: change.author,
    confirmedAtMs: change.acceptedAtMs,
    previousShares: [] as readonly RegionShare[],
  };
  return {...configuration, version, intents: [...intents, confirmed]};
}

/** A confirmed drain as the change that makes the given version. */
export function intentChange(version: number, name: string): ConfigurationChange {
  return {
    version,
    author: 'operator',
    acceptedAtMs: 1_700_000_000_000,
    planDigest: `plan-${name}`,
    body: {
      kind: 'put-intent',
      intent: {kind: 'drain', id: name, siteId: 'site-1'},
      previousShares: [],
    },
  };
}

interface CachedView {
  readonly isCut: SimConfigFleet['isCut'];
  readonly running: string;
  readonly members: readonly Member[];
}

/** The fleet. */
export class SimConfigFleet {
  readonly time = new VirtualTime();
  readonly store = new MemoryStore();
  readonly nodes = new Map<string, ConfigNode>();
  dropRate = 0;
  isCut: (from: Instance, to: Instance) => boolean = () => false;
  /** True while an instance cannot reach the store. */
  isStoreCut: (instance: Instance) => boolean = () => false;
  readonly messages = {count: 0, bytes: 0};
  /** Adoptions of a version that is not above the one before, over all instances; must stay empty. */
  readonly reverted: string[] = [];
  private readonly random;
  private started = 0;
  private killed = 0;
  private readonly views = new Map<string, CachedView>();

  constructor(readonly options: ConfigFleetOptions) {
    this.random = seededRandom(options.seed ?? 1);
    for (let index = 0; index < options.instances; index += 1) this.start(this.instanceAt(index));
  }

  instanceAt(index: number): Instance {
    const regionId = `r${index % this.options.regions}`;
    const address = {host: `10.1.${index >> 8}.${index & 255}`, port: 7000};
    return {
      id: `i-${index}`,
      regionId,
      failureDomainId: `${regionId}-fd${Math.floor(index / this.options.regions) % 2}`,
      callerAddress: address,
      entryPeerAddress: address,
      controlPeerAddress: address,
    };
  }

  /** Starts an instance, or a new process of one that was killed. */
  start(instance: Instance): ConfigNode {
    this.started += 1;
    const scope = Effect.runSync(Scope.make());
    const start = ConfigSync.start({
      self: instance,
      store: cuttable(this.store, () => this.isStoreCut(instance)),
      transport: {
        push: (peer, request) =>
          this.call(instance, peer, node => node.sync.receivePush(request), request.changesJson),
        pull: (peer, request) =>
          this.call(instance, peer, node => Effect.sync(() => node.sync.receivePull(request)), []),
      },
      members: () => this.members(instance),
      applyChange,
      time: this.time,
      random: seededRandom(1_000 * (this.options.seed ?? 1) + this.started),
      logger: silentLogger,
      metrics: silentMetrics,
      settings: this.options.settings,
    }).pipe(Scope.extend(scope));
    const sync = valueOf(this.time.fork(start));
    const node: ConfigNode = {instance, sync, scope, alive: true, adoptedAtMs: new Map()};
    let last = 0;
    sync.onAdopt(({version}) => {
      if (version <= last) this.reverted.push(`${instance.id}: ${last} to ${version}`);
      last = version;
      node.adoptedAtMs.set(version, this.time.nowMs());
    });
    this.nodes.set(instance.id, node);
    return node;
  }

  kill(id: string): void {
    const node = this.node(id);
    node.alive = false;
    this.killed += 1;
    this.time.fork(Scope.close(node.scope, Exit.void));
  }

  node(id: string): ConfigNode {
    const node = this.nodes.get(id);
    if (node === undefined) throw new Error(`no instance ${id}`);
    return node;
  }

  alive(): readonly ConfigNode[] {
    return [...this.nodes.values()].filter(node => node.alive);
  }

  /** Submits through an instance; the result is read with {@link SimConfigFleet.result}. */
  submit(id: string, change: ConfigurationChange): Fiber.RuntimeFiber<SubmitResult, SubmitError> {
    return this.time.fork(this.node(id).sync.submit(change));
  }

  /** Waits for a submission; returns its state and version, or the tag of its error. */
  result(fiber: Fiber.RuntimeFiber<SubmitResult, SubmitError>): string {
    this.time.advanceUntil(() => fiber.unsafePoll() !== null, 60_000);
    const result = Effect.runSync(Effect.either(fiber.unsafePoll() ?? Effect.die('no result')));
    return Either.match(result, {
      onLeft: error => error._tag,
      onRight: ({state, version}) => `${state} ${version}`,
    });
  }

  /** Lets time pass until all running instances have a version; undefined if they do not within the limit. */
  spread(version: number, limitMs = 60_000): number | undefined {
    const all = () => this.alive().every(node => node.sync.current().version >= version);
    return this.time.advanceUntil(all, limitMs);
  }

  private members(self: Instance): readonly Member[] {
    const running = `${this.started} ${this.killed}`;
    const cached = this.views.get(self.id);
    if (cached?.isCut === this.isCut && cached.running === running) return cached.members;
    const members = this.membersNow(self);
    this.views.set(self.id, {isCut: this.isCut, running, members});
    return members;
  }

  private membersNow(self: Instance): readonly Member[] {
    return [...this.nodes.values()].map(({instance, alive}) => ({
      instance,
      state: 'serving',
      reachability: alive && !this.isCut(self, instance) ? 'reachable' : 'unreachable',
      incarnation: 1,
      configVersion: 0,
    }));
  }

  private call<A>(
    from: Instance,
    to: Instance,
    handle: (node: ConfigNode) => Effect.Effect<A>,
    content: readonly Uint8Array[],
  ): Effect.Effect<A, ConfigTransportError> {
    return Effect.gen(this, function* () {
      this.messages.count += 1;
      for (const part of content) this.messages.bytes += part.byteLength;
      const node = this.nodes.get(to.id);
      if (node === undefined || !node.alive) {
        return yield* new ConfigTransportError({detail: 'connection refused'});
      }
      yield* this.travel(from, to);
      if (!node.alive) return yield* noAnswer;
      const reply = yield* handle(node);
      yield* this.travel(to, from);
      return reply;
    });
  }

  private travel(from: Instance, to: Instance): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.isCut(from, to) || this.random.next() < this.dropRate) return noAnswer;
      return Effect.sleep(Duration.millis(from.regionId === to.regionId ? 1 : 55));
    });
  }
}

function valueOf<A>(fiber: Fiber.RuntimeFiber<A, never>): A {
  const exit = fiber.unsafePoll();
  if (exit === null) throw new Error('the start did not complete');
  return Effect.runSync(exit);
}

/** The store as one instance reaches it; a cut refuses calls and loses what a waiting watch finds. */
function cuttable(store: PlatformStore, isCut: () => boolean): PlatformStore {
  const check = Effect.suspend(() =>
    isCut() ? Effect.fail(new StoreUnavailableError({detail: 'cut off'})) : Effect.void,
  );
  const guard = <A, E>(call: Effect.Effect<A, E>) => check.pipe(Effect.zipRight(call));
  return {
    get: key => guard(store.get(key)),
    create: (key, value) => guard(store.create(key, value)),
    update: (key, value, version) => guard(store.update(key, value, version)),
    remove: (key, version) => guard(store.remove(key, version)),
    list: (prefix, afterKey, limit) => guard(store.list(prefix, afterKey, limit)),
    watch: (prefix, afterKey, waitMs) =>
      guard(store.watch(prefix, afterKey, waitMs)).pipe(Effect.zipLeft(check)),
  };
}
