/**
 * Writes a shard's segments and checkpoints, and removes records and segments that are no longer needed. Failures
 * cost only a longer replay, so they are counted and tried again.
 *
 * A segment is named only by a checkpoint update on a version that was read before the segment was written, and it
 * is removed only after an update that does not name it and was made after the segment was seen. So no owner
 * removes a segment that the checkpoint names or that another owner can still name. An owner that finds a
 * checkpoint of another writer replays from it, because its own list may name removed segments. No clock takes
 * part in this.
 */
import type {LogCheckpoint, StoreLog} from '@cuminsill/store';
import {minTrimAgeMs} from '@cuminsill/store';
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {CheckpointClaim, SegmentEntry} from './claim_records';
import {encodeShardCheckpoint} from './claim_records';
import type {ClosedSegment} from './claim_segments';
import {claimBytes, closeSegments} from './claim_segments';
import type {ClaimTable} from './claim_table';
import type {SegmentArchive, SegmentStore} from './segment_archive';

/** When checkpoints and segments are written; tests shorten the periods. */
export interface CheckpointSettings {
  /** Shortest time between two runs, in milliseconds. */
  readonly intervalMs: number;
  /** Number of records after which a checkpoint is written; bounds the replay. */
  readonly records: number;
  /** Longest time in milliseconds that a change waits for a checkpoint, so that an idle log is trimmed. */
  readonly longestMs: number;
  /** Estimated bytes of finished claims that make a segment. */
  readonly segmentBytes: number;
  /** How long records are kept after a checkpoint covers them, in milliseconds. */
  readonly trimAgeMs: number;
}

/** Settings in operation. */
export const defaultCheckpointSettings: CheckpointSettings = {
  intervalMs: 60_000,
  records: 1_000,
  longestMs: 600_000,
  // Below the limit of an object also when nothing can be compressed.
  segmentBytes: 800_000,
  trimAgeMs: minTrimAgeMs,
};

// Above this number of claims, about 6 MB, segments are closed at the shorter interval to free memory.
const crowdedClaims = 8_000;
const crowdedIntervalMs = 5_000;

// A page removes up to 200 records; a shard appends up to 600 a minute.
const trimPagesPerRun = 4;

/** Counters that a shard keeps over its tenures. */
export interface CheckpointCounts {
  checkpoints: number;
  /** Size of the last checkpoint's state. */
  checkpointBytes: number;
  checkpointFailures: number;
  trimmedRecords: number;
  /** Segments that a checkpoint names since. */
  segments: number;
  removedSegments: number;
}

/** What a keeper works with during one tenure. */
export interface CheckpointKeeperParts {
  readonly log: StoreLog;
  readonly store: SegmentStore;
  readonly table: ClaimTable;
  readonly archive: SegmentArchive;
  readonly time: TimeSource;
  readonly settings: CheckpointSettings;
  readonly counts: CheckpointCounts;
  /** The checkpoint that the replay started from. */
  readonly latest: LogCheckpoint | undefined;
  /** Segments that were in the store after `latest` was read and that it does not name. */
  readonly unnamed: readonly string[];
}

interface CoveredPosition {
  readonly position: number;
  readonly sinceMs: number;
}

/** A checkpoint that is ready to be written. */
interface Prepared {
  readonly position: number;
  readonly state: Uint8Array;
  readonly closing: ReadonlySet<CheckpointClaim>;
  readonly kept: readonly SegmentEntry[];
  readonly added: readonly ClosedSegment[];
  readonly removable: readonly string[];
}

/** Keeps the checkpoint during one tenure. */
export class CheckpointKeeper {
  private lastRunAtMs: number;
  private lastWriteAtMs: number;
  private running = false;
  private supersededByOther = false;
  private latest: LogCheckpoint | undefined;
  private removable: readonly string[];
  private covered: readonly CoveredPosition[];

  constructor(private readonly parts: CheckpointKeeperParts) {
    this.lastRunAtMs = parts.time.monotonicMs();
    this.lastWriteAtMs = this.lastRunAtMs;
    this.latest = parts.latest;
    this.removable = parts.unnamed;
    // The age of a checkpoint found in the store is not known, so it counts from now.
    this.covered =
      parts.latest === undefined
        ? []
        : [{position: parts.latest.position, sinceMs: this.lastRunAtMs}];
  }

  /** Whether another owner has replaced the checkpoint, so that the shard has to be replayed. */
  isSuperseded(): boolean {
    return this.supersededByOther || this.parts.archive.isStale();
  }

  /** Starts a run in a child fiber when one is due, so that appends do not wait for it. */
  runIfDue(position: number, nowMs: number): Effect.Effect<void> {
    const {time, settings, table} = this.parts;
    const sinceMs = time.monotonicMs() - this.lastRunAtMs;
    const crowded = table.size() > crowdedClaims;
    const intervalMs = crowded
      ? Math.min(crowdedIntervalMs, settings.intervalMs)
      : settings.intervalMs;
    if (this.running || sinceMs < intervalMs) return Effect.void;
    this.running = true;
    this.lastRunAtMs = time.monotonicMs();
    table.forgetExpired(nowMs);
    const prepared = this.prepareIfDue(position, nowMs);
    return (prepared === undefined ? Effect.void : this.write(prepared)).pipe(
      Effect.zipRight(this.trim()),
      Effect.ensuring(Effect.sync(() => (this.running = false))),
      Effect.fork,
      Effect.asVoid,
    );
  }

  /** Takes the state at one position; nothing may run between its parts. */
  private prepareIfDue(position: number, nowMs: number): Prepared | undefined {
    const {table, archive} = this.parts;
    const closing = this.closing();
    const expired = archive.expired(nowMs);
    if (closing.size === 0 && expired.length === 0 && !this.isWriteDue(position)) return undefined;
    const kept = archive.live(nowMs);
    const added = closeSegments([...closing], position);
    const removable = [...new Set([...this.removable, ...expired])];
    const state = encodeShardCheckpoint({
      ...table.toCheckpoint(closing),
      segments: [...kept, ...added.map(({entry}) => entry)],
      removable,
    });
    return {position, state, closing, kept, added, removable};
  }

  /** The finished claims, when they fill a segment. */
  private closing(): ReadonlySet<CheckpointClaim> {
    const finished = this.parts.table.finished();
    const bytes = finished.reduce((sum, claim) => sum + claimBytes(claim), 0);
    return new Set(bytes >= this.parts.settings.segmentBytes ? finished : []);
  }

  private isWriteDue(position: number): boolean {
    const {time, settings} = this.parts;
    const records = position - (this.latest?.position ?? 0);
    const sinceMs = time.monotonicMs() - this.lastWriteAtMs;
    const changed = records > 0 || this.removable.length > 0;
    return records >= settings.records || (changed && sinceMs >= settings.longestMs);
  }

  private write(prepared: Prepared): Effect.Effect<void> {
    const {log, store, counts, time} = this.parts;
    const {position, state, added} = prepared;
    // The version of `previous` is known before the segments are written.
    const previous = this.latest;
    this.lastWriteAtMs = time.monotonicMs();
    counts.checkpointBytes = state.byteLength;
    return Effect.forEach(added, segment => store.write(segment), {discard: true}).pipe(
      Effect.zipRight(log.writeCheckpoint(position, state, previous)),
      Effect.catchAll(() => this.readBack(prepared, previous)),
      Effect.flatMap(written =>
        written === undefined ? this.abandon(prepared) : this.commit(prepared, written),
      ),
    );
  }

  private commit(prepared: Prepared, written: LogCheckpoint): Effect.Effect<void> {
    const {table, archive, counts, time} = this.parts;
    const {position, kept, added, closing, removable} = prepared;
    return Effect.suspend(() => {
      counts.checkpoints += 1;
      counts.segments += added.length;
      this.latest = written;
      this.covered = [...this.covered, {position, sinceMs: time.monotonicMs()}];
      // Both at once, so that a key is always found in the table or in the archive.
      archive.replace(kept, added);
      table.drop([...closing]);
      this.removable = removable;
      return Effect.forEach(removable, name => this.remove(name), {discard: true});
    });
  }

  private remove(name: string): Effect.Effect<void> {
    return this.parts.store.remove(name).pipe(
      Effect.map(() => {
        this.parts.counts.removedSegments += 1;
        this.removable = this.removable.filter(other => other !== name);
      }),
      Effect.ignore,
    );
  }

  /** The segments may be in the store; the next update does not name them, and then they are removed. */
  private abandon({added}: Prepared): Effect.Effect<void> {
    return Effect.sync(() => {
      this.removable = [...this.removable, ...added.map(({entry}) => entry.name)];
    });
  }

  /** After a failed write: the checkpoint when it turns out to be written. */
  private readBack(
    {position, state}: Prepared,
    previous: LogCheckpoint | undefined,
  ): Effect.Effect<LogCheckpoint | undefined> {
    const {log, counts} = this.parts;
    return log.readCheckpoint().pipe(
      Effect.map(found => {
        if (found?.position === position && Buffer.compare(found.state, state) === 0) return found;
        this.supersededByOther = found?.storeVersion !== previous?.storeVersion;
        return undefined;
      }),
      Effect.orElseSucceed(() => undefined),
      Effect.tap(found => Effect.sync(() => (counts.checkpointFailures += found ? 0 : 1))),
    );
  }

  private trim(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const {time, settings, log, counts} = this.parts;
      const nowMs = time.monotonicMs();
      const old = this.covered.filter(entry => nowMs - entry.sinceMs >= settings.trimAgeMs);
      const last = old.at(-1);
      if (last === undefined) return;
      for (let page = 0; page < trimPagesPerRun; page += 1) {
        const removed = yield* log.trimThrough(last.position);
        counts.trimmedRecords += removed;
        if (removed === 0) {
          this.covered = this.covered.filter(entry => entry.position > last.position);
          return;
        }
      }
    }).pipe(Effect.ignore);
  }
}
