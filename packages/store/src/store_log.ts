/**
 * An append-only log in the platform's store. Record `n` is the object `<prefix>/<n>` and is written with
 * `create` only, so of two writers at one position exactly one succeeds: the position is the fence, and
 * no clock or lease takes part in safety. Each record carries its writer's nonce; after an ambiguous answer the
 * writer reads the position back and compares, so a lost answer never leads to a second append.
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
  readonly nonce: string;
  readonly body: Uint8Array;
}

/** The state up to a position, so that readers need not replay the log from its start. */
export interface LogCheckpoint {
  readonly position: number;
  readonly state: Uint8Array;
  /** Version of the checkpoint object in the store. */
  readonly storeVersion: bigint;
}

/** Another writer holds the position. */
export class LogPositionTakenError extends Data.TaggedError('LogPositionTakenError')<{
  readonly position: number;
}> {
  override get message(): string {
    return `position ${this.position} of the log is taken by another writer`;
  }
}

/** Errors of an append. */
export type AppendError = LogPositionTakenError | StoreUnavailableError | StoreAmbiguousError;

/** How long records are kept after a checkpoint covers them, in milliseconds. */
export const minTrimAgeMs = 3_600_000;

/**
 * A trimmed position could be created again. A writer that was paused for longer than this, in milliseconds,
 * therefore checks the checkpoint before it trusts its own append. Far below `minTrimAgeMs`.
 */
const trustedAppendMs = 600_000;

const positionDigits = 12;
const nonceBytes = 36;
const listPageRecords = 200;

/** Reads and appends one log. Instances share nothing but the store. */
export class StoreLog {
  private confirmedAt: ClockReading;

  /**
   * @param prefix Key prefix of the log, without a trailing slash. Records are at `<prefix>/log/<position>`, the
   *   checkpoint is at `<prefix>/checkpoint`.
   */
  constructor(
    private readonly store: PlatformStore,
    private readonly prefix: string,
    private readonly time: TimeSource,
  ) {
    this.confirmedAt = readClocks(time);
  }

  /**
   * Appends at exactly the given position.
   *
   * Fails with LogPositionTakenError when another writer was first, StoreUnavailableError when nothing was
   * written, and StoreAmbiguousError when that cannot be found out now.
   * @param nonce Identifies this append; give the same nonce when an ambiguous append is tried again.
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
      Effect.tap(() => this.refuseTrimmedPosition(position)),
      Effect.tap(() => Effect.sync(() => this.markConfirmed())),
    );
  }

  /** Reads the checkpoint; undefined when there is none yet. */
  readCheckpoint(): Effect.Effect<LogCheckpoint | undefined, StoreUnavailableError> {
    return this.store.get(this.checkpointKey()).pipe(
      Effect.map(found => (found === undefined ? undefined : decodeCheckpoint(found))),
      Effect.tap(() => Effect.sync(() => this.markConfirmed())),
    );
  }

  /**
   * Replaces the checkpoint with the state up to and including `position`. Fails with StoreConflictError when
   * another writer replaced it first; that is harmless, because the log still holds the records.
   * @param previous The checkpoint as last read; undefined when there was none.
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
        const page = yield* this.store.list(this.logPrefix(), afterKey, listPageRecords);
        records.push(...page.map(object => this.decodeRecord(object)));
        const last = page.at(-1);
        if (last === undefined || page.length < listPageRecords) break;
        afterKey = last.key;
      }
      this.markConfirmed();
      return records;
    });
  }

  /** Waits up to `waitMs` milliseconds for records after the given position. One store call. */
  watchAfter(
    position: number,
    waitMs: number,
  ): Effect.Effect<readonly LogRecord[], StoreUnavailableError> {
    return this.store
      .watch(this.logPrefix(), this.keyOf(position), waitMs)
      .pipe(Effect.map(objects => objects.map(object => this.decodeRecord(object))));
  }

  /**
   * Removes up to one page of records up to and including a position; returns how many. The caller names only
   * positions that a checkpoint has covered for at least {@link minTrimAgeMs}.
   */
  trimThrough(position: number): Effect.Effect<number, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const page = yield* this.store.list(this.logPrefix(), this.keyOf(0), listPageRecords);
      const covered = page.filter(object => this.decodeRecord(object).position <= position);
      for (const object of covered) {
        // A record that another trimmer removed first, or whose removal is ambiguous, is gone or listed next time.
        yield* this.store.remove(object.key, object.version).pipe(
          Effect.catchTags({
            StoreConflictError: () => Effect.void,
            StoreAmbiguousError: () => Effect.void,
          }),
        );
      }
      return covered.length;
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
            // A delayed write may still arrive, so the caller must try the same position again.
            new StoreAmbiguousError({detail: `append at ${record.position} is not visible`}),
          );
        }
        return this.decodeRecord(found).nonce === record.nonce
          ? Effect.succeed(record)
          : Effect.fail(new LogPositionTakenError({position: record.position}));
      }),
    );
  }

  private refuseTrimmedPosition(position: number): Effect.Effect<void, AppendError> {
    if (!this.pausedTooLong()) return Effect.void;
    return this.readCheckpoint().pipe(
      Effect.mapError(error => new StoreAmbiguousError({detail: error.message})),
      Effect.flatMap(checkpoint =>
        checkpoint !== undefined && position <= checkpoint.position
          ? Effect.fail(new LogPositionTakenError({position}))
          : Effect.void,
      ),
    );
  }

  private pausedTooLong(): boolean {
    const now = readClocks(this.time);
    // The monotonic clock may stand still while a machine is suspended, and the wall clock may be set back.
    return (
      now.monotonicMs - this.confirmedAt.monotonicMs > trustedAppendMs ||
      Math.abs(now.wallMs - this.confirmedAt.wallMs) > trustedAppendMs
    );
  }

  private markConfirmed(): void {
    this.confirmedAt = readClocks(this.time);
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
