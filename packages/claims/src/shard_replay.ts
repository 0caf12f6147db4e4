/** Rebuilds the state of a claim shard from its checkpoint, its segments and the records after them. */
import type {StoreLog} from '@cuminsill/store';
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {CheckpointCounts, CheckpointSettings} from './checkpointer';
import {Checkpointer} from './checkpointer';
import type {TrackedClaim} from './claim_records';
import {decodeShardCheckpoint, decodeShardRecord} from './claim_records';
import {answerOf, ClaimTable} from './claim_table';
import type {ClaimAnswer} from './claim_types';
import type {SegmentError, SegmentStore} from './segment_archive';
import {SegmentArchive} from './segment_archive';

/** The state of a shard in its owner's memory, from the replay until this instance loses the shard. */
export interface OwnerState {
  readonly table: ClaimTable;
  readonly archive: SegmentArchive;
  readonly checkpointer: Checkpointer;
  /** Log position of the last record that was applied. */
  position: number;
}

/** Settings and dependencies of a replay. */
export interface ReplayOptions {
  readonly log: StoreLog;
  readonly segmentStore: SegmentStore;
  readonly time: TimeSource;
  readonly settings: CheckpointSettings;
  readonly counts: CheckpointCounts;
}

/** Replays a shard up to the last record of its log. */
export function replayShard(options: ReplayOptions): Effect.Effect<OwnerState, SegmentError> {
  return Effect.gen(function* () {
    const {log, segmentStore, time, settings, counts} = options;
    const latest = yield* log.readCheckpoint();
    const state = latest && (yield* decodeShardCheckpoint(latest.state));
    // Read after the checkpoint: the checkpointer removes only segments that were seen before its next update.
    const indexes = yield* segmentStore.readIndexes();
    const archive = yield* SegmentArchive.fromIndexes(segmentStore, state?.segments ?? [], indexes);
    const table = ClaimTable.fromCheckpoint(state);
    let position = latest?.position ?? 0;
    for (const record of yield* log.readAfter(position)) {
      table.apply(yield* decodeShardRecord(record.body));
      position = record.position;
    }
    const referencedSegments = new Set(state?.segments.map(({name}) => name));
    const foundSegments = new Set([...(state?.removable ?? []), ...indexes.keys()]);
    const unreferencedSegments = [...foundSegments].filter(name => !referencedSegments.has(name));
    const checkpointer = new Checkpointer({
      ...{log, store: segmentStore, table, archive, time, settings, counts},
      ...{latest, unreferencedSegments},
    });
    return {table, archive, checkpointer, position};
  });
}

/** Returns the claim of a key if a segment contains it. Calls the store only if a segment may contain the key. */
export function archivedClaim(
  ownerState: OwnerState | undefined,
  key: string,
  nowMs: number,
): Effect.Effect<TrackedClaim | undefined, SegmentError> {
  const isInTable = ownerState?.table.requestDigestOf(key, nowMs) !== undefined;
  return ownerState === undefined || isInTable || !ownerState.archive.mayContain(key)
    ? Effect.succeed(undefined)
    : ownerState.archive.find(key, nowMs);
}

/** Returns the answer from a segment to a request for a key, or undefined if no segment contains the key. */
export function archivedAnswer(
  ownerState: OwnerState | undefined,
  key: string,
  nowMs: number,
  requestDigest?: string,
): Effect.Effect<ClaimAnswer | undefined> {
  return archivedClaim(ownerState, key, nowMs).pipe(
    Effect.map(claim => {
      if (claim === undefined) return undefined;
      const isSameRequest = requestDigest === undefined || requestDigest === claim.requestDigest;
      return isSameRequest ? answerOf(claim) : ({state: 'key-reused'} as const);
    }),
    // The unreadable segment may contain the key, so no claim is granted and nothing is stated about the operation.
    Effect.orElseSucceed((): ClaimAnswer => ({state: 'unavailable'})),
  );
}
