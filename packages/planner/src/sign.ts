/** Canonical JSON and HMAC signatures. */
import {createHmac, timingSafeEqual} from 'node:crypto';

/** Secret key that all instances of a deployment share. */
export type SigningKey = string | Uint8Array;

/** Serializes to JSON with sorted keys, so that equal content gives the same text on every instance. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, entry: unknown) => {
    if (typeof entry !== 'object' || entry === null || Array.isArray(entry)) return entry;
    return Object.fromEntries(Object.entries(entry).sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

/**
 * Computes the HMAC-SHA-256 of the content.
 * @param purpose Domain separation: a signature for one purpose is not valid for another.
 */
export function sign(key: SigningKey, purpose: string, content: string | Uint8Array): Buffer {
  return createHmac('sha256', key).update(`${purpose}\n`).update(content).digest();
}

/** Compares in constant time, so that response times reveal nothing about the expected signature. */
export function equalSignatures(expected: Uint8Array, actual: Uint8Array): boolean {
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
