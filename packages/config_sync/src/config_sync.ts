/**
 * Keeps the configuration in force up to date. One fiber reads the store, one compares versions with random peers
 * (anti-entropy), one forwards adopted changes, and one writes checkpoints.
 */
import {create} from '@bufbuild/protobuf';
import type {PullReply, PullRequest, PushReply, PushRequest} from '@cuminsill/protocol';
import {PullReplySchema, PullRequestSchema, PushReplySchema} from '@cuminsill/protocol';
import type {Configuration, ConfigurationChange, Member} from '@cuminsill/types';
import type {Scope} from 'effect';
import {Duration, Effect, Either, Option, Queue} from 'effect';
import type {ChangeOrigin} from './config_adopter';
import {ConfigAdopter, maxChangesPerMessage} from './config_adopter';
import {sleepMs} from './backoff';
import {CheckpointWriter} from './checkpoint_writer';
import {ConfigLog} from './config_log';
import {ChangeDistributor, changesForOneMessage} from './change_distributor';
import type {SubmitError} from './errors';
import {allWatchers, isWatcher, randomPeers, watchersOfRegion} from './members_by_role';
import type {ConfigListener, ConfigSyncOptions, ConfigSyncSettings, SubmitResult} from './options';
import {defaultConfigSyncSettings} from './options';
import {ConfigLogReader} from './config_log_reader';
import {ChangeSubmitter} from './change_submitter';

/** Maximum number of members that a received push may ask this instance to forward to. */
const maxForwardIdsPerMessage = 4_096;

/**
 * Peers tried per comparison. With a single try and 36% of the calls lost, 1 of 1,000 instances stayed behind for
 * over 10 s.
 */
const maxPeersPerComparison = 3;

const instanceIdPattern = /^[a-z0-9][a-z0-9.-]{0,63}$/;

/** Holds the configuration in force, accepts changes and exchanges them with peers. */
export class ConfigSync {
  private readonly adopter: ConfigAdopter;
  private readonly configLog: ConfigLog;
  private readonly distributor: ChangeDistributor;
  private readonly logReader: ConfigLogReader;
  private readonly checkpointWriter: CheckpointWriter;
  private readonly submitter: ChangeSubmitter;
  /** Version up to which this instance has forwarded changes or relies on others to forward them. */
  private forwardedVersion = 0;
  private readonly originsToForward = new Set<ChangeOrigin>();

  private constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly scope: Scope.Scope,
    private readonly forwardSignals: Queue.Queue<void>,
  ) {
    this.adopter = new ConfigAdopter(options, settings, origin => this.requestForwarding(origin));
    this.configLog = new ConfigLog(options.store, options.time);
    this.distributor = new ChangeDistributor(options, settings, this.adopter.state);
    const {configLog, adopter} = this;
    this.logReader = new ConfigLogReader(options, settings, configLog, adopter);
    this.checkpointWriter = new CheckpointWriter(
      options,
      settings,
      configLog,
      adopter,
      this.logReader,
    );
    this.submitter = new ChangeSubmitter(options, settings, configLog, adopter, this.logReader);
  }

  /**
   * Starts with an empty configuration and loads the newest one in the background; see
   * {@link ConfigSync.awaitReady}.
   */
  static start(options: ConfigSyncOptions): Effect.Effect<ConfigSync, never, Scope.Scope> {
    return Effect.gen(function* () {
      const scope = yield* Effect.scope;
      // One queued signal covers all changes that are adopted before it is taken.
      const forwardSignals = yield* Queue.dropping<void>(1);
      const settings = {...defaultConfigSyncSettings, ...options.settings};
      const sync = new ConfigSync(options, settings, scope, forwardSignals);
      yield* Effect.forkScoped(sync.loadAndWatch());
      yield* Effect.forkScoped(sync.runComparisons());
      yield* Effect.forkScoped(sync.runForwarding());
      yield* Effect.forkScoped(sync.checkpointWriter.run());
      return sync;
    });
  }

  /** The configuration in force. */
  current(): Configuration {
    return this.adopter.state.current();
  }

  /** Version that a confirmed plan produced; undefined when the plan is not among the last 1,024. */
  planVersion(planDigest: string): number | undefined {
    return this.adopter.state.planVersion(planDigest);
  }

  /** True once the store was read, or a configuration was received from a peer that has one. */
  isReady(): boolean {
    return this.adopter.isReady();
  }

  /** Waits until {@link ConfigSync.isReady}. */
  awaitReady(): Effect.Effect<void> {
    return this.adopter.awaitReady();
  }

  /** Milliseconds since the store last answered this instance; undefined when it never did. */
  storeContactAgeMs(): number | undefined {
    return this.configLog.lastReadAgeMs();
  }

  /** Number of received messages and changes that were ignored because they were invalid. */
  invalidParts(): number {
    return this.adopter.invalidParts;
  }

  /** Calls the listener with each adopted configuration; returns a function that removes the listener. */
  onAdopt(listener: ConfigListener): () => void {
    return this.adopter.onAdopt(listener);
  }

  /**
   * Stores a change, adopts it and pushes it to peers. The version of the change must be the one after the version in
   * force. If a change of the same plan was stored before, returns the version of that change.
   */
  submit(change: ConfigurationChange): Effect.Effect<SubmitResult, SubmitError> {
    return Effect.gen(this, function* () {
      const version = yield* this.submitter.submit(change);
      const isAcknowledged = yield* this.distributor.collectAcknowledgements(version);
      return {version, state: isAcknowledged ? ('accepted' as const) : ('stored' as const)};
    });
  }

  /** Adopts changes that a peer pushes and forwards them to the members that the message lists. */
  receivePush(request: PushRequest): Effect.Effect<PushReply> {
    return Effect.gen(this, function* () {
      const {changesJson, forwardToInstanceIds} = request;
      const isValid =
        changesJson.length <= maxChangesPerMessage &&
        forwardToInstanceIds.length <= maxForwardIdsPerMessage &&
        forwardToInstanceIds.every(id => instanceIdPattern.test(id));
      if (isValid) {
        this.adopter.adoptReceivedChanges(changesJson, 'pushed');
        const forwardTo = forwardToInstanceIds.filter(id => id !== this.options.self.id);
        if (forwardTo.length > 0) {
          // Runs in the background, so that the sender does not wait for the rest of the tree.
          const forward = this.distributor.pushThroughTree(changesJson, forwardTo);
          yield* Effect.forkIn(forward, this.scope);
        }
      } else {
        this.adopter.countInvalid('push');
      }
      return create(PushReplySchema, {configVersion: BigInt(this.adopter.state.version())});
    });
  }

  /** Answers a peer that asks for everything after its version. */
  receivePull(request: PullRequest): PullReply {
    const {state} = this.adopter;
    const configVersion = BigInt(state.version());
    if (request.haveVersion >= configVersion) return create(PullReplySchema, {configVersion});
    const changes = state.changesAfter(Number(request.haveVersion));
    if (changes !== undefined) {
      const changesJson = [...changesForOneMessage(changes)];
      return create(PullReplySchema, {configVersion, changesJson});
    }
    const snapshot = state.encodedSnapshot();
    const laterChanges = state.changesAfter(snapshot.version) ?? [];
    return create(PullReplySchema, {
      configVersion,
      configurationJson: snapshot.json,
      changesJson: laterChanges.map(encoded => encoded.json),
    });
  }

  private loadAndWatch(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const {members, self, random} = this.options;
      const peers = randomPeers(members(), self.id, this.settings.peersAskedAtStart, random);
      const fromStore = this.logReader
        .readAtStart()
        .pipe(Effect.timeoutOption(Duration.millis(this.settings.startTimeoutMs)));
      const fromPeers = peers.map(peer => this.compareWith(peer, 'start'));
      yield* Effect.all([fromStore, ...fromPeers], {concurrency: 'unbounded', discard: true});
      yield* this.logReader.runWatch();
    });
  }

  private runComparisons(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const {members, self, random} = this.options;
      yield* sleepMs(random.next() * this.settings.comparisonIntervalMs);
      for (;;) {
        const peers = randomPeers(members(), self.id, maxPeersPerComparison, random);
        for (const peer of peers) {
          if (yield* this.compareWith(peer, 'compared')) break;
        }
        // An instance without a configuration cannot serve requests, so it asks more often.
        const intervalMs = this.settings.comparisonIntervalMs / (this.isReady() ? 1 : 4);
        yield* sleepMs(intervalMs * (0.9 + 0.2 * random.next()));
      }
    });
  }

  /** Compares versions with a peer and adopts or pushes what is missing; returns whether the peer answered. */
  private compareWith(peer: Member, origin: ChangeOrigin): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const {state} = this.adopter;
      const request = create(PullRequestSchema, {haveVersion: BigInt(state.version())});
      const result = yield* this.options.transport
        .pull(peer.instance, request)
        .pipe(Effect.timeoutOption(Duration.millis(this.settings.peerTimeoutMs)), Effect.either);
      const reply = Either.isRight(result) ? Option.getOrUndefined(result.right) : undefined;
      if (reply === undefined) return false;
      const peerVersion = Number(reply.configVersion);
      if (peerVersion > state.version()) this.adopter.adoptPullReply(reply, origin);
      else if (peerVersion < state.version()) {
        yield* this.distributor.pushMissing(peer, peerVersion);
      }
      return true;
    });
  }

  private requestForwarding(origin: ChangeOrigin): void {
    if (origin === 'start') {
      this.forwardedVersion = this.adopter.state.version();
      return;
    }
    this.originsToForward.add(origin);
    Queue.unsafeOffer(this.forwardSignals, undefined);
  }

  private runForwarding(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      for (;;) {
        yield* Queue.take(this.forwardSignals);
        const origins = new Set(this.originsToForward);
        this.originsToForward.clear();
        const changes = this.adopter.state.changesAfter(this.forwardedVersion) ?? [];
        this.forwardedVersion = this.adopter.state.version();
        if (changes.length > 0) yield* this.forwardChanges(changesForOneMessage(changes), origins);
      }
    });
  }

  /**
   * Forwards adopted changes. A watcher pushes changes of any origin to its region, so they spread even while the
   * store is unavailable. Any instance pushes changes submitted to it to the watchers of all regions. An instance that
   * is not a watcher also pushes changes that it found by comparison to the watchers of its region. Changes that were
   * pushed to it need no more than that, because the push lists the members to forward them to.
   */
  private forwardChanges(
    changesJson: readonly Uint8Array[],
    origins: ReadonlySet<ChangeOrigin>,
  ): Effect.Effect<void> {
    const {members, self} = this.options;
    const count = this.settings.watchersPerRegion;
    const pushes: Effect.Effect<void>[] = [];
    if (origins.has('submitted')) {
      pushes.push(this.distributor.pushToMembers(changesJson, allWatchers(members(), count)));
    }
    if (isWatcher(members(), self, count)) {
      pushes.push(this.distributor.pushToRegion(changesJson));
    } else if (origins.has('compared')) {
      const watchers = watchersOfRegion(members(), self.regionId, count);
      pushes.push(this.distributor.pushToMembers(changesJson, watchers));
    }
    return Effect.all(pushes, {concurrency: 'unbounded', discard: true});
  }
}
