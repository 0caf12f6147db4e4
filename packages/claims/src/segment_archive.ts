/**
 * The segments of one shard. Their indexes are held in memory (8 bytes per claim). A claim itself is read from the
 * store when a request concerns its key.
 */
import type {PlatformStore, StoreWriteError} from '@cuminsill/store';
import {StoreAmbiguousError, StoreUnavailableError} from '@cuminsill/store';
import {Effect} from 'effect';
import type {SegmentReference, TrackedClaim} from './claim_records';
import {decodeSegmentBody, InvalidClaimRecordError} from './claim_records';
import type {NewSegment} from './claim_segments';
import {decodeIndex, encodeIndex, indexContains, keyFingerprint} from './claim_segments';
import {isExpired} from './claim_table';

interface IndexedSegment {
  readonly reference: SegmentReference;
  readonly index: Float64Array;
}

// An index has up to about 60 kB, so a page of 16 stays below a megabyte.
const indexesPerPage = 16;
const maxCachedClaims = 256;
const writeRetries = 2;

/** An error while a segment is read. */
export type SegmentError = StoreUnavailableError | InvalidClaimRecordError;

/** Reads, writes and removes the segment objects of one shard. */
export class SegmentStore {
  /** @param prefix Key prefix of the shard, without a trailing slash. */
  constructor(
    private readonly store: PlatformStore,
    private readonly prefix: string,
  ) {}

  /** Writes a segment. Its name is unique, so an object that already exists was created by this writer. */
  write({reference, index, body}: NewSegment): Effect.Effect<void, StoreWriteError> {
    // The index is written first, so that an interrupted write never leaves a data object without an index, which
    // no owner would find and remove.
    return Effect.zipRight(
      this.create(this.indexKey(reference.name), encodeIndex(index)),
      this.create(this.dataKey(reference.name), body),
    );
  }

  /** Reads the claims of a segment; undefined when it does not exist. */
  readClaims(name: string): Effect.Effect<readonly TrackedClaim[] | undefined, SegmentError> {
    return Effect.flatMap(
      this.store.get(this.dataKey(name)),
      (found): Effect.Effect<readonly TrackedClaim[] | undefined, SegmentError> =>
        found === undefined ? Effect.succeed(undefined) : decodeSegmentBody(found.value),
    );
  }

  /** Reads the index objects of all segments by segment name, including segments that no checkpoint references. */
  readIndexes(): Effect.Effect<ReadonlyMap<string, Uint8Array>, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const prefix = this.indexKey('');
      const indexes = new Map<string, Uint8Array>();
      let afterKey = prefix;
      for (;;) {
        const page = yield* this.store.list(prefix, afterKey, indexesPerPage);
        for (const {key, value} of page) indexes.set(key.slice(prefix.length), value);
        const last = page.at(-1);
        if (last === undefined || page.length < indexesPerPage) return indexes;
        afterKey = last.key;
      }
    });
  }

  /** Removes a segment. The index is removed last, so that the next owner finds an interrupted removal. */
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

/** Looks up claims in the segments that the owner's checkpoint references. */
export class SegmentArchive {
  private readonly cache = new Map<string, TrackedClaim>();
  private isSegmentMissing = false;

  private constructor(
    private readonly store: SegmentStore,
    private segments: readonly IndexedSegment[],
  ) {}

  /** Makes the archive of a checkpoint's segments. The index objects must have been read after the checkpoint. */
  static fromIndexes(
    store: SegmentStore,
    references: readonly SegmentReference[],
    indexes: ReadonlyMap<string, Uint8Array>,
  ): Effect.Effect<SegmentArchive, SegmentError> {
    return Effect.forEach(references, reference =>
      toIndexedSegment(reference, indexes.get(reference.name)),
    ).pipe(Effect.map(segments => new SegmentArchive(store, segments)));
  }

  /** Whether a segment was missing because another owner has replaced the checkpoint that references it. */
  isStale(): boolean {
    return this.isSegmentMissing;
  }

  /** Segments with at least one claim whose retention has not ended. */
  unexpired(nowMs: number): readonly SegmentReference[] {
    return this.segments
      .map(({reference}) => reference)
      .filter(reference => !isSegmentExpired(reference, nowMs));
  }

  /** Names of the segments in which the retention of all claims has ended. */
  expired(nowMs: number): readonly string[] {
    return this.segments
      .filter(({reference}) => isSegmentExpired(reference, nowMs))
      .map(({reference}) => reference.name);
  }

  /** Keeps only the given segments and adds the new ones. */
  replace(keptSegments: readonly SegmentReference[], newSegments: readonly NewSegment[]): void {
    const keptNames = new Set(keptSegments.map(({name}) => name));
    this.segments = [
      ...this.segments.filter(({reference}) => keptNames.has(reference.name)),
      ...newSegments,
    ];
    this.cache.clear();
  }

  /** Whether a segment may contain the key. There are false positives, but no false negatives. */
  mayContain(key: string): boolean {
    if (this.segments.length === 0) return false;
    const fingerprint = keyFingerprint(key);
    return this.segments.some(({index}) => indexContains(index, fingerprint));
  }

  /** Finds the claim of a key if its retention has not ended. Reads the newest segment first. */
  find(key: string, nowMs: number): Effect.Effect<TrackedClaim | undefined, SegmentError> {
    return Effect.gen(this, function* () {
      const cached = this.cache.get(key);
      if (cached !== undefined && !isExpired(cached, nowMs)) return cached;
      const fingerprint = keyFingerprint(key);
      for (const {reference, index} of [...this.segments].reverse()) {
        if (isSegmentExpired(reference, nowMs) || !indexContains(index, fingerprint)) continue;
        const claims = yield* this.store.readClaims(reference.name);
        if (claims === undefined) {
          this.isSegmentMissing = true;
          return yield* new StoreUnavailableError({
            detail: `segment "${reference.name}" does not exist`,
          });
        }
        const claim = claims.find(candidate => candidate.key === key);
        if (claim !== undefined && !isExpired(claim, nowMs)) return this.cacheClaim(claim);
      }
      return undefined;
    });
  }

  /** Caches a claim, so that repeated requests for its key read the segment once. */
  private cacheClaim(claim: TrackedClaim): TrackedClaim {
    const oldest = this.cache.keys().next();
    if (this.cache.size >= maxCachedClaims && !oldest.done) this.cache.delete(oldest.value);
    this.cache.set(claim.key, claim);
    return claim;
  }
}

function toIndexedSegment(
  reference: SegmentReference,
  bytes: Uint8Array | undefined,
): Effect.Effect<IndexedSegment, SegmentError> {
  if (bytes === undefined) {
    // Another owner has since replaced the checkpoint and removed the segment. The next replay reads its checkpoint.
    const detail = `the index of segment "${reference.name}" does not exist`;
    return Effect.fail(new StoreUnavailableError({detail}));
  }
  const index = decodeIndex(reference, bytes);
  return index === undefined
    ? Effect.fail(
        new InvalidClaimRecordError({
          detail: `the index of segment "${reference.name}" has a wrong size`,
        }),
      )
    : Effect.succeed({reference, index});
}

function isSegmentExpired(reference: SegmentReference, nowMs: number): boolean {
  return isExpired({claimedAtMs: reference.newestAtMs}, nowMs);
}
