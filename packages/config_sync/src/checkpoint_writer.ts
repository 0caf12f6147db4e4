/**
 * Writes checkpoints. One instance of the fleet does this. If membership views differ and two instances write, the
 * conditional write of one of them fails with a conflict.
 */
import {Effect} from 'effect';
import type {ConfigAdopter} from './config_adopter';
import {sleepMs} from './backoff';
import type {ConfigLog} from './config_log';
import {checkpointWriterId} from './members_by_role';
import type {ConfigSyncOptions, ConfigSyncSettings} from './options';
import type {ConfigLogReader} from './config_log_reader';

/** Writes a checkpoint every `changesPerCheckpoint` changes, as long as the store answers. */
export class CheckpointWriter {
  constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly configLog: ConfigLog,
    private readonly adopter: ConfigAdopter,
    private readonly reader: ConfigLogReader,
  ) {}

  /** Writes a checkpoint whenever one is due and this instance is responsible for it; never ends. */
  run(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      for (;;) {
        yield* sleepMs(this.settings.checkpointIntervalMs);
        const writerId = checkpointWriterId(this.options.members());
        if (writerId === this.options.self.id && this.isDue()) yield* this.writeCheckpoint();
      }
    });
  }

  private isDue(): boolean {
    const changesSinceCheckpoint =
      this.adopter.state.version() - (this.configLog.checkpointPosition() ?? 0);
    return changesSinceCheckpoint >= this.settings.changesPerCheckpoint;
  }

  private writeCheckpoint(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      if (this.configLog.checkpointPosition() === undefined) yield* this.reader.adoptCheckpoint();
      if (this.isDue()) yield* this.configLog.writeCheckpoint(this.adopter.state.encodeCurrent());
    }).pipe(
      Effect.catchAll(error =>
        // The log still holds all records, so a failed checkpoint only makes reads longer. The next interval retries.
        Effect.sync(() => {
          if (error._tag !== 'StoreUnavailableError') this.configLog.forgetCheckpoint();
          this.options.metrics.count('config.checkpoint_failed', 1, {reason: error._tag});
        }),
      ),
    );
  }
}
