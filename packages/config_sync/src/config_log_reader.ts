/** Reads the configuration log at the start, and watches it while this instance is a watcher of its region. */
import {StoreUnavailableError} from '@cuminsill/store';
import {Effect, Either} from 'effect';
import type {ChangeOrigin, ConfigAdopter} from './config_adopter';
import {backoffMs, sleepMs} from './backoff';
import type {ConfigLog} from './config_log';
import {isWatcher} from './members_by_role';
import type {ConfigSyncOptions, ConfigSyncSettings} from './options';

/** Interval at which an instance that is not a watcher checks whether it has become one. */
const watcherCheckIntervalMs = 1_000;

/** Reads the configuration log and its checkpoint and adopts what they hold. */
export class ConfigLogReader {
  private failures = 0;

  constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly configLog: ConfigLog,
    private readonly adopter: ConfigAdopter,
  ) {}

  /** Reads and adopts everything newer than the version in force. */
  catchUp(origin: ChangeOrigin): Effect.Effect<void, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      if (this.adopter.state.version() === 0 || this.configLog.needsCheckpoint()) {
        yield* this.adoptCheckpoint();
      }
      let read = yield* this.configLog.readAfter(this.adopter.state.version());
      if (read.kind === 'gap') {
        // Records that this instance needs were trimmed, so it needs the checkpoint that covers them.
        yield* this.adoptCheckpoint();
        read = yield* this.configLog.readAfter(this.adopter.state.version());
      }
      if (read.kind === 'changes') this.adopter.adoptChanges(read.changes, origin);
      this.adopter.markReady();
    });
  }

  /** Reads the checkpoint and adopts it if it is newer than the version in force. */
  adoptCheckpoint(): Effect.Effect<void, StoreUnavailableError> {
    return this.configLog.readNewerCheckpoint(this.adopter.state.version()).pipe(
      Effect.map(snapshot => {
        if (snapshot !== undefined) this.adopter.adoptSnapshot(snapshot);
      }),
    );
  }

  /** Reads the log once at the start. After a failure the configuration arrives from watchers or by comparison. */
  readAtStart(): Effect.Effect<void> {
    return this.countFailures(this.catchUp('start'));
  }

  /** Watches the log while this instance is a watcher; never ends. */
  runWatch(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      for (;;) {
        if (this.failures > 0) yield* sleepMs(this.nextBackoffMs());
        if (!this.isWatcher()) {
          this.failures = 0;
          yield* sleepMs(watcherCheckIntervalMs);
          continue;
        }
        const mustCatchUp = this.failures > 0 || this.configLog.needsCheckpoint();
        yield* this.countFailures(mustCatchUp ? this.catchUp('store') : this.watchOnce());
      }
    });
  }

  private watchOnce(): Effect.Effect<void, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const version = this.adopter.state.version();
      const read = yield* this.configLog.watchAfter(version, this.settings.watchTimeoutMs);
      if (read.kind === 'gap') return yield* this.catchUp('store');
      this.adopter.adoptChanges(read.changes, 'store');
      const isStuck = read.changes.length > 0 && this.adopter.state.version() === version;
      // Without this failure and its backoff, the loop would read the same records again immediately.
      if (isStuck) return yield* new StoreUnavailableError({detail: 'a record cannot be applied'});
    });
  }

  private isWatcher(): boolean {
    const {members, self} = this.options;
    return isWatcher(members(), self, this.settings.watchersPerRegion);
  }

  private nextBackoffMs(): number {
    const {storeBackoffMinMs: minMs, storeBackoffMaxMs: maxMs} = this.settings;
    return backoffMs(this.failures, {minMs, maxMs}, this.options.random);
  }

  private countFailures(call: Effect.Effect<void, StoreUnavailableError>): Effect.Effect<void> {
    return Effect.either(call).pipe(
      Effect.map(result => {
        if (Either.isRight(result)) {
          this.failures = 0;
          return;
        }
        this.failures += 1;
        if (this.failures > 1) return;
        this.options.logger.stateChange(
          'warn',
          {component: 'config_sync', state: 'store-unavailable', reason: result.left.message},
          'the configuration log cannot be read',
        );
      }),
    );
  }
}
