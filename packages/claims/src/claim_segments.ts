/**
 * Segments of a claim shard: finished claims in immutable objects. Each segment has a small index object with one
 * fingerprint per key, so that a new owner learns which keys are held without reading the claims themselves.
 */
import {createHash, randomUUID} from 'node:crypto';
import type {CheckpointClaim, SegmentEntry} from './claim_records';
import {encodeSegmentBody} from './claim_records';

/** Largest size of a segment object in bytes; the store's limit is a megabyte. */
export const maxSegmentBytes = 900_000;

/** A segment that is ready to be written. */
export interface ClosedSegment {
  readonly entry: SegmentEntry;
  readonly index: Float64Array;
  readonly body: Uint8Array;
}

const positionDigits = 12;
const twoTo32 = 2 ** 32;
const unusedHighBits = 11;
// Ids and digests of a claim, the digits of its time and the separators, which do not compress well.
const fixedBytesPerClaim = 130;

/**
 * 53 bits of a key's SHA-256, exact in a number. Two keys with the same fingerprint cost one read of a segment,
 * which compares the keys themselves.
 */
export function keyFingerprint(key: string): number {
  const sha256 = createHash('sha256').update(key).digest();
  return (sha256.readUInt32BE(0) >>> unusedHighBits) * twoTo32 + sha256.readUInt32BE(4);
}

/** Bytes that a claim takes at most in a compressed segment, estimated. */
export function claimBytes(claim: CheckpointClaim): number {
  const {answer, key} = claim;
  const bodyBytes = ((answer?.bodyBase64?.length ?? 0) * 3) / 4;
  return fixedBytesPerClaim + key.length + bodyBytes + (answer?.contentType.length ?? 0);
}

/**
 * Makes segments of the claims, each below {@link maxSegmentBytes}.
 * @param position Position of the log that the claims were taken at; orders the segments of a shard.
 */
export function closeSegments(
  claims: readonly CheckpointClaim[],
  position: number,
): readonly ClosedSegment[] {
  if (claims.length === 0) return [];
  const body = encodeSegmentBody(claims);
  if (body.byteLength > maxSegmentBytes && claims.length > 1) {
    const half = Math.ceil(claims.length / 2);
    return [
      ...closeSegments(claims.slice(0, half), position),
      ...closeSegments(claims.slice(half), position),
    ];
  }
  const name = `${String(position).padStart(positionDigits, '0')}-${randomUUID()}`;
  const newestAtMs = claims.reduce((newest, claim) => Math.max(newest, claim.claimedAtMs), 0);
  const index = Float64Array.from(claims, claim => keyFingerprint(claim.key)).sort();
  return [{entry: {name, claims: claims.length, newestAtMs}, index, body}];
}

/** Whether a sorted index holds a fingerprint. */
export function indexHolds(index: Float64Array, fingerprint: number): boolean {
  let low = 0;
  let high = index.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((index[middle] as number) < fingerprint) low = middle + 1;
    else high = middle;
  }
  return index[low] === fingerprint;
}

/** The bytes of an index object: little-endian, as on every platform that Node.js supports. */
export function encodeIndex(index: Float64Array): Uint8Array {
  return new Uint8Array(index.buffer, index.byteOffset, index.byteLength);
}

/** The index that an index object holds; undefined when its size does not match the segment. */
export function decodeIndex(entry: SegmentEntry, bytes: Uint8Array): Float64Array | undefined {
  if (bytes.byteLength !== entry.claims * Float64Array.BYTES_PER_ELEMENT) return undefined;
  // A copy, because the bytes may be a part of a larger buffer at any offset.
  return new Float64Array(Uint8Array.from(bytes).buffer);
}
