/**
 * Hash functions. `hash32` distributes keys among owners and shards; `digest` identifies content.
 */
import {createHash} from 'node:crypto';

/**
 * 32-bit FNV-1a followed by the finalizer of MurmurHash3, so that similar keys get unrelated hashes. Returns an
 * unsigned integer.
 */
export function hash32(text: string, seed = 0): number {
  let hash = (0x811c9dc5 ^ seed) >>> 0;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return finalizeHash(hash);
}

/** Hash of a pair of hashes, without building a string for the pair. Returns an unsigned integer. */
export function combineHashes(first: number, second: number): number {
  return finalizeHash(first ^ Math.imul(second, 0x9e3779b1));
}

/** The 32-bit finalizer of MurmurHash3: every input bit affects every output bit. */
function finalizeHash(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** SHA-256 of the parts in base64url. Each part is preceded by its length, so other splits give other digests. */
export function digest(...parts: ReadonlyArray<string | Uint8Array>): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${part.length}:`);
    hash.update(part);
  }
  return hash.digest('base64url');
}
