/**
 * An append-only log in the platform store. Each record is an object whose key ends with its position, and is written
 * with `create` only, so exactly one of two writers at the same position succeeds. The position thus fences writers,
 * without clocks or leases. Each record holds a nonce of its append: after an ambiguous answer, the writer reads the
 * position back and compares the nonces, so a lost answer never leads to a second append.
 */
import {randomUUID} from 'node:crypto';
import type {TimeSource} from '@cuminsill/utils';
import {Data, Effect} from 'effect';
import type {
  PlatformStore,
  StoredObject,
  StoreUnavailableError,
  StoreWriteError,
} from './platform_store';
import {StoreAmbiguousError} from './platform_store';

/** One record of a log. */
export interface LogRecord {
  /** Position in the log, from 1. */
  readonly position: number;
  /** Identifies the append that wrote the record. */
  readonly nonce: string;
  readonly body: Uint8Array;
}

/** The state after all records up to a position, so that readers need not replay the log from its start. */
export interface LogCheckpoint {
  readonly position: number;
  readonly state: Uint8Array;
  /** Version of the checkpoint object in the store. */
  readonly storeVersion: bigint;
}

/** Another writer has already appended at this position. */
export class LogPositionTakenError extends Data.TaggedError('LogPositionTakenError')<{
  readonly position: number;
}> {
  override get message(): string {
    return `position ${this.position} of the log is taken by another writer`;
  }
}

/** Errors of an append. */
export type AppendError = LogPositionTakenError | StoreUnavailableError | StoreAmbiguousError;

/** Minimum time that records are kept after a checkpoint covers them, in milliseconds. */
export const minTrimAgeMs = 3_600_000;

/**
 * A writer that was paused for long could recreate a position that has been trimmed in the meantime. After a pause
 * longer than this, in milliseconds, it therefore compares its append with the checkpoint. Far below `minTrimAgeMs`.
 */
const maxTrustedPauseMs = 600_000;

const positionDigits = 12;
const nonceBytes = 36;
const recordsPerPage = 200;

/** Reads and appends to one log. Writers coordinate only through the store. */
export class StoreLog {
  /** When this writer last read from the log or appended to it. */
  private verifiedAt: ClockReading;

  /**
   * @param prefix Key prefix of the log, without a trailing slash. Records are stored at `<prefix>/log/<position>`, the
   *   checkpoint at `<prefix>/checkpoint`.
   */
  constructor(
    private readonly store: PlatformStore,
    private readonly prefix: string,
    private readonly time: TimeSource,
  ) {
    this.verifiedAt = readClocks(time);
  }

  /**
   * Appends at exactly the given position.
   *
   * Fails with LogPositionTakenError when another writer was first, with StoreUnavailableError when nothing was
   * written, and with StoreAmbiguousError when it cannot be determined now whether the record was written.
   * @param nonce Identifies this append; a retry after an ambiguous answer must use the same nonce.
   */
  append(
    position: number,
    body: Uint8Array,
    nonce: string = randomUUID(),
  ): Effect.Effect<LogRecord, AppendError> {
    const key = this.keyOf(position);
    const record: LogRecord = {position, nonce, body};
    return this.store.create(key, encodeRecord(nonce, body)).pipe(
      Effect.as(record),
      Effect.catchTags({
        StoreConflictError: () => this.resolveAppend(record),
        StoreAmbiguousError: () => this.resolveAppend(record),
      }),
      Effect.tap(() => this.failIfTrimmed(position)),
      Effect.tap(() => Effect.sync(() => this.markVerified())),
    );
  }

  /** Reads the checkpoint; undefined when there is none yet. */
  readCheckpoint(): Effect.Effect<LogCheckpoint | undefined, StoreUnavailableError> {
    return this.store.get(this.checkpointKey()).pipe(
      Effect.map(found => (found === undefined ? undefined : decodeCheckpoint(found))),
      Effect.tap(() => Effect.sync(() => this.markVerified())),
    );
  }

  /**
   * Replaces the checkpoint by the state after the records up to and including `position`. Fails with
   * StoreConflictError when another writer replaced it first; this is harmless, because the log still holds the records.
   * @param previous The checkpoint that was last read; undefined when there was none.
   */
  writeCheckpoint(
    position: number,
    state: Uint8Array,
    previous: LogCheckpoint | undefined,
  ): Effect.Effect<LogCheckpoint, StoreWriteError> {
    const value = encodeCheckpoint(position, state);
    const written =
      previous === undefined
        ? this.store.create(this.checkpointKey(), value)
        : this.store.update(this.checkpointKey(), value, previous.storeVersion);
    return written.pipe(Effect.map(storeVersion => ({position, state, storeVersion})));
  }

  /** Reads all records after the given position, in order. */
  readAfter(position: number): Effect.Effect<readonly LogRecord[], StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const records: LogRecord[] = [];
      let afterKey = this.keyOf(position);
      for (;;) {
        const page = yield* this.store.list(this.logPrefix(), afterKey, recordsPerPage);
        records.push(...page.map(object => this.decodeRecord(object)));
        const last = page.at(-1);
        if (last === undefined || page.length < recordsPerPage) break;
        afterKey = last.key;
      }
      this.markVerified();
      return records;
    });
  }

  /** Waits up to `waitMs` milliseconds for records after the given position. Counts as one call of the store. */
  watchAfter(
    position: number,
    waitMs: number,
  ): Effect.Effect<readonly LogRecord[], StoreUnavailableError> {
    return this.store
      .watch(this.logPrefix(), this.keyOf(position), waitMs)
      .pipe(Effect.map(objects => objects.map(object => this.decodeRecord(object))));
  }

  /**
   * Removes the oldest records up to and including a position, at most one page of them; returns how many. The caller
   * must pass a position that a checkpoint has covered for at least {@link minTrimAgeMs}.
   */
  trimThrough(position: number): Effect.Effect<number, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const page = yield* this.store.list(this.logPrefix(), this.keyOf(0), recordsPerPage);
      const coveredObjects = page.filter(object => this.decodeRecord(object).position <= position);
      for (const object of coveredObjects) {
        // Ignored: another instance removed the record first, or the removal is ambiguous and the next trim retries it.
        yield* this.store.remove(object.key, object.version).pipe(
          Effect.catchTags({
            StoreConflictError: () => Effect.void,
            StoreAmbiguousError: () => Effect.void,
          }),
        );
      }
      return coveredObjects.length;
    });
  }

  private resolveAppend(record: LogRecord): Effect.Effect<LogRecord, AppendError> {
    return this.store.get(this.keyOf(record.position)).pipe(
      Effect.mapError(
        error =>
          new StoreAmbiguousError({detail: `append at ${record.position}: ${error.message}`}),
      ),
      Effect.flatMap((found): Effect.Effect<LogRecord, AppendError> => {
        if (found === undefined) {
          return Effect.fail(
            // A delayed write may still take effect, so the caller must retry at the same position.
            new StoreAmbiguousError({detail: `append at ${record.position} is not visible`}),
          );
        }
        return this.decodeRecord(found).nonce === record.nonce
          ? Effect.succeed(record)
          : Effect.fail(new LogPositionTakenError({position: record.position}));
      }),
    );
  }

  private failIfTrimmed(position: number): Effect.Effect<void, AppendError> {
    if (!this.wasPausedTooLong()) return Effect.void;
    return this.readCheckpoint().pipe(
      Effect.mapError(error => new StoreAmbiguousError({detail: error.message})),
      Effect.flatMap(checkpoint =>
        checkpoint !== undefined && position <= checkpoint.position
          ? Effect.fail(new LogPositionTakenError({position}))
          : Effect.void,
      ),
    );
  }

  private wasPausedTooLong(): boolean {
    const now = readClocks(this.time);
    // Both clocks are compared: the monotonic one may stop while a machine is suspended, the wall clock may be set back.
    return (
      now.monotonicMs - this.verifiedAt.monotonicMs > maxTrustedPauseMs ||
      Math.abs(now.wallMs - this.verifiedAt.wallMs) > maxTrustedPauseMs
    );
  }

  private markVerified(): void {
    this.verifiedAt = readClocks(this.time);
  }

  private logPrefix(): string {
    return `${this.prefix}/log/`;
  }

  private checkpointKey(): string {
    return `${this.prefix}/checkpoint`;
  }

  private keyOf(position: number): string {
    return `${this.logPrefix()}${String(position).padStart(positionDigits, '0')}`;
  }

  private decodeRecord(object: StoredObject): LogRecord {
    return {
      position: Number(object.key.slice(this.logPrefix().length)),
      nonce: Buffer.from(object.value.subarray(0, nonceBytes)).toString('latin1').trimEnd(),
      body: object.value.subarray(nonceBytes),
    };
  }
}

interface ClockReading {
  readonly wallMs: number;
  readonly monotonicMs: number;
}

function readClocks(time: TimeSource): ClockReading {
  return {wallMs: time.nowMs(), monotonicMs: time.monotonicMs()};
}

function encodeCheckpoint(position: number, state: Uint8Array): Uint8Array {
  return Buffer.concat([Buffer.from(String(position).padStart(positionDigits, '0')), state]);
}

function decodeCheckpoint(object: StoredObject): LogCheckpoint {
  const position = Number(Buffer.from(object.value.subarray(0, positionDigits)).toString('latin1'));
  return {position, state: object.value.subarray(positionDigits), storeVersion: object.version};
}

function encodeRecord(nonce: string, body: Uint8Array): Uint8Array {
  return Buffer.concat([
    Buffer.from(nonce.padEnd(nonceBytes).slice(0, nonceBytes), 'latin1'),
    body,
  ]);
}
