/** Reads the log: at the start, and by watching it while this instance is a watcher of its region. */
import {StoreUnavailableError} from '@cuminsill/store';
import {Effect, Either} from 'effect';
import type {Adoption, ChangeOrigin} from './adoption';
import {backoffMs, sleepMs} from './backoff';
import type {ConfigLog} from './config_log';
import {isWatcher} from './members_by_role';
import type {ConfigSyncOptions, ConfigSyncSettings} from './options';

/** Interval at which an instance that does not watch checks whether it is a watcher now. */
const watcherCheckMs = 1_000;

/** Takes up what the store holds. */
export class StoreReader {
  private failures = 0;

  constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly log: ConfigLog,
    private readonly adoption: Adoption,
  ) {}

  /** Reads everything above the version in force. */
  catchUp(origin: ChangeOrigin): Effect.Effect<void, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      if (this.adoption.state.version() === 0 || this.log.needsCheckpoint()) {
        yield* this.adoptCheckpoint();
      }
      let read = yield* this.log.readAfter(this.adoption.state.version());
      if (read.kind === 'gap') {
        // A checkpoint has replaced records that this instance does not have.
        yield* this.adoptCheckpoint();
        read = yield* this.log.readAfter(this.adoption.state.version());
      }
      if (read.kind === 'changes') this.adoption.adopt(read.changes, origin);
      this.adoption.markReady();
    });
  }

  /** Reads the checkpoint and adopts it if it is above the version in force. */
  adoptCheckpoint(): Effect.Effect<void, StoreUnavailableError> {
    return this.log.readCheckpointAbove(this.adoption.state.version()).pipe(
      Effect.map(snapshot => {
        if (snapshot !== undefined) this.adoption.adoptSnapshot(snapshot);
      }),
    );
  }

  /** Reads once at the start; a failure is left to the watchers and to peers. */
  readAtStart(): Effect.Effect<void> {
    return this.counted(this.catchUp('start'));
  }

  /** Watches the log whenever this instance is a watcher. */
  watchForever(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      for (;;) {
        if (this.failures > 0) yield* sleepMs(this.backoffMs());
        if (!this.isWatcher()) {
          this.failures = 0;
          yield* sleepMs(watcherCheckMs);
          continue;
        }
        const mustCatchUp = this.failures > 0 || this.log.needsCheckpoint();
        yield* this.counted(mustCatchUp ? this.catchUp('store') : this.watchOnce());
      }
    });
  }

  private watchOnce(): Effect.Effect<void, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const version = this.adoption.state.version();
      const read = yield* this.log.watchAfter(version, this.settings.watchWaitMs);
      if (read.kind === 'gap') return yield* this.catchUp('store');
      this.adoption.adopt(read.changes, 'store');
      const stuck = read.changes.length > 0 && this.adoption.state.version() === version;
      // The same records would be returned at once, again and again.
      if (stuck) return yield* new StoreUnavailableError({detail: 'a record cannot be applied'});
    });
  }

  private isWatcher(): boolean {
    const {members, self} = this.options;
    return isWatcher(members(), self, this.settings.watchersPerRegion);
  }

  private backoffMs(): number {
    const {storeBackoffMinMs: minMs, storeBackoffMaxMs: maxMs} = this.settings;
    return backoffMs(this.failures, {minMs, maxMs}, this.options.random);
  }

  private counted(call: Effect.Effect<void, StoreUnavailableError>): Effect.Effect<void> {
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
