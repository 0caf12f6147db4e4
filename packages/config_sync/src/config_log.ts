/** The configuration log and its checkpoint in the platform store, encoded as changes and snapshots. */
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
import {LargeValueStore} from './large_value_store';
import type {DecodedSnapshot, EncodedChange, EncodedSnapshot} from './config_state';
import {decodeChange, decodeSnapshot} from './config_state';

/** Key prefix of the log, its checkpoint and the parts of large values. */
const configPrefix = 'config';

/** Added to the retention time of records, because a read may start just before a checkpoint is replaced. */
const trimMarginMs = 60_000;

/**
 * Maximum time since the last read for which records can be used without reading the checkpoint first. Later, their
 * positions may have been trimmed and then written again by a writer that was paused. Far below the age at which
 * records are trimmed.
 */
const maxReadAgeMs = 600_000;

interface SeenCheckpoint {
  readonly position: number;
  readonly seenAtMs: number;
}

/** The changes read, or `gap` when some of the records were trimmed because a checkpoint covers them. */
export type LogReadResult =
  {readonly kind: 'changes'; readonly changes: readonly EncodedChange[]} | {readonly kind: 'gap'};

/** Reads and writes the configuration in the store. */
export class ConfigLog {
  private readonly storeLog: StoreLog;
  private readonly largeValues: LargeValueStore;
  private checkpoint: LogCheckpoint | undefined;
  private isCheckpointKnown = false;
  private seenCheckpoints: SeenCheckpoint[] = [];
  private lastRead: {readonly wallMs: number; readonly monotonicMs: number} | undefined;

  constructor(
    store: PlatformStore,
    private readonly time: TimeSource,
  ) {
    this.storeLog = new StoreLog(store, configPrefix, time);
    this.largeValues = new LargeValueStore(store, `${configPrefix}/parts/`);
  }

  /** Position of the checkpoint as last read or written, 0 when there is none; undefined when it is not known. */
  checkpointPosition(): number | undefined {
    return this.isCheckpointKnown ? (this.checkpoint?.position ?? 0) : undefined;
  }

  /** Milliseconds since the store last answered a read; undefined when it never did. */
  lastReadAgeMs(): number | undefined {
    return this.lastRead === undefined
      ? undefined
      : this.time.monotonicMs() - this.lastRead.monotonicMs;
  }

  /** True when the checkpoint must be read before records can be used. */
  needsCheckpoint(): boolean {
    if (this.lastRead === undefined) return true;
    return (
      this.time.monotonicMs() - this.lastRead.monotonicMs > maxReadAgeMs ||
      Math.abs(this.time.nowMs() - this.lastRead.wallMs) > maxReadAgeMs
    );
  }

  /** Encodes a change as the body of a record. Writes the parts of a large change to the store. */
  prepareRecord(encoded: EncodedChange): Effect.Effect<Uint8Array, StoreWriteError> {
    return this.largeValues.write(encoded.change.version, encoded.json);
  }

  /** Appends a prepared record at the position `version`; see {@link StoreLog.append}. */
  append(version: number, body: Uint8Array, nonce: string): Effect.Effect<void, AppendError> {
    return this.storeLog.append(version, body, nonce).pipe(Effect.asVoid);
  }

  /** Reads the changes after a version. */
  readAfter(version: number): Effect.Effect<LogReadResult, StoreUnavailableError> {
    return this.storeLog
      .readAfter(version)
      .pipe(Effect.flatMap(records => this.decodeRecords(version, records)));
  }

  /**
   * Waits up to `waitMs` for changes after a version, in one store call. Returns a gap when this process was paused
   * during the call.
   */
  watchAfter(version: number, waitMs: number): Effect.Effect<LogReadResult, StoreUnavailableError> {
    return this.storeLog
      .watchAfter(version, waitMs)
      .pipe(
        Effect.flatMap(records =>
          this.needsCheckpoint()
            ? Effect.succeed<LogReadResult>({kind: 'gap'})
            : this.decodeRecords(version, records),
        ),
      );
  }

  /** Reads the checkpoint; returns undefined when there is none or when it is not newer than `version`. */
  readNewerCheckpoint(
    version: number,
  ): Effect.Effect<DecodedSnapshot | undefined, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const checkpoint = yield* this.storeLog.readCheckpoint();
      this.setCheckpoint(checkpoint);
      this.updateLastRead();
      if (checkpoint === undefined || checkpoint.position <= version) return undefined;
      const json = yield* this.largeValues.read(checkpoint.state);
      const snapshot = yield* decodeOrUnavailable(() => decodeSnapshot(json));
      if (snapshot.configuration.version !== checkpoint.position) {
        return yield* new StoreUnavailableError({
          detail: 'the checkpoint holds another version than its position',
        });
      }
      return snapshot;
    });
  }

  /**
   * Replaces the checkpoint, then removes the records and parts that a checkpoint has covered for an hour by this
   * process's monotonic clock. Fails with StoreConflictError when another instance replaced the checkpoint first.
   */
  writeCheckpoint(snapshot: EncodedSnapshot): Effect.Effect<void, StoreWriteError> {
    return Effect.gen(this, function* () {
      const state = yield* this.largeValues.write(snapshot.version, snapshot.json);
      const written = yield* this.storeLog.writeCheckpoint(
        snapshot.version,
        state,
        this.checkpoint,
      );
      this.setCheckpoint(written);
      yield* this.trimCovered();
    });
  }

  /** Discards the cached checkpoint position after another instance may have replaced the checkpoint. */
  forgetCheckpoint(): void {
    this.isCheckpointKnown = false;
  }

  private trimCovered(): Effect.Effect<void, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const coveredBeforeMs = this.time.monotonicMs() - minTrimAgeMs - trimMarginMs;
      const covered = this.seenCheckpoints
        .filter(entry => entry.seenAtMs <= coveredBeforeMs)
        .at(-1);
      if (covered === undefined) return;
      while ((yield* this.storeLog.trimThrough(covered.position)) > 0);
      yield* this.largeValues.removeUnreferencedParts(covered.position, this.checkpoint?.state);
      this.seenCheckpoints = this.seenCheckpoints.filter(
        entry => entry.position > covered.position,
      );
    });
  }

  private setCheckpoint(checkpoint: LogCheckpoint | undefined): void {
    this.checkpoint = checkpoint;
    this.isCheckpointKnown = true;
    if (checkpoint === undefined) return;
    const {position} = checkpoint;
    if ((this.seenCheckpoints.at(-1)?.position ?? 0) >= position) return;
    this.seenCheckpoints.push({position, seenAtMs: this.time.monotonicMs()});
  }

  private decodeRecords(
    version: number,
    records: readonly LogRecord[],
  ): Effect.Effect<LogReadResult, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      this.updateLastRead();
      const first = records[0];
      if (first !== undefined && first.position !== version + 1) return {kind: 'gap' as const};
      const changes: EncodedChange[] = [];
      for (const record of records) {
        const json = yield* this.largeValues.read(record.body);
        const encoded = yield* decodeOrUnavailable(() => decodeChange(json));
        if (encoded.change.version !== record.position) {
          const detail = `record ${record.position} holds version ${encoded.change.version}`;
          return yield* new StoreUnavailableError({detail});
        }
        changes.push(encoded);
      }
      return {kind: 'changes' as const, changes};
    });
  }

  private updateLastRead(): void {
    this.lastRead = {wallMs: this.time.nowMs(), monotonicMs: this.time.monotonicMs()};
  }
}

function decodeOrUnavailable<A>(decode: () => A): Effect.Effect<A, StoreUnavailableError> {
  return Effect.try({
    try: decode,
    catch: error => new StoreUnavailableError({detail: String(error)}),
  });
}
