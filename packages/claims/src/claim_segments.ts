/**
 * Segments of a claim shard: immutable objects that hold finished claims. Each segment has a small index object with
 * one fingerprint per key, so that a new owner learns which keys are claimed without reading the claims themselves.
 */
import {createHash, randomUUID} from 'node:crypto';
import type {SegmentReference, TrackedClaim} from './claim_records';
import {encodeSegmentBody} from './claim_records';

/** Maximum size of a segment object in bytes. The store's limit is a megabyte. */
export const maxSegmentBytes = 900_000;

/** A segment that is ready to be written: its reference in the checkpoint, the sorted fingerprints and the claims. */
export interface NewSegment {
  readonly reference: SegmentReference;
  readonly index: Float64Array;
  readonly body: Uint8Array;
}

const positionDigits = 12;
const twoTo32 = 2 ** 32;
const unusedHighBits = 11;
// The id, the digest, the digits of the time and the separators of a claim, which do not compress well.
const fixedBytesPerClaim = 130;

/**
 * The fingerprint of a key: 53 bits of its SHA-256, which fit exactly in a JavaScript number. If two keys have the
 * same fingerprint, one segment is read needlessly; the keys themselves are compared there.
 */
export function keyFingerprint(key: string): number {
  const sha256 = createHash('sha256').update(key).digest();
  return (sha256.readUInt32BE(0) >>> unusedHighBits) * twoTo32 + sha256.readUInt32BE(4);
}

/** Estimates the maximum number of bytes that a claim takes in a compressed segment. */
export function estimateClaimBytes(claim: TrackedClaim): number {
  const {answer, key} = claim;
  const bodyBytes = ((answer?.bodyBase64?.length ?? 0) * 3) / 4;
  return fixedBytesPerClaim + key.length + bodyBytes + (answer?.contentType.length ?? 0);
}

/**
 * Divides the claims into segments of at most {@link maxSegmentBytes}.
 * @param position Log position at which the claims were read from the table. The names of segments sort by it.
 */
export function buildSegments(
  claims: readonly TrackedClaim[],
  position: number,
): readonly NewSegment[] {
  if (claims.length === 0) return [];
  const body = encodeSegmentBody(claims);
  if (body.byteLength > maxSegmentBytes && claims.length > 1) {
    const half = Math.ceil(claims.length / 2);
    return [
      ...buildSegments(claims.slice(0, half), position),
      ...buildSegments(claims.slice(half), position),
    ];
  }
  const name = `${String(position).padStart(positionDigits, '0')}-${randomUUID()}`;
  const newestAtMs = claims.reduce((newest, claim) => Math.max(newest, claim.claimedAtMs), 0);
  const index = Float64Array.from(claims, claim => keyFingerprint(claim.key)).sort();
  return [{reference: {name, claims: claims.length, newestAtMs}, index, body}];
}

/** Whether a sorted index contains a fingerprint (binary search). */
export function indexContains(index: Float64Array, fingerprint: number): boolean {
  let low = 0;
  let high = index.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((index[middle] as number) < fingerprint) low = middle + 1;
    else high = middle;
  }
  return index[low] === fingerprint;
}

/** Returns the bytes of an index object, in the platform's byte order: little-endian wherever Node.js runs. */
export function encodeIndex(index: Float64Array): Uint8Array {
  return new Uint8Array(index.buffer, index.byteOffset, index.byteLength);
}

/** Decodes an index object. Returns undefined if its size does not match the number of claims in the segment. */
export function decodeIndex(
  reference: SegmentReference,
  bytes: Uint8Array,
): Float64Array | undefined {
  if (bytes.byteLength !== reference.claims * Float64Array.BYTES_PER_ELEMENT) return undefined;
  // Copied, because the bytes may be part of a larger buffer at an offset that Float64Array does not accept.
  return new Float64Array(Uint8Array.from(bytes).buffer);
}
