/** Simulated fleet that synchronizes its configuration in virtual time, over one store and a network that can fail. */
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

/** Never completes. Effect.never would hold a real timer, which keeps the test process alive. */
const neverCompletes: Effect.Effect<never> = Effect.async<never>(() => undefined);

/** Number of instances and regions, seed and settings of a fleet. */
export interface ConfigFleetOptions {
  readonly instances: number;
  readonly regions: number;
  readonly seed?: number;
  readonly settings?: Partial<ConfigSyncSettings>;
}

/** One control process of an instance; a restart of the instance makes a new one. */
export interface ConfigNode {
  readonly instance: Instance;
  readonly sync: ConfigSync;
  readonly scope: Scope.CloseableScope;
  isAlive: boolean;
  /** Virtual time at which each version was adopted. */
  readonly adoptedAtMs: Map<number, number>;
}

/** Returns the configuration after a change: with the catalog replaced, or an intent put or removed. */
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

/** Makes the change of a confirmed drain that leads to the given configuration version. */
export function makeDrainChange(version: number, name: string): ConfigurationChange {
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

/** Members that an instance sees, valid while the network and the running processes stay the same. */
interface CachedMembers {
  readonly isLinkCut: SimConfigFleet['isLinkCut'];
  /** Numbers of started and killed processes. */
  readonly counts: string;
  readonly members: readonly Member[];
}

/** Control processes of all instances, with a store and a network between them. */
export class SimConfigFleet {
  readonly time = new VirtualTime();
  readonly store = new MemoryStore();
  readonly nodes = new Map<string, ConfigNode>();
  /** Probability that the network loses a message. */
  lossRate = 0;
  /** True while the network between two instances is cut. */
  isLinkCut: (from: Instance, to: Instance) => boolean = () => false;
  /** True while an instance cannot reach the store. */
  isStoreUnreachable: (instance: Instance) => boolean = () => false;
  /** Number of requests between instances, and bytes of the changes that they carry. */
  readonly messages = {count: 0, bytes: 0};
  /** Adoptions of a version that is not newer than the one before it in the same process; must stay empty. */
  readonly reverted: string[] = [];
  private readonly random;
  private startedCount = 0;
  private killedCount = 0;
  private readonly membersCache = new Map<string, CachedMembers>();

  constructor(readonly options: ConfigFleetOptions) {
    this.random = seededRandom(options.seed ?? 1);
    for (let index = 0; index < options.instances; index += 1) this.start(this.instanceAt(index));
  }

  /** Returns the instance with the given index; indexes are spread over the regions. */
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

  /** Starts the process of an instance, or a new process of one that was killed. */
  start(instance: Instance): ConfigNode {
    this.startedCount += 1;
    const scope = Effect.runSync(Scope.make());
    const startSync = ConfigSync.start({
      self: instance,
      store: failWhenCut(this.store, () => this.isStoreUnreachable(instance)),
      transport: {
        push: (peer, request) =>
          this.sendMessage(
            instance,
            peer,
            node => node.sync.receivePush(request),
            request.changesJson,
          ),
        pull: (peer, request) =>
          this.sendMessage(
            instance,
            peer,
            node => Effect.sync(() => node.sync.receivePull(request)),
            [],
          ),
      },
      members: () => this.membersSeenBy(instance),
      applyChange,
      time: this.time,
      random: seededRandom(1_000 * (this.options.seed ?? 1) + this.startedCount),
      logger: silentLogger,
      metrics: silentMetrics,
      settings: this.options.settings,
    }).pipe(Scope.extend(scope));
    const sync = completedValue(this.time.fork(startSync));
    const node: ConfigNode = {instance, sync, scope, isAlive: true, adoptedAtMs: new Map()};
    let latest = 0;
    sync.onAdopt(({version}) => {
      if (version <= latest) this.reverted.push(`${instance.id}: ${latest} to ${version}`);
      latest = version;
      node.adoptedAtMs.set(version, this.time.nowMs());
    });
    this.nodes.set(instance.id, node);
    return node;
  }

  /** Stops the process of an instance. */
  kill(id: string): void {
    const node = this.node(id);
    node.isAlive = false;
    this.killedCount += 1;
    this.time.fork(Scope.close(node.scope, Exit.void));
  }

  /** Returns the latest process of an instance. */
  node(id: string): ConfigNode {
    const node = this.nodes.get(id);
    if (node === undefined) throw new Error(`no instance ${id}`);
    return node;
  }

  /** Returns the running processes. */
  runningNodes(): readonly ConfigNode[] {
    return [...this.nodes.values()].filter(node => node.isAlive);
  }

  /** Submits a change at an instance; {@link SimConfigFleet.waitForResult} returns the result. */
  submit(id: string, change: ConfigurationChange): Fiber.RuntimeFiber<SubmitResult, SubmitError> {
    return this.time.fork(this.node(id).sync.submit(change));
  }

  /** Lets time pass until a submission completes; returns its state and version, or the tag of its error. */
  waitForResult(fiber: Fiber.RuntimeFiber<SubmitResult, SubmitError>): string {
    this.time.advanceUntil(() => fiber.unsafePoll() !== null, 60_000);
    const result = Effect.runSync(Effect.either(fiber.unsafePoll() ?? Effect.die('no result')));
    return Either.match(result, {
      onLeft: error => error._tag,
      onRight: ({state, version}) => `${state} ${version}`,
    });
  }

  /** Lets time pass until all running instances have adopted a version; undefined if that exceeds the limit. */
  waitForAdoption(version: number, timeoutMs = 60_000): number | undefined {
    const allAdopted = () =>
      this.runningNodes().every(node => node.sync.current().version >= version);
    return this.time.advanceUntil(allAdopted, timeoutMs);
  }

  /** Returns the members that an instance sees; it is called often, so the result is cached. */
  private membersSeenBy(self: Instance): readonly Member[] {
    const counts = `${this.startedCount} ${this.killedCount}`;
    const cached = this.membersCache.get(self.id);
    if (cached?.isLinkCut === this.isLinkCut && cached.counts === counts) return cached.members;
    const members = this.computeMembers(self);
    this.membersCache.set(self.id, {isLinkCut: this.isLinkCut, counts, members});
    return members;
  }

  private computeMembers(self: Instance): readonly Member[] {
    return [...this.nodes.values()].map(({instance, isAlive}) => ({
      instance,
      state: 'serving',
      reachability: isAlive && !this.isLinkCut(self, instance) ? 'reachable' : 'unreachable',
      incarnation: 1,
      configVersion: 0,
    }));
  }

  /** Sends a request and its reply over the simulated network; a lost message gets no answer. */
  private sendMessage<A>(
    from: Instance,
    to: Instance,
    handleRequest: (node: ConfigNode) => Effect.Effect<A>,
    messageParts: readonly Uint8Array[],
  ): Effect.Effect<A, ConfigTransportError> {
    return Effect.gen(this, function* () {
      this.messages.count += 1;
      for (const part of messageParts) this.messages.bytes += part.byteLength;
      const node = this.nodes.get(to.id);
      if (node === undefined || !node.isAlive) {
        return yield* new ConfigTransportError({detail: 'connection refused'});
      }
      yield* this.simulateDelivery(from, to);
      if (!node.isAlive) return yield* neverCompletes;
      const reply = yield* handleRequest(node);
      yield* this.simulateDelivery(to, from);
      return reply;
    });
  }

  private simulateDelivery(from: Instance, to: Instance): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.isLinkCut(from, to) || this.random.next() < this.lossRate) return neverCompletes;
      return Effect.sleep(Duration.millis(from.regionId === to.regionId ? 1 : 55));
    });
  }
}

/** Returns the value of a fiber that has completed without any wait. */
function completedValue<A>(fiber: Fiber.RuntimeFiber<A, never>): A {
  const exit = fiber.unsafePoll();
  if (exit === null) throw new Error('the start did not complete');
  return Effect.runSync(exit);
}

/** The store as one instance reaches it; while cut off, calls fail and a pending watch loses what it found. */
function failWhenCut(store: PlatformStore, isStoreCut: () => boolean): PlatformStore {
  const checkReachable = Effect.suspend(() =>
    isStoreCut() ? Effect.fail(new StoreUnavailableError({detail: 'cut off'})) : Effect.void,
  );
  const whenReachable = <A, E>(call: Effect.Effect<A, E>) =>
    checkReachable.pipe(Effect.zipRight(call));
  return {
    get: key => whenReachable(store.get(key)),
    create: (key, value) => whenReachable(store.create(key, value)),
    update: (key, value, version) => whenReachable(store.update(key, value, version)),
    remove: (key, version) => whenReachable(store.remove(key, version)),
    list: (prefix, afterKey, limit) => whenReachable(store.list(prefix, afterKey, limit)),
    watch: (prefix, afterKey, waitMs) =>
      whenReachable(store.watch(prefix, afterKey, waitMs)).pipe(Effect.zipLeft(checkReachable)),
  };
}
