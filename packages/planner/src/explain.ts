/**
 * Request ids that explain a refusal. A refused request's id ends in a signed token with the facts of the
 * decision, so any instance can explain it after the refusing instance is gone.
 */
import {ResultError, resultCodeByNumber, resultCodes} from '@cuminsill/types';
import type {ExplainReply} from '@cuminsill/types';
import {explainToPerson} from './explanation_texts';
import {equalSignatures, sign} from './sign';
import type {SigningKey} from './sign';

/** What led to a refusal. */
export interface RefusalFacts {
  readonly code: number;
  /** Milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly serviceId: string;
  /** Region whose targets were asked for, or the caller's region; empty when unknown. */
  readonly regionId: string;
  readonly configVersion: number;
  readonly instanceId: string;
  /** Figures that led to the decision; cut to {@link maxDetailBytes}. */
  readonly detail: string;
}

/** Longest detail in a token, in bytes of UTF-8; it keeps a request id within one header line. */
export const maxDetailBytes = 120;

/** Identifiers have at most 64 characters; more is cut so that one length byte suffices. */
const maxNameBytes = 64;

/** 128 of the 256 bits of HMAC-SHA-256 (RFC 2104 allows truncation to half). */
const signatureBytes = 16;

/** Neither identifiers nor base64url contain this character, and URLs need no escape for it. */
const separator = '~';

const tokenVersion = 1;
const headerBytes = 1 + 2 + 6 + 6;
const refusalPurpose = 'cuminsill refusal v1';

/**
 * Makes a request id that no other instance or run of this instance makes.
 * @param counter Number of the request since the process started.
 * @param bootTimeMs Start of the process in milliseconds since the Unix epoch.
 */
export function makeRequestId(instanceId: string, counter: number, bootTimeMs: number): string {
  return `${instanceId}-${bootTimeMs.toString(36)}-${counter.toString(36)}`;
}

/** Appends a signed token to a request id. The signature covers the request id too. */
export function sealRefusal(requestId: string, facts: RefusalFacts, key: SigningKey): string {
  const payload = encodeFacts(facts);
  const signature = signatureOf(requestId, payload, key);
  return `${requestId}${separator}${Buffer.concat([payload, signature]).toString('base64url')}`;
}

/**
 * Reads a sealed request id and explains the refusal. Returns ResultError with code malformedRequest for an id
 * without a token, and for one that is forged or damaged.
 */
export function openRefusal(text: string, key: SigningKey): ExplainReply | ResultError {
  const split = text.lastIndexOf(separator);
  if (split < 0) return invalidId('it carries no token; only refused requests can be explained');
  const requestId = text.slice(0, split);
  const encoded = text.slice(split + 1);
  const token = Buffer.from(encoded, 'base64url');
  // Decoding skips characters that are not base64url, so a damaged text could decode to a valid token.
  if (token.toString('base64url') !== encoded) return invalidId('its token is damaged');
  const payload = token.subarray(0, Math.max(0, token.length - signatureBytes));
  const found = token.subarray(payload.length);
  if (!equalSignatures(signatureOf(requestId, payload, key), found)) {
    return invalidId('its token was not signed by this system, or is damaged');
  }
  const facts = decodeFacts(payload);
  const result = facts === undefined ? undefined : resultCodeByNumber(facts.code);
  if (facts === undefined || result === undefined) {
    return invalidId('its token comes from another version of this system');
  }
  return {
    requestId: text,
    code: result.code,
    name: result.name,
    outcome: result.outcome,
    reason: explainToPerson(result, facts.serviceId, facts.atMs),
    detail: facts.regionId === '' ? facts.detail : `region ${facts.regionId}: ${facts.detail}`,
    atMs: facts.atMs,
    serviceId: facts.serviceId,
    instanceId: facts.instanceId,
    configVersion: facts.configVersion,
    source: 'request-id',
  };
}

function invalidId(why: string): ResultError {
  return new ResultError(
    resultCodes.malformedRequest,
    `The request id cannot be explained: ${why}.`,
  );
}

function signatureOf(requestId: string, payload: Uint8Array, key: SigningKey): Uint8Array {
  const content = Buffer.concat([Buffer.from(`${requestId}\n`), payload]);
  return sign(key, refusalPurpose, content).subarray(0, signatureBytes);
}

function encodeFacts(facts: RefusalFacts): Buffer {
  const header = Buffer.alloc(headerBytes);
  header.writeUInt8(tokenVersion, 0);
  header.writeUInt16BE(facts.code, 1);
  header.writeUIntBE(Math.max(0, Math.trunc(facts.atMs)), 3, 6);
  header.writeUIntBE(facts.configVersion, 9, 6);
  const texts = [
    lengthPrefixed(facts.serviceId, maxNameBytes),
    lengthPrefixed(facts.regionId, maxNameBytes),
    lengthPrefixed(facts.instanceId, maxNameBytes),
    lengthPrefixed(facts.detail, maxDetailBytes),
  ];
  return Buffer.concat([header, ...texts]);
}

function decodeFacts(payload: Buffer): RefusalFacts | undefined {
  if (payload.length < headerBytes || payload.readUInt8(0) !== tokenVersion) return undefined;
  const texts: string[] = [];
  let offset = headerBytes;
  while (offset < payload.length) {
    const end = offset + 1 + payload.readUInt8(offset);
    texts.push(payload.toString('utf8', offset + 1, end));
    offset = end;
  }
  const [serviceId = '', regionId = '', instanceId = '', detail = ''] = texts;
  return {
    code: payload.readUInt16BE(1),
    atMs: payload.readUIntBE(3, 6),
    configVersion: payload.readUIntBE(9, 6),
    serviceId,
    regionId,
    instanceId,
    detail,
  };
}

function lengthPrefixed(text: string, maxBytes: number): Buffer {
  const bytes = cutUtf8(Buffer.from(text), maxBytes);
  return Buffer.concat([Buffer.from([bytes.length]), bytes]);
}

/** Cuts at a character boundary; bytes of the form 10xxxxxx continue a character. */
function cutUtf8(bytes: Buffer, maxBytes: number): Buffer {
  if (bytes.length <= maxBytes) return bytes;
  let end = maxBytes;
  while (end > 0 && ((bytes[end] ?? 0) & 0xc0) === 0x80) end -= 1;
  return bytes.subarray(0, end);
}
