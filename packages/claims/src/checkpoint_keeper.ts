/**
 * Writes a shard's checkpoint at most once a minute and removes records that a checkpoint has covered for at
 * least an hour. Failures cost only a longer replay, so they are counted and tried again.
 */
import type {LogCheckpoint, StoreLog} from '@cuminsill/store';
import {maxValueBytes, minTrimAgeMs} from '@cuminsill/store';
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import {encodeShardCheckpoint} from './claim_records';
import type {ClaimTable} from './claim_table';

/** Shortest time between two checkpoints of a shard, in milliseconds. */
export const checkpointIntervalMs = 60_000;

// The log writes the position in front of the state.
const maxStateBytes = maxValueBytes - 100;

// A page removes up to 200 records; a shard appends up to 600 a minute.
const trimPagesPerRun = 4;

/** Counters that a shard keeps over its tenures. */
export interface CheckpointCounts {
  checkpoints: number;
  /** Size of the last checkpoint's state. */
  checkpointBytes: number;
  checkpointFailures: number;
  trimmedRecords: number;
}

interface CoveredPosition {
  readonly position: number;
  readonly sinceMs: number;
}

/** Keeps the checkpoint during one tenure. */
export class CheckpointKeeper {
  private lastRunAtMs: number;
  private running = false;
  private supersededByOther = false;
  private covered: readonly CoveredPosition[];

  /** @param latest The checkpoint that the replay started from. */
  constructor(
    private readonly log: StoreLog,
    private readonly time: TimeSource,
    private latest: LogCheckpoint | undefined,
    private readonly counts: CheckpointCounts,
  ) {
    this.lastRunAtMs = time.monotonicMs();
    // The age of a checkpoint found in the store is not known, so it counts from now.
    this.covered =
      latest === undefined ? [] : [{position: latest.position, sinceMs: this.lastRunAtMs}];
  }

  /** Whether another owner has written a checkpoint past this owner's position. */
  isSuperseded(): boolean {
    return this.supersededByOther;
  }

  /** Starts a checkpoint in a child fiber when one is due, so that appends do not wait for it. */
  runIfDue(table: ClaimTable, position: number, nowMs: number): Effect.Effect<void> {
    const sinceMs = this.time.monotonicMs() - this.lastRunAtMs;
    if (this.running || sinceMs < checkpointIntervalMs) return Effect.void;
    this.running = true;
    this.lastRunAtMs = this.time.monotonicMs();
    table.forgetExpired(nowMs);
    const state = encodeShardCheckpoint(table.toCheckpoint(), maxStateBytes);
    return this.write(position, state).pipe(
      Effect.zipRight(this.trim()),
      Effect.ensuring(Effect.sync(() => (this.running = false))),
      Effect.fork,
      Effect.asVoid,
    );
  }

  private write(position: number, state: Uint8Array): Effect.Effect<void> {
    if (position === this.latest?.position) return Effect.void;
    this.counts.checkpointBytes = state.byteLength;
    return this.log.writeCheckpoint(position, state, this.latest).pipe(
      Effect.tap(written =>
        Effect.sync(() => {
          this.counts.checkpoints += 1;
          this.latest = written;
          this.covered = [...this.covered, {position, sinceMs: this.time.monotonicMs()}];
        }),
      ),
      Effect.catchAll(() => this.readBack(position)),
      Effect.asVoid,
    );
  }

  /** After a failed write, learns the version to replace next time, and whether another owner is ahead. */
  private readBack(position: number): Effect.Effect<void> {
    this.counts.checkpointFailures += 1;
    return this.log.readCheckpoint().pipe(
      Effect.map(found => {
        this.latest = found;
        if (found !== undefined && found.position > position) this.supersededByOther = true;
      }),
      Effect.ignore,
    );
  }

  private trim(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const nowMs = this.time.monotonicMs();
      const old = this.covered.filter(entry => nowMs - entry.sinceMs >= minTrimAgeMs);
      const last = old.at(-1);
      if (last === undefined) return;
      for (let page = 0; page < trimPagesPerRun; page += 1) {
        const removed = yield* this.log.trimThrough(last.position);
        this.counts.trimmedRecords += removed;
        if (removed === 0) {
          this.covered = this.covered.filter(entry => entry.position > last.position);
          return;
        }
      }
    }).pipe(Effect.ignore);
  }
}
