/**
 * The segments of one shard. Memory holds their indexes, 8 bytes for each claim; a claim itself is read from the
 * store when its key is asked for.
 */
import type {PlatformStore, StoreWriteError} from '@cuminsill/store';
import {StoreAmbiguousError, StoreUnavailableError} from '@cuminsill/store';
import {Effect} from 'effect';
import type {CheckpointClaim, SegmentEntry} from './claim_records';
import {decodeSegmentBody, InvalidClaimRecordError} from './claim_records';
import type {ClosedSegment} from './claim_segments';
import {decodeIndex, encodeIndex, indexHolds, keyFingerprint} from './claim_segments';
import {isExpired} from './claim_table';

interface HeldSegment {
  readonly entry: SegmentEntry;
  readonly index: Float64Array;
}

// Indexes hold up to some 60 kB, so a page stays below a megabyte.
const listPageIndexes = 16;
const maxRecentlyFound = 256;
const writeRetries = 2;

/** Errors of reading a segment. */
export type SegmentError = StoreUnavailableError | InvalidClaimRecordError;

/** Reads and writes the segment objects of one shard. */
export class SegmentStore {
  /** @param prefix Key prefix of the shard, without a trailing slash. */
  constructor(
    private readonly store: PlatformStore,
    private readonly prefix: string,
  ) {}

  /** Writes a segment. No other writer uses its name, so an object that exists is this writer's own. */
  write({entry, index, body}: ClosedSegment): Effect.Effect<void, StoreWriteError> {
    // The index is first, so that a data object without an index is never left behind.
    return Effect.zipRight(
      this.create(this.indexKey(entry.name), encodeIndex(index)),
      this.create(this.dataKey(entry.name), body),
    );
  }

  /** Reads the claims of a segment; undefined when it does not exist. */
  readClaims(name: string): Effect.Effect<readonly CheckpointClaim[] | undefined, SegmentError> {
    return Effect.flatMap(
      this.store.get(this.dataKey(name)),
      (found): Effect.Effect<readonly CheckpointClaim[] | undefined, SegmentError> =>
        found === undefined ? Effect.succeed(undefined) : decodeSegmentBody(found.value),
    );
  }

  /** Reads the index objects of all segments by name, also of those that no checkpoint names. */
  readIndexes(): Effect.Effect<ReadonlyMap<string, Uint8Array>, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const prefix = this.indexKey('');
      const indexes = new Map<string, Uint8Array>();
      let afterKey = prefix;
      for (;;) {
        const page = yield* this.store.list(prefix, afterKey, listPageIndexes);
        for (const {key, value} of page) indexes.set(key.slice(prefix.length), value);
        const last = page.at(-1);
        if (last === undefined || page.length < listPageIndexes) return indexes;
        afterKey = last.key;
      }
    });
  }

  /** Removes a segment, its index last, so that a removal that stops in between is found by the next owner. */
  remove(name: string): Effect.Effect<void, StoreWriteError> {
    return Effect.zipRight(
      this.removeObject(this.dataKey(name)),
      this.removeObject(this.indexKey(name)),
    );
  }

  private create(key: string, value: Uint8Array): Effect.Effect<void, StoreWriteError> {
    return this.store.create(key, value).pipe(
      Effect.retry({times: writeRetries, while: error => error instanceof StoreAmbiguousError}),
      Effect.catchTag('StoreConflictError', () => Effect.void),
      Effect.asVoid,
    );
  }

  private removeObject(key: string): Effect.Effect<void, StoreWriteError> {
    return Effect.flatMap(this.store.get(key), found =>
      found === undefined ? Effect.void : this.store.remove(key, found.version),
    );
  }

  private indexKey(name: string): string {
    return `${this.prefix}/segment_index/${name}`;
  }

  private dataKey(name: string): string {
    return `${this.prefix}/segments/${name}`;
  }
}

/** The segments that an owner knows. */
export class SegmentArchive {
  private readonly found = new Map<string, CheckpointClaim>();
  private stale = false;

  private constructor(
    private readonly store: SegmentStore,
    private segments: readonly HeldSegment[],
  ) {}

  /** Makes the archive of a checkpoint from the index objects that were read after it. */
  static from(
    store: SegmentStore,
    entries: readonly SegmentEntry[],
    indexes: ReadonlyMap<string, Uint8Array>,
  ): Effect.Effect<SegmentArchive, SegmentError> {
    return Effect.forEach(entries, entry => heldSegment(entry, indexes.get(entry.name))).pipe(
      Effect.map(segments => new SegmentArchive(store, segments)),
    );
  }

  /** Whether a segment was missing, because another owner has replaced the checkpoint that named it. */
  isStale(): boolean {
    return this.stale;
  }

  /** Segments with at least one claim within its retention. */
  live(nowMs: number): readonly SegmentEntry[] {
    return this.segments.map(({entry}) => entry).filter(entry => !isPast(entry, nowMs));
  }

  /** Names of the segments whose claims are all past their retention. */
  expired(nowMs: number): readonly string[] {
    return this.segments.filter(({entry}) => isPast(entry, nowMs)).map(({entry}) => entry.name);
  }

  /** Forgets expired segments and adds new ones. */
  replace(kept: readonly SegmentEntry[], added: readonly ClosedSegment[]): void {
    const names = new Set(kept.map(({name}) => name));
    this.segments = [...this.segments.filter(({entry}) => names.has(entry.name)), ...added];
    this.found.clear();
  }

  /** Whether a segment may hold the key; false is certain. */
  mayHold(key: string): boolean {
    if (this.segments.length === 0) return false;
    const fingerprint = keyFingerprint(key);
    return this.segments.some(({index}) => indexHolds(index, fingerprint));
  }

  /** The claim of a key within its retention. The newest segment is read first. */
  find(key: string, nowMs: number): Effect.Effect<CheckpointClaim | undefined, SegmentError> {
    return Effect.gen(this, function* () {
      const known = this.found.get(key);
      if (known !== undefined && !isExpired(known, nowMs)) return known;
      const fingerprint = keyFingerprint(key);
      for (const {entry, index} of [...this.segments].reverse()) {
        if (isPast(entry, nowMs) || !indexHolds(index, fingerprint)) continue;
        const claims = yield* this.store.readClaims(entry.name);
        if (claims === undefined) {
          this.stale = true;
          return yield* new StoreUnavailableError({detail: `no segment "${entry.name}"`});
        }
        const claim = claims.find(candidate => candidate.key === key);
        if (claim !== undefined && !isExpired(claim, nowMs)) return this.remember(claim);
      }
      return undefined;
    });
  }

  /** Keeps a found claim, so that repeated questions for a key read its segment once. */
  private remember(claim: CheckpointClaim): CheckpointClaim {
    const oldest = this.found.keys().next();
    if (this.found.size >= maxRecentlyFound && !oldest.done) this.found.delete(oldest.value);
    this.found.set(claim.key, claim);
    return claim;
  }
}

function heldSegment(
  entry: SegmentEntry,
  bytes: Uint8Array | undefined,
): Effect.Effect<HeldSegment, SegmentError> {
  if (bytes === undefined) {
    // Another owner replaced the checkpoint and removed the segment since; the next try reads its checkpoint.
    const detail = `the index of segment "${entry.name}" does not exist`;
    return Effect.fail(new StoreUnavailableError({detail}));
  }
  const index = decodeIndex(entry, bytes);
  return index === undefined
    ? Effect.fail(new InvalidClaimRecordError({detail: `index of segment "${entry.name}"`}))
    : Effect.succeed({entry, index});
}

function isPast(entry: SegmentEntry, nowMs: number): boolean {
  return isExpired({claimedAtMs: entry.newestAtMs}, nowMs);
}
