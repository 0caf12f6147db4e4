/**
 * Values that may be larger than the store allows. A small value is stored in place. A larger one is compressed
 * and, when it is still too large, cut into part objects that are never changed; the value then names its parts.
 *
 * The parts are written before the value that names them, under a name that no other writer uses, so a reader of
 * the value finds all of them whatever happens in between. A writer that fails leaves parts that nothing names;
 * {@link LargeValues.removeParts} removes these together with the parts of replaced values.
 */
import {createHash, randomUUID} from 'node:crypto';
import {promisify} from 'node:util';
import {gunzip, gzip} from 'node:zlib';
import type {PlatformStore, StoreWriteError} from '@cuminsill/store';
import {StoreUnavailableError} from '@cuminsill/store';
import {Effect} from 'effect';

/** Largest size of one object in bytes; leaves room below the store's limit for the log's own header. */
export const maxObjectBytes = 900_000;

/** Largest size of a whole value after decompression; guards the memory of readers. */
const maxUnzippedBytes = 64_000_000;

const positionDigits = 12;
const inPlace = 0;
const compressed = 1;
const inParts = 2;

interface PartList {
  readonly keys: readonly string[];
  readonly sha256: string;
}

const gzipAsync = promisify(gzip);
const gunzipAsync = promisify(gunzip);

/** Writes and reads values of any size. */
export class LargeValues {
  /** @param prefix Key prefix of the parts, with a trailing slash. */
  constructor(
    private readonly store: PlatformStore,
    private readonly prefix: string,
  ) {}

  /** Stores parts where needed and returns the bytes that stand for the value. */
  write(position: number, value: Uint8Array): Effect.Effect<Uint8Array, StoreWriteError> {
    return Effect.gen(this, function* () {
      if (value.byteLength < maxObjectBytes) return tagged(inPlace, value);
      const zipped = yield* Effect.promise(() => gzipAsync(value, {level: 1}));
      if (zipped.byteLength < maxObjectBytes) return tagged(compressed, zipped);
      const name = `${this.positionKey(position)}-${randomUUID()}`;
      const keys: string[] = [];
      for (let start = 0; start < zipped.byteLength; start += maxObjectBytes) {
        const key = `${name}/${String(keys.length).padStart(4, '0')}`;
        yield* this.store.create(key, zipped.subarray(start, start + maxObjectBytes));
        keys.push(key);
      }
      const list: PartList = {keys, sha256: sha256(zipped)};
      return tagged(inParts, Buffer.from(JSON.stringify(list)));
    });
  }

  /** Reads the value that the bytes stand for. Fails when a part is missing or was changed. */
  read(stored: Uint8Array): Effect.Effect<Uint8Array, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const content = stored.subarray(1);
      if (stored[0] === inPlace) return content;
      if (stored[0] === compressed) return yield* unzip(content);
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
      const whole = Buffer.concat(parts);
      if (sha256(whole) !== list.sha256) {
        return yield* new StoreUnavailableError({detail: 'the parts do not match their digest'});
      }
      return yield* unzip(whole);
    });
  }

  /**
   * Removes the parts of positions below `position`, but not those that the kept value names. The caller makes
   * sure that no reader still uses a value from below the position.
   */
  removeParts(
    position: number,
    kept: Uint8Array | undefined,
  ): Effect.Effect<number, StoreUnavailableError> {
    return Effect.gen(this, function* () {
      const keptKeys = new Set(
        kept !== undefined && kept[0] === inParts ? parsePartList(kept).keys : [],
      );
      let removed = 0;
      let afterKey = this.prefix;
      for (;;) {
        // One at a time, because a list returns the content of each part.
        const [part] = yield* this.store.list(this.prefix, afterKey, 1);
        if (part === undefined || part.key >= this.positionKey(position)) return removed;
        afterKey = part.key;
        if (keptKeys.has(part.key)) continue;
        yield* this.store.remove(part.key, part.version).pipe(
          // Another instance removed it, or it is found again next time.
          Effect.catchTags({
            StoreConflictError: () => Effect.void,
            StoreAmbiguousError: () => Effect.void,
          }),
        );
        removed += 1;
      }
    });
  }

  private positionKey(position: number): string {
    return `${this.prefix}${String(position).padStart(positionDigits, '0')}`;
  }
}

function tagged(tag: number, content: Uint8Array): Uint8Array {
  return Buffer.concat([Buffer.from([tag]), content]);
}

function parsePartList(stored: Uint8Array): PartList {
  const list = JSON.parse(Buffer.from(stored.subarray(1)).toString('utf8')) as PartList;
  const valid =
    stored[0] === inParts &&
    Array.isArray(list.keys) &&
    list.keys.every(key => typeof key === 'string') &&
    typeof list.sha256 === 'string';
  if (!valid) throw new Error('the list of parts is not valid');
  return list;
}

function unzip(zipped: Uint8Array): Effect.Effect<Uint8Array, StoreUnavailableError> {
  return Effect.tryPromise({
    try: () => gunzipAsync(zipped, {maxOutputLength: maxUnzippedBytes}),
    catch: error =>
      new StoreUnavailableError({detail: `the value cannot be decompressed: ${String(error)}`}),
  });
}

function sha256(value: Uint8Array): string {
  return createHash('sha256').update(value).digest('base64url');
}
