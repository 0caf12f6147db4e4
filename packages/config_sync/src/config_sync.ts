/**
 * The configuration in force and how it is kept up: one fiber reads the store, one compares versions with random
 * peers, one passes adopted changes on, and one writes checkpoints.
 */
import {create} from '@bufbuild/protobuf';
import type {PullReply, PullRequest, PushReply, PushRequest} from '@cuminsill/protocol';
import {PullReplySchema, PullRequestSchema, PushReplySchema} from '@cuminsill/protocol';
import type {Configuration, ConfigurationChange, Member} from '@cuminsill/types';
import type {Scope} from 'effect';
import {Duration, Effect, Either, Option, Queue} from 'effect';
import type {ChangeOrigin} from './adoption';
import {Adoption, maxReceivedChanges} from './adoption';
import {sleepMs} from './backoff';
import {CheckpointWriter} from './checkpoint_writer';
import {ConfigLog} from './config_log';
import {Distribution, withinMessage} from './distribution';
import type {SubmitError} from './errors';
import {allWatchers, isWatcher, randomPeers, watchersOf} from './members_by_role';
import type {ConfigListener, ConfigSyncOptions, ConfigSyncSettings, SubmitResult} from './options';
import {defaultConfigSyncSettings} from './options';
import {StoreReader} from './store_reader';
import {Submission} from './submission';

/** Members named in one message at most. */
const maxForwardIds = 4_096;

/** Peers tried per comparison; with one, 36% of lost calls left one of 1,000 instances behind for over 10 s. */
const comparisonTries = 3;

const instanceIdPattern = /^[a-z0-9][a-z0-9.-]{0,63}$/;

/** Keeps the configuration in force. */
export class ConfigSync {
  private readonly adoption: Adoption;
  private readonly log: ConfigLog;
  private readonly distribution: Distribution;
  private readonly reader: StoreReader;
  private readonly checkpoints: CheckpointWriter;
  private readonly submission: Submission;
  /** Version up to which this instance has passed changes on or left that to others. */
  private passedOn = 0;
  private readonly originsToPassOn = new Set<ChangeOrigin>();

  private constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly scope: Scope.Scope,
    private readonly toPassOn: Queue.Queue<void>,
  ) {
    this.adoption = new Adoption(options, settings, origin => this.requestPassOn(origin));
    this.log = new ConfigLog(options.store, options.time);
    this.distribution = new Distribution(options, settings, this.adoption.state);
    const {log, adoption} = this;
    this.reader = new StoreReader(options, settings, log, adoption);
    this.checkpoints = new CheckpointWriter(options, settings, log, adoption, this.reader);
    this.submission = new Submission(options, settings, log, adoption, this.reader);
  }

  /** Starts with an empty configuration and loads the newest one; see {@link ConfigSync.awaitReady}. */
  static start(options: ConfigSyncOptions): Effect.Effect<ConfigSync, never, Scope.Scope> {
    return Effect.gen(function* () {
      const scope = yield* Effect.scope;
      // One pending signal covers all changes adopted before it is taken.
      const toPassOn = yield* Queue.dropping<void>(1);
      const settings = {...defaultConfigSyncSettings, ...options.settings};
      const sync = new ConfigSync(options, settings, scope, toPassOn);
      yield* Effect.forkScoped(sync.loadThenWatch());
      yield* Effect.forkScoped(sync.compareForever());
      yield* Effect.forkScoped(sync.passOnForever());
      yield* Effect.forkScoped(sync.checkpoints.writeForever());
      return sync;
    });
  }

  /** The configuration in force. */
  current(): Configuration {
    return this.adoption.state.current();
  }

  /** Version that a confirmed plan led to; undefined when the plan is not among the last 1,024. */
  planVersion(planDigest: string): number | undefined {
    return this.adoption.state.planVersion(planDigest);
  }

  /** True once the configuration was loaded from the store, or from a peer that has one. */
  isReady(): boolean {
    return this.adoption.isReady();
  }

  /** Waits until {@link ConfigSync.isReady}. */
  awaitReady(): Effect.Effect<void> {
    return this.adoption.awaitReady();
  }

  /** Milliseconds since the store last answered this instance; undefined when it never did. */
  storeContactAgeMs(): number | undefined {
    return this.log.readAgeMs();
  }

  /** Received messages and changes that were ignored because they were invalid. */
  invalidParts(): number {
    return this.adoption.invalidParts;
  }

  /** Calls the listener with each configuration adopted; returns a function that ends this. */
  onAdopt(listener: ConfigListener): () => void {
    return this.adoption.onAdopt(listener);
  }

  /**
   * Appends a change, adopts it and hands it out. The change's version must be the one after the version in
   * force. A change whose plan was stored before returns the result of that.
   */
  submit(change: ConfigurationChange): Effect.Effect<SubmitResult, SubmitError> {
    return Effect.gen(this, function* () {
      const version = yield* this.submission.store(change);
      const held = yield* this.distribution.acknowledge(version);
      return {version, state: held ? ('accepted' as const) : ('stored' as const)};
    });
  }

  /** Handles changes that a peer hands over, and passes them on to the members that it names. */
  receivePush(request: PushRequest): Effect.Effect<PushReply> {
    return Effect.gen(this, function* () {
      const {changesJson, forwardToInstanceIds} = request;
      const valid =
        changesJson.length <= maxReceivedChanges &&
        forwardToInstanceIds.length <= maxForwardIds &&
        forwardToInstanceIds.every(id => instanceIdPattern.test(id));
      if (valid) {
        this.adoption.adoptReceived(changesJson, 'pushed');
        const forwardTo = forwardToInstanceIds.filter(id => id !== this.options.self.id);
        if (forwardTo.length > 0) {
          // The sender does not wait for the rest of the tree.
          const forward = this.distribution.pushToGroups(changesJson, forwardTo);
          yield* Effect.forkIn(forward, this.scope);
        }
      } else {
        this.adoption.countInvalid('push');
      }
      return create(PushReplySchema, {configVersion: BigInt(this.adoption.state.version())});
    });
  }

  /** Answers a peer that asks for what is above its version. */
  receivePull(request: PullRequest): PullReply {
    const {state} = this.adoption;
    const configVersion = BigInt(state.version());
    if (request.haveVersion >= configVersion) return create(PullReplySchema, {configVersion});
    const changes = state.changesAfter(Number(request.haveVersion));
    if (changes !== undefined) {
      const changesJson = [...withinMessage(changes)];
      return create(PullReplySchema, {configVersion, changesJson});
    }
    const snapshot = state.encodedSnapshot();
    const later = state.changesAfter(snapshot.version) ?? [];
    return create(PullReplySchema, {
      configVersion,
      configurationJson: snapshot.json,
      changesJson: later.map(encoded => encoded.json),
    });
  }

  private loadThenWatch(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const {members, self, random} = this.options;
      const peers = randomPeers(members(), self.id, this.settings.startPeers, random);
      const fromStore = this.reader
        .readAtStart()
        .pipe(Effect.timeoutOption(Duration.millis(this.settings.startTimeoutMs)));
      const fromPeers = peers.map(peer => this.compareWith(peer, 'start'));
      yield* Effect.all([fromStore, ...fromPeers], {concurrency: 'unbounded', discard: true});
      yield* this.reader.watchForever();
    });
  }

  private compareForever(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const {members, self, random} = this.options;
      yield* sleepMs(random.next() * this.settings.compareIntervalMs);
      for (;;) {
        const peers = randomPeers(members(), self.id, comparisonTries, random);
        for (const peer of peers) {
          if (yield* this.compareWith(peer, 'compared')) break;
        }
        // Without a configuration this instance serves nobody, so it asks more often.
        const intervalMs = this.settings.compareIntervalMs / (this.isReady() ? 1 : 4);
        yield* sleepMs(intervalMs * (0.9 + 0.2 * random.next()));
      }
    });
  }

  /** Compares versions with a peer and takes up or hands over what is missing; returns whether the peer answered. */
  private compareWith(peer: Member, origin: ChangeOrigin): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const {state} = this.adoption;
      const request = create(PullRequestSchema, {haveVersion: BigInt(state.version())});
      const result = yield* this.options.transport
        .pull(peer.instance, request)
        .pipe(Effect.timeoutOption(Duration.millis(this.settings.peerTimeoutMs)), Effect.either);
      const reply = Either.isRight(result) ? Option.getOrUndefined(result.right) : undefined;
      if (reply === undefined) return false;
      const peerVersion = Number(reply.configVersion);
      if (peerVersion > state.version()) this.adoption.adoptReply(reply, origin);
      else if (peerVersion < state.version()) {
        yield* this.distribution.pushMissing(peer, peerVersion);
      }
      return true;
    });
  }

  private requestPassOn(origin: ChangeOrigin): void {
    if (origin === 'start') {
      this.passedOn = this.adoption.state.version();
      return;
    }
    this.originsToPassOn.add(origin);
    Queue.unsafeOffer(this.toPassOn, undefined);
  }

  private passOnForever(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      for (;;) {
        yield* Queue.take(this.toPassOn);
        const origins = new Set(this.originsToPassOn);
        this.originsToPassOn.clear();
        const changes = this.adoption.state.changesAfter(this.passedOn) ?? [];
        this.passedOn = this.adoption.state.version();
        if (changes.length > 0) yield* this.passOn(withinMessage(changes), origins);
      }
    });
  }

  /**
   * A watcher hands changes to its region wherever they come from, so they also spread while the store is down.
   * Another instance tells the watchers of all regions of its own changes, and those of its region of what it
   * found by comparison; what was pushed to it, its sender passes on by the list in the message.
   */
  private passOn(
    changesJson: readonly Uint8Array[],
    origins: ReadonlySet<ChangeOrigin>,
  ): Effect.Effect<void> {
    const {members, self} = this.options;
    const count = this.settings.watchersPerRegion;
    const work: Effect.Effect<void>[] = [];
    if (origins.has('submitted')) {
      work.push(this.distribution.pushToEach(changesJson, allWatchers(members(), count)));
    }
    if (isWatcher(members(), self, count)) {
      work.push(this.distribution.pushToRegion(changesJson));
    } else if (origins.has('compared')) {
      const watchers = watchersOf(members(), self.regionId, count);
      work.push(this.distribution.pushToEach(changesJson, watchers));
    }
    return Effect.all(work, {concurrency: 'unbounded', discard: true});
  }
}
