/**
 * Hashes. `hash32` spreads keys over owners and shards; `digest` identifies content.
 */
import {createHash} from 'node:crypto';

/** 32-bit FNV-1a with a final avalanche step, so that similar keys land far apart. Returns an unsigned integer. */
export function hash32(text: string, seed = 0): number {
  let hash = (0x811c9dc5 ^ seed) >>> 0;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return avalanche(hash);
}

/** Hash of a pair whose parts were hashed before; costs no text for each pair. Returns an unsigned integer. */
export function combineHashes(first: number, second: number): number {
  return avalanche(first ^ Math.imul(second, 0x9e3779b1));
}

function avalanche(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** SHA-256 of the parts, separated unambiguously, as base64url. */
export function digest(...parts: ReadonlyArray<string | Uint8Array>): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${part.length}:`);
    hash.update(part);
  }
  return hash.digest('base64url');
}
