/** Digests and signatures over structured content. */
import {createHmac, timingSafeEqual} from 'node:crypto';

/** Secret that all instances of a deployment share. */
export type SigningKey = string | Uint8Array;

/** JSON with sorted keys, so that the same content gives the same text on every instance. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, entry: unknown) => {
    if (typeof entry !== 'object' || entry === null || Array.isArray(entry)) return entry;
    return Object.fromEntries(Object.entries(entry).sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

/**
 * HMAC-SHA-256 of the content.
 * @param purpose Separates uses of one key, so that a signature for one cannot serve for another.
 */
export function sign(key: SigningKey, purpose: string, content: string | Uint8Array): Buffer {
  return createHmac('sha256', key).update(`${purpose}\n`).update(content).digest();
}

/** Compares in constant time, so that response times say nothing about the expected signature. */
export function equalSignatures(expected: Uint8Array, found: Uint8Array): boolean {
  return expected.length === found.length && timingSafeEqual(expected, found);
}
