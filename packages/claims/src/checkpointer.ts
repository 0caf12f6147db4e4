/**
 * Writes the segments and checkpoints of a shard, and removes log records and segments that are no longer needed.
 * A failure only makes the next replay longer, so failures are counted and the work is retried in a later run.
 *
 * Two rules keep owners from removing each other's segments:
 * - A checkpoint that references a new segment is written as a conditional update. The version that it expects was
 *   read before the segment was written.
 * - A segment is removed only after a checkpoint update that does not reference it. That update was made after the
 *   segment was seen in the store.
 * Hence no owner removes a segment that the checkpoint references or that another owner can still reference. An
 * owner that finds a checkpoint of another writer replays from it, because its own list may contain removed
 * segments. None of this depends on clocks.
 */
import type {LogCheckpoint, StoreLog} from '@cuminsill/store';
import {minTrimAgeMs} from '@cuminsill/store';
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {SegmentReference, TrackedClaim} from './claim_records';
import {encodeShardCheckpoint} from './claim_records';
import type {NewSegment} from './claim_segments';
import {buildSegments, estimateClaimBytes} from './claim_segments';
import type {ClaimTable} from './claim_table';
import type {SegmentArchive, SegmentStore} from './segment_archive';

/** When checkpoints and segments are written and records are trimmed. Tests use shorter periods. */
export interface CheckpointSettings {
  /** Minimum time between two runs of the checkpointer, in milliseconds. An idle owner wakes at this interval. */
  readonly intervalMs: number;
  /** Number of records after which a checkpoint is written. Limits how many records a new owner replays. */
  readonly maxRecords: number;
  /** Maximum time in milliseconds until a checkpoint covers a change, so that the log of an idle shard is trimmed. */
  readonly maxDelayMs: number;
  /** Finished claims are moved to a segment when their estimated size reaches this number of bytes. */
  readonly minSegmentBytes: number;
  /** How long records stay in the log after a checkpoint covers them, in milliseconds. */
  readonly trimAgeMs: number;
}

/** Settings outside of tests. */
export const defaultCheckpointSettings: CheckpointSettings = {
  intervalMs: 60_000,
  maxRecords: 1_000,
  maxDelayMs: 600_000,
  // Stays below the store's size limit for an object even if the claims cannot be compressed.
  minSegmentBytes: 800_000,
  trimAgeMs: minTrimAgeMs,
};

// Above this number of claims in memory (about 6 MB), the shorter interval applies, so that finished claims move to
// segments sooner and free memory.
const memoryPressureClaims = 8_000;
const memoryPressureIntervalMs = 5_000;

// One page removes up to 200 records. A shard appends up to 600 records a minute, and a run takes place every minute.
const trimPagesPerRun = 4;

/** Checkpoint counters of a shard. They continue when this instance loses the shard and takes it over again. */
export interface CheckpointCounts {
  checkpoints: number;
  /** Size of the latest checkpoint's state in bytes. */
  checkpointBytes: number;
  checkpointFailures: number;
  trimmedRecords: number;
  /** Segments written and referenced by a checkpoint. */
  segments: number;
  removedSegments: number;
}

/** State and dependencies of a checkpointer, which works for one period of ownership. */
export interface CheckpointerOptions {
  readonly log: StoreLog;
  readonly store: SegmentStore;
  readonly table: ClaimTable;
  readonly archive: SegmentArchive;
  readonly time: TimeSource;
  readonly settings: CheckpointSettings;
  readonly counts: CheckpointCounts;
  /** The checkpoint that the replay started from. */
  readonly latest: LogCheckpoint | undefined;
  /** Names of segments that may be in the store and that `latest` does not reference, seen after it was read. */
  readonly unreferencedSegments: readonly string[];
}

interface CoveredPosition {
  readonly position: number;
  /** Monotonic time at which a checkpoint at this position was known to be written. */
  readonly coveredAtMs: number;
}

/** A checkpoint that is ready to be written. */
interface PreparedCheckpoint {
  readonly position: number;
  readonly state: Uint8Array;
  /** Claims that move from the table to `newSegments`. */
  readonly archived: ReadonlySet<TrackedClaim>;
  readonly keptSegments: readonly SegmentReference[];
  readonly newSegments: readonly NewSegment[];
  /** Names of segments that the checkpoint does not reference and that are removed once it is written. */
  readonly removable: readonly string[];
}

/** Writes the checkpoints of a shard during one period of ownership. */
export class Checkpointer {
  private lastRunAtMs: number;
  private lastWriteAtMs: number;
  private isRunning = false;
  private isReplacedByOther = false;
  private latest: LogCheckpoint | undefined;
  private removable: readonly string[];
  private coveredPositions: readonly CoveredPosition[];

  constructor(private readonly options: CheckpointerOptions) {
    this.lastRunAtMs = options.time.monotonicMs();
    this.lastWriteAtMs = this.lastRunAtMs;
    this.latest = options.latest;
    this.removable = options.unreferencedSegments;
    // The age of the checkpoint found in the store is unknown, so its trim age starts now.
    this.coveredPositions =
      options.latest === undefined
        ? []
        : [{position: options.latest.position, coveredAtMs: this.lastRunAtMs}];
  }

  /** Whether another owner has replaced the checkpoint. The shard must then be replayed. */
  isStale(): boolean {
    return this.isReplacedByOther || this.options.archive.isStale();
  }

  /** Starts a run if one is due. It runs in a child fiber, so that appends do not wait for it. */
  runIfDue(position: number, nowMs: number): Effect.Effect<void> {
    const {time, settings, table} = this.options;
    const sinceLastRunMs = time.monotonicMs() - this.lastRunAtMs;
    const isUnderMemoryPressure = table.claimCount() > memoryPressureClaims;
    const intervalMs = isUnderMemoryPressure
      ? Math.min(memoryPressureIntervalMs, settings.intervalMs)
      : settings.intervalMs;
    if (this.isRunning || sinceLastRunMs < intervalMs) return Effect.void;
    this.isRunning = true;
    this.lastRunAtMs = time.monotonicMs();
    table.removeExpired(nowMs);
    const prepared = this.prepareCheckpointIfDue(position, nowMs);
    return (prepared === undefined ? Effect.void : this.writeCheckpoint(prepared)).pipe(
      Effect.zipRight(this.trimLog()),
      Effect.ensuring(Effect.sync(() => (this.isRunning = false))),
      Effect.fork,
      Effect.asVoid,
    );
  }

  /**
   * Captures the state at one position. It must stay synchronous: a change of the table in between would make the
   * checkpoint inconsistent.
   */
  private prepareCheckpointIfDue(position: number, nowMs: number): PreparedCheckpoint | undefined {
    const {table, archive} = this.options;
    const archived = this.claimsToArchive();
    const expired = archive.expired(nowMs);
    if (archived.size === 0 && expired.length === 0 && !this.isWriteDue(position)) return undefined;
    const keptSegments = archive.unexpired(nowMs);
    const newSegments = buildSegments([...archived], position);
    const removable = [...new Set([...this.removable, ...expired])];
    const state = encodeShardCheckpoint({
      ...table.toCheckpoint(archived),
      segments: [...keptSegments, ...newSegments.map(({reference}) => reference)],
      removable,
    });
    return {position, state, archived, keptSegments, newSegments, removable};
  }

  /** The finished claims if they are large enough for a segment, otherwise none. */
  private claimsToArchive(): ReadonlySet<TrackedClaim> {
    const finished = this.options.table.finishedClaims();
    const bytes = finished.reduce((sum, claim) => sum + estimateClaimBytes(claim), 0);
    return new Set(bytes >= this.options.settings.minSegmentBytes ? finished : []);
  }

  private isWriteDue(position: number): boolean {
    const {time, settings} = this.options;
    const newRecords = position - (this.latest?.position ?? 0);
    const sinceLastWriteMs = time.monotonicMs() - this.lastWriteAtMs;
    const hasChanged = newRecords > 0 || this.removable.length > 0;
    return (
      newRecords >= settings.maxRecords || (hasChanged && sinceLastWriteMs >= settings.maxDelayMs)
    );
  }

  private writeCheckpoint(prepared: PreparedCheckpoint): Effect.Effect<void> {
    const {log, store, counts, time} = this.options;
    const {position, state, newSegments} = prepared;
    // Read before the segments are written, as the first rule at the head of this file requires.
    const previous = this.latest;
    this.lastWriteAtMs = time.monotonicMs();
    counts.checkpointBytes = state.byteLength;
    return Effect.forEach(newSegments, segment => store.write(segment), {discard: true}).pipe(
      Effect.zipRight(log.writeCheckpoint(position, state, previous)),
      Effect.catchAll(() => this.readBackCheckpoint(prepared, previous)),
      Effect.flatMap(written =>
        written === undefined
          ? this.markSegmentsRemovable(prepared)
          : this.applyCheckpoint(prepared, written),
      ),
    );
  }

  private applyCheckpoint(
    prepared: PreparedCheckpoint,
    written: LogCheckpoint,
  ): Effect.Effect<void> {
    const {table, archive, counts, time} = this.options;
    const {position, keptSegments, newSegments, archived, removable} = prepared;
    return Effect.suspend(() => {
      counts.checkpoints += 1;
      counts.segments += newSegments.length;
      this.latest = written;
      this.coveredPositions = [
        ...this.coveredPositions,
        {position, coveredAtMs: time.monotonicMs()},
      ];
      // In one synchronous step, so that every key is always found in the table or in the archive.
      archive.replace(keptSegments, newSegments);
      table.removeArchived([...archived]);
      this.removable = removable;
      return Effect.forEach(removable, name => this.removeSegment(name), {discard: true});
    });
  }

  private removeSegment(name: string): Effect.Effect<void> {
    return this.options.store.remove(name).pipe(
      Effect.map(() => {
        this.options.counts.removedSegments += 1;
        this.removable = this.removable.filter(removableName => removableName !== name);
      }),
      Effect.ignore,
    );
  }

  /**
   * After a failed checkpoint its new segments may be in the store. The next checkpoint does not reference them, so
   * they are removed after it is written.
   */
  private markSegmentsRemovable({newSegments}: PreparedCheckpoint): Effect.Effect<void> {
    return Effect.sync(() => {
      this.removable = [...this.removable, ...newSegments.map(({reference}) => reference.name)];
    });
  }

  /** Reads the checkpoint after a failed write. Returns it if the write took effect after all. */
  private readBackCheckpoint(
    {position, state}: PreparedCheckpoint,
    previous: LogCheckpoint | undefined,
  ): Effect.Effect<LogCheckpoint | undefined> {
    const {log, counts} = this.options;
    return log.readCheckpoint().pipe(
      Effect.map(found => {
        if (found?.position === position && Buffer.compare(found.state, state) === 0) return found;
        this.isReplacedByOther = found?.storeVersion !== previous?.storeVersion;
        return undefined;
      }),
      Effect.orElseSucceed(() => undefined),
      Effect.tap(found => Effect.sync(() => (counts.checkpointFailures += found ? 0 : 1))),
    );
  }

  private trimLog(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const {time, settings, log, counts} = this.options;
      const nowMs = time.monotonicMs();
      const trimmable = this.coveredPositions.filter(
        covered => nowMs - covered.coveredAtMs >= settings.trimAgeMs,
      );
      const last = trimmable.at(-1);
      if (last === undefined) return;
      for (let page = 0; page < trimPagesPerRun; page += 1) {
        const removed = yield* log.trimThrough(last.position);
        counts.trimmedRecords += removed;
        if (removed === 0) {
          this.coveredPositions = this.coveredPositions.filter(
            covered => covered.position > last.position,
          );
          return;
        }
      }
    }).pipe(Effect.ignore);
  }
}
