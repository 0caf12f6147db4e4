/** The configuration log and its checkpoint in the store, in terms of changes and snapshots. */
import type {
  AppendError,
  LogCheckpoint,
  LogRecord,
  PlatformStore,
  StoreWriteError,
} from '@cuminsill/store';
import {minTrimAgeMs, StoreLog, StoreUnavailableError} from '@cuminsill/store';
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import {LargeValues} from './large_value';
import type {DecodedSnapshot, EncodedChange, EncodedSnapshot} from './snapshot_state';
import {decodeChange, decodeSnapshot} from './snapshot_state';

/** Key prefix of the log, its checkpoint and the parts of large values. */
const configPrefix = 'config';

/** Added to the time that records are kept, because readers may have started just before a replacement. */
const trimMarginMs = 60_000;

/**
 * Time without a read after which records are not trusted before the checkpoint is read, because the positions
 * may have been trimmed and written again by a writer that was paused. Far below the age of trimmed records.
 */
const trustedReadMs = 600_000;

interface SeenCheckpoint {
  readonly position: number;
  readonly monotonicMs: number;
}

/** Records read, or the news that a checkpoint has replaced some of them. */
export type LogRead =
  {readonly kind: 'changes'; readonly changes: readonly EncodedChange[]} | {readonly kind: 'gap'};

/** Reads and writes the configuration in the store. */
export class ConfigLog {
  private readonly log: StoreLog;
  private readonly values: LargeValues;
  private checkpoint: LogCheckpoint | undefined;
  private checkpointKnown = false;
  private seen: SeenCheckpoint[] = [];
  private readAt: {readonly wallMs: number; readonly monotonicMs: number} | undefined;

  constructor(
    store: PlatformStore,
    private readonly time: TimeSource,
  ) {
    this.log = new StoreLog(store, configPrefix, time);
    this.values = new LargeValues(store, `${configPrefix}/parts/`);
  }

  /** Position of the checkpoint as last read or written; undefined when it was not read yet. */
  checkpointPosition(): number | undefined {
    return this.checkpointKnown ? (this.checkpoint?.position ?? 0) : undefined;
  }

  /** Milliseconds since the store last answered a read; undefined when it never did. */
  readAgeMs(): number | undefined {
    return this.readAt === undefined
      ? undefined
      : this.time.monotonicMs() - this.readAt.monotonicMs;
  }

  /** True when records must not be used before the checkpoint is read. */
  needsCheckpoint(): boolean {
    if (this.readAt === undefined) return true;
    return (
      this.time.monotonicMs() - this.readAt.monotonicMs > trustedReadMs ||
      Math.abs(this.time.nowMs() - this.readAt.wallMs) > trustedReadMs
    );
  }

  /** Prepares the bytes of a record; a large change is stored in parts at this point. */
  prepare(encoded: EncodedChange): Effect.Effect<Uint8Array, StoreWriteError> {
    return this.values.write(encoded.change.version, encoded.json);
  }

  /** Appends prepared bytes; see {@link StoreLog.append}. */
  append(version: number, body: Uint8Array, nonce: string): Effect.Effect<void, AppendError> {
    return this.log.append(version, body, nonce).pipe(Effect.asVoid);
  }

  /** Reads the changes after a version. */
  readAfter(version: number): Effect.Effect<LogRead, StoreUnavailableError> {
    return this.log
      .readAfter(version)
      .pipe(Effect.flatMap(records => this.decodeRecords(version, records)));
  }

  /** Waits for changes after a version. One store call. A process that was paused meanwhile reads a gap. */
  watchAfter(version: number, waitMs: number): Effect.Effect<LogRead, StoreUnavailableError> {
    return this.log
      .watchAfter(version, waitMs)
      .pipe(
        Effect.flatMap(records =>
          this.needsCheckpoint()
            ? Effect.succeed<LogRead>({kind: 'gap'})
            : this.decodeRecords(version, records),
        ),
      );
  }

  /** Reads the checkpoint if it is above a version; undefined when it is not, or when there is none. */
  readCheckpointAbove(
    version: number,
  ): Effect.Effect<DecodedSnapshot | undefined, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const checkpoint = yield* this.log.readCheckpoint();
      this.setCheckpoint(checkpoint);
      this.markRead();
      if (checkpoint === undefined || checkpoint.position <= version) return undefined;
      const json = yield* this.values.read(checkpoint.state);
      const snapshot = yield* decodeStored(() => decodeSnapshot(json));
      if (snapshot.configuration.version !== checkpoint.position) {
        return yield* new StoreUnavailableError({detail: 'the checkpoint has another version'});
      }
      return snapshot;
    });
  }

  /**
   * Replaces the checkpoint, then removes records and parts that a checkpoint has covered for an hour by this
   * process's monotonic clock. Fails with StoreConflictError when another instance replaced it first.
   */
  writeCheckpoint(snapshot: EncodedSnapshot): Effect.Effect<void, StoreWriteError> {
    return Effect.gen(this, function* () {
      const state = yield* this.values.write(snapshot.version, snapshot.json);
      const written = yield* this.log.writeCheckpoint(snapshot.version, state, this.checkpoint);
      this.setCheckpoint(written);
      yield* this.trim();
    });
  }

  /** Forgets the checkpoint as last read, after another instance replaced it. */
  forgetCheckpoint(): void {
    this.checkpointKnown = false;
  }

  private trim(): Effect.Effect<void, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const limitMs = this.time.monotonicMs() - minTrimAgeMs - trimMarginMs;
      const covered = this.seen.filter(entry => entry.monotonicMs <= limitMs).at(-1);
      if (covered === undefined) return;
      while ((yield* this.log.trimThrough(covered.position)) > 0);
      yield* this.values.removeParts(covered.position, this.checkpoint?.state);
      this.seen = this.seen.filter(entry => entry.position > covered.position);
    });
  }

  private setCheckpoint(checkpoint: LogCheckpoint | undefined): void {
    this.checkpoint = checkpoint;
    this.checkpointKnown = true;
    if (checkpoint === undefined) return;
    const {position} = checkpoint;
    if ((this.seen.at(-1)?.position ?? 0) >= position) return;
    this.seen.push({position, monotonicMs: this.time.monotonicMs()});
  }

  private decodeRecords(
    version: number,
    records: readonly LogRecord[],
  ): Effect.Effect<LogRead, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      this.markRead();
      const first = records[0];
      if (first !== undefined && first.position !== version + 1) return {kind: 'gap' as const};
      const changes: EncodedChange[] = [];
      for (const record of records) {
        const json = yield* this.values.read(record.body);
        const encoded = yield* decodeStored(() => decodeChange(json));
        if (encoded.change.version !== record.position) {
          const detail = `record ${record.position} holds version ${encoded.change.version}`;
          return yield* new StoreUnavailableError({detail});
        }
        changes.push(encoded);
      }
      return {kind: 'changes' as const, changes};
    });
  }

  private markRead(): void {
    this.readAt = {wallMs: this.time.nowMs(), monotonicMs: this.time.monotonicMs()};
  }
}

function decodeStored<A>(decode: () => A): Effect.Effect<A, StoreUnavailableError> {
  return Effect.try({
    try: decode,
    catch: error => new StoreUnavailableError({detail: String(error)}),
  });
}
