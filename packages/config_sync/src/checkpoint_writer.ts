/** Writes checkpoints. One instance of the fleet does so; when two believe that they are it, one gets a conflict. */
import {Effect} from 'effect';
import type {Adoption} from './adoption';
import {sleepMs} from './backoff';
import type {ConfigLog} from './config_log';
import {checkpointOwner} from './members_by_role';
import type {ConfigSyncOptions, ConfigSyncSettings} from './options';
import type {StoreReader} from './store_reader';

/** Keeps the checkpoint less than `changesPerCheckpoint` changes behind, as long as the store answers. */
export class CheckpointWriter {
  constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly log: ConfigLog,
    private readonly adoption: Adoption,
    private readonly reader: StoreReader,
  ) {}

  /** Writes a checkpoint whenever one is due and this instance is the one to write it. */
  writeForever(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      for (;;) {
        yield* sleepMs(this.settings.checkpointIntervalMs);
        const owner = checkpointOwner(this.options.members());
        if (owner === this.options.self.id && this.isDue()) yield* this.write();
      }
    });
  }

  private isDue(): boolean {
    const behind = this.adoption.state.version() - (this.log.checkpointPosition() ?? 0);
    return behind >= this.settings.changesPerCheckpoint;
  }

  private write(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      if (this.log.checkpointPosition() === undefined) yield* this.reader.adoptCheckpoint();
      if (this.isDue()) yield* this.log.writeCheckpoint(this.adoption.state.encodeNow());
    }).pipe(
      Effect.catchAll(error =>
        // The log holds all records, so a missing checkpoint only costs time; it is tried again.
        Effect.sync(() => {
          if (error._tag !== 'StoreUnavailableError') this.log.forgetCheckpoint();
          this.options.metrics.count('config.checkpoint_failed', 1, {reason: error._tag});
        }),
      ),
    );
  }
}
