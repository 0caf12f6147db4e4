/**
 * Encodes values that may exceed the store's size limit for one object. A small value is stored inline. A larger one
 * is compressed and, when it is still too large, split into immutable part objects; the encoded value then lists the
 * keys of its parts.
 *
 * The parts are written before the value that lists them, under a unique name, so every reader of the value finds
 * all of them. A writer that fails leaves parts that no value lists;
 * {@link LargeValueStore.removeUnreferencedParts} removes these together with the parts of replaced values.
 */
import {createHash, randomUUID} from 'node:crypto';
import {promisify} from 'node:util';
import {gunzip, gzip} from 'node:zlib';
import type {PlatformStore, StoreWriteError} from '@cuminsill/store';
import {StoreUnavailableError} from '@cuminsill/store';
import {Effect} from 'effect';

/** Maximum size of one object in bytes. Leaves room for the log's header below the store's limit. */
export const maxObjectBytes = 900_000;

/** Maximum size of a value after decompression; limits the memory that a reader needs. */
const maxDecompressedBytes = 64_000_000;

const positionDigits = 12;

// The first byte of a stored value tells how the rest is encoded.
const inlineTag = 0;
const gzipTag = 1;
const partListTag = 2;

interface PartList {
  readonly keys: readonly string[];
  readonly sha256: string;
}

const gzipAsync = promisify(gzip);
const gunzipAsync = promisify(gunzip);

/** Writes and reads values that may be larger than one object of the store. */
export class LargeValueStore {
  /** @param keyPrefix Key prefix of the parts, with a trailing slash. */
  constructor(
    private readonly store: PlatformStore,
    private readonly keyPrefix: string,
  ) {}

  /** Returns the encoded value; writes its parts to the store first when it needs any. */
  write(position: number, value: Uint8Array): Effect.Effect<Uint8Array, StoreWriteError> {
    return Effect.gen(this, function* () {
      if (value.byteLength < maxObjectBytes) return withTag(inlineTag, value);
      const compressed = yield* Effect.promise(() => gzipAsync(value, {level: 1}));
      if (compressed.byteLength < maxObjectBytes) return withTag(gzipTag, compressed);
      const name = `${this.positionKeyPrefix(position)}-${randomUUID()}`;
      const keys: string[] = [];
      for (let start = 0; start < compressed.byteLength; start += maxObjectBytes) {
        const key = `${name}/${String(keys.length).padStart(4, '0')}`;
        yield* this.store.create(key, compressed.subarray(start, start + maxObjectBytes));
        keys.push(key);
      }
      const list: PartList = {keys, sha256: sha256(compressed)};
      return withTag(partListTag, Buffer.from(JSON.stringify(list)));
    });
  }

  /** Decodes a stored value and reads its parts. Fails when a part is missing or does not match its digest. */
  read(stored: Uint8Array): Effect.Effect<Uint8Array, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const content = stored.subarray(1);
      if (stored[0] === inlineTag) return content;
      if (stored[0] === gzipTag) return yield* decompress(content);
      const list = yield* Effect.try({
        try: () => parsePartList(stored),
        catch: error => new StoreUnavailableError({detail: String(error)}),
      });
      const parts: Uint8Array[] = [];
      for (const key of list.keys) {
        const part = yield* this.store.get(key);
        if (part === undefined) {
          return yield* new StoreUnavailableError({detail: `part "${key}" does not exist`});
        }
        parts.push(part.value);
      }
      const joined = Buffer.concat(parts);
      if (sha256(joined) !== list.sha256) {
        return yield* new StoreUnavailableError({detail: 'the parts do not match their digest'});
      }
      return yield* decompress(joined);
    });
  }

  /**
   * Removes the parts of positions below `position`, except those that the `retained` value lists. Returns how many
   * were removed. The caller must ensure that no reader still uses a value from below the position.
   */
  removeUnreferencedParts(
    position: number,
    retained: Uint8Array | undefined,
  ): Effect.Effect<number, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const retainedKeys = new Set(
        retained !== undefined && retained[0] === partListTag ? parsePartList(retained).keys : [],
      );
      let removedCount = 0;
      let afterKey = this.keyPrefix;
      for (;;) {
        // Lists one part at a time, because a list call returns the content of each object.
        const [part] = yield* this.store.list(this.keyPrefix, afterKey, 1);
        if (part === undefined || part.key >= this.positionKeyPrefix(position)) return removedCount;
        afterKey = part.key;
        if (retainedKeys.has(part.key)) continue;
        yield* this.store.remove(part.key, part.version).pipe(
          // Another instance removed the part, or the next call finds it again.
          Effect.catchTags({
            StoreConflictError: () => Effect.void,
            StoreAmbiguousError: () => Effect.void,
          }),
        );
        removedCount += 1;
      }
    });
  }

  private positionKeyPrefix(position: number): string {
    return `${this.keyPrefix}${String(position).padStart(positionDigits, '0')}`;
  }
}

function withTag(tag: number, content: Uint8Array): Uint8Array {
  return Buffer.concat([Buffer.from([tag]), content]);
}

function parsePartList(stored: Uint8Array): PartList {
  const list = JSON.parse(Buffer.from(stored.subarray(1)).toString('utf8')) as PartList;
  const isValid =
    stored[0] === partListTag &&
    Array.isArray(list.keys) &&
    list.keys.every(key => typeof key === 'string') &&
    typeof list.sha256 === 'string';
  if (!isValid) throw new Error('the list of parts is not valid');
  return list;
}

function decompress(compressed: Uint8Array): Effect.Effect<Uint8Array, StoreUnavailableError> {
  return Effect.tryPromise({
    try: () => gunzipAsync(compressed, {maxOutputLength: maxDecompressedBytes}),
    catch: error =>
      new StoreUnavailableError({detail: `the value cannot be decompressed: ${String(error)}`}),
  });
}

function sha256(value: Uint8Array): string {
  return createHash('sha256').update(value).digest('base64url');
}
