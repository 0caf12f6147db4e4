/** Rebuilds the state of a claim shard from its checkpoint, its segments and the records after them. */
import type {StoreLog} from '@cuminsill/store';
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {CheckpointCounts, CheckpointSettings} from './checkpoint_keeper';
import {CheckpointKeeper} from './checkpoint_keeper';
import type {CheckpointClaim} from './claim_records';
import {decodeShardCheckpoint, decodeShardRecord} from './claim_records';
import {answerOf, ClaimTable} from './claim_table';
import type {ClaimAnswer} from './claim_types';
import type {SegmentError, SegmentStore} from './segment_archive';
import {SegmentArchive} from './segment_archive';

/** What an owner knows during one tenure. */
export interface Tenure {
  readonly table: ClaimTable;
  readonly archive: SegmentArchive;
  readonly keeper: CheckpointKeeper;
  position: number;
}

/** What a replay works with. */
export interface ReplayParts {
  readonly log: StoreLog;
  readonly segmentStore: SegmentStore;
  readonly time: TimeSource;
  readonly settings: CheckpointSettings;
  readonly counts: CheckpointCounts;
}

/** Replays a shard up to the last record. */
export function replayShard(parts: ReplayParts): Effect.Effect<Tenure, SegmentError> {
  return Effect.gen(function* () {
    const {log, segmentStore, time, settings, counts} = parts;
    const latest = yield* log.readCheckpoint();
    const state = latest && (yield* decodeShardCheckpoint(latest.state));
    // After the checkpoint: the keeper may remove only what was there when its update had yet to be made.
    const indexes = yield* segmentStore.readIndexes();
    const archive = yield* SegmentArchive.from(segmentStore, state?.segments ?? [], indexes);
    const table = ClaimTable.fromCheckpoint(state);
    let position = latest?.position ?? 0;
    for (const record of yield* log.readAfter(position)) {
      table.apply(yield* decodeShardRecord(record.body));
      position = record.position;
    }
    const named = new Set(state?.segments.map(({name}) => name));
    const left = new Set([...(state?.removable ?? []), ...indexes.keys()]);
    const unnamed = [...left].filter(name => !named.has(name));
    const keeper = new CheckpointKeeper({
      ...{log, store: segmentStore, table, archive, time, settings, counts},
      ...{latest, unnamed},
    });
    return {table, archive, keeper, position};
  });
}

/** The claim that a segment holds for the key, if there is one. Costs no store call for a key in no segment. */
export function archivedClaim(
  tenure: Tenure | undefined,
  key: string,
  nowMs: number,
): Effect.Effect<CheckpointClaim | undefined, SegmentError> {
  const inTable = tenure?.table.requestDigestOf(key, nowMs) !== undefined;
  return tenure === undefined || inTable || !tenure.archive.mayHold(key)
    ? Effect.succeed(undefined)
    : tenure.archive.find(key, nowMs);
}

/** The answer to a request for a key that a segment may hold. */
export function archivedAnswer(
  tenure: Tenure | undefined,
  key: string,
  nowMs: number,
  requestDigest?: string,
): Effect.Effect<ClaimAnswer | undefined> {
  return archivedClaim(tenure, key, nowMs).pipe(
    Effect.map(claim => {
      if (claim === undefined) return undefined;
      const same = requestDigest === undefined || requestDigest === claim.requestDigest;
      return same ? answerOf(claim) : ({state: 'key-reused'} as const);
    }),
    // The segment may hold the key, so nothing is granted and nothing is said of the operation.
    Effect.orElseSucceed((): ClaimAnswer => ({state: 'unavailable'})),
  );
}
