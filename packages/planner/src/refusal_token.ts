/**
 * Request ids that explain a refusal. The id of a refused request ends in a signed token with the facts of the
 * decision, so any instance can explain the refusal, even when the instance that refused the request is gone.
 */
import {ResultError, resultCodeByNumber, resultCodes} from '@cuminsill/types';
import type {ExplainReply} from '@cuminsill/types';
import {explainToUser} from './explanation_texts';
import {equalSignatures, sign} from './sign';
import type {SigningKey} from './sign';

/** The facts of a refusal that its token carries. */
export interface RefusalFacts {
  readonly code: number;
  /** Milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly serviceId: string;
  /** Region of the targets that were to serve the request, or the caller's region; empty when unknown. */
  readonly regionId: string;
  readonly configVersion: number;
  readonly instanceId: string;
  /** Values that led to the decision; truncated to {@link maxRefusalDetailBytes}. */
  readonly detail: string;
}

/** Maximum length of the detail in a token, in bytes of UTF-8, so that a request id fits into a header line. */
export const maxRefusalDetailBytes = 120;

/** Ids have at most 64 characters; longer ones are truncated, because their length is encoded in one byte. */
const maxIdBytes = 64;

/** 128 of the 256 bits of HMAC-SHA-256 (RFC 2104 allows truncation to half). */
const signatureBytes = 16;

/** Separates the token. Ids and base64url never contain this character, and URLs need not escape it. */
const tokenSeparator = '~';

const tokenVersion = 1;
/** Token version, result code, time and configuration version. */
const headerBytes = 1 + 2 + 6 + 6;
const refusalSignaturePurpose = 'cuminsill refusal v1';

/**
 * Makes a request id that is unique across instances and restarts.
 * @param counter Number of the request, counted from the start of the process.
 * @param processStartedAtMs Start of the process in milliseconds since the Unix epoch.
 */
export function makeRequestId(
  instanceId: string,
  counter: number,
  processStartedAtMs: number,
): string {
  return `${instanceId}-${processStartedAtMs.toString(36)}-${counter.toString(36)}`;
}

/** Appends a signed token to a request id. The signature also covers the request id. */
export function appendRefusalToken(
  requestId: string,
  facts: RefusalFacts,
  key: SigningKey,
): string {
  const payload = encodeFacts(facts);
  const signature = signatureOf(requestId, payload, key);
  return `${requestId}${tokenSeparator}${Buffer.concat([payload, signature]).toString('base64url')}`;
}

/**
 * Verifies the token of a request id and explains the refusal. Returns ResultError with code malformedRequest for an
 * id without a token, and for a forged or damaged one.
 */
export function explainRefusedRequest(
  requestIdWithToken: string,
  key: SigningKey,
): ExplainReply | ResultError {
  const splitIndex = requestIdWithToken.lastIndexOf(tokenSeparator);
  if (splitIndex < 0) return invalidId('it has no token; only refused requests can be explained');
  const requestId = requestIdWithToken.slice(0, splitIndex);
  const encodedToken = requestIdWithToken.slice(splitIndex + 1);
  const token = Buffer.from(encodedToken, 'base64url');
  // Buffer.from skips characters that are not base64url, so a damaged id could still decode to a valid token.
  if (token.toString('base64url') !== encodedToken) return invalidId('its token is damaged');
  const payload = token.subarray(0, Math.max(0, token.length - signatureBytes));
  const actualSignature = token.subarray(payload.length);
  if (!equalSignatures(signatureOf(requestId, payload, key), actualSignature)) {
    return invalidId('its token was not signed by this system, or is damaged');
  }
  const facts = decodeFacts(payload);
  const result = facts === undefined ? undefined : resultCodeByNumber(facts.code);
  if (facts === undefined || result === undefined) {
    return invalidId('its token comes from another version of this system');
  }
  return {
    requestId: requestIdWithToken,
    code: result.code,
    name: result.name,
    outcome: result.outcome,
    reason: explainToUser(result, facts.serviceId, facts.atMs),
    detail: facts.regionId === '' ? facts.detail : `region ${facts.regionId}: ${facts.detail}`,
    atMs: facts.atMs,
    serviceId: facts.serviceId,
    instanceId: facts.instanceId,
    configVersion: facts.configVersion,
    source: 'request-id',
  };
}

function invalidId(cause: string): ResultError {
  return new ResultError(
    resultCodes.malformedRequest,
    `The request id cannot be explained: ${cause}.`,
  );
}

function signatureOf(requestId: string, payload: Uint8Array, key: SigningKey): Uint8Array {
  const content = Buffer.concat([Buffer.from(`${requestId}\n`), payload]);
  return sign(key, refusalSignaturePurpose, content).subarray(0, signatureBytes);
}

function encodeFacts(facts: RefusalFacts): Buffer {
  const header = Buffer.alloc(headerBytes);
  header.writeUInt8(tokenVersion, 0);
  header.writeUInt16BE(facts.code, 1);
  header.writeUIntBE(Math.max(0, Math.trunc(facts.atMs)), 3, 6);
  header.writeUIntBE(facts.configVersion, 9, 6);
  const texts = [
    lengthPrefixed(facts.serviceId, maxIdBytes),
    lengthPrefixed(facts.regionId, maxIdBytes),
    lengthPrefixed(facts.instanceId, maxIdBytes),
    lengthPrefixed(facts.detail, maxRefusalDetailBytes),
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
  const bytes = truncateUtf8(Buffer.from(text), maxBytes);
  return Buffer.concat([Buffer.from([bytes.length]), bytes]);
}

/** Truncates at a character boundary; bytes of the form 10xxxxxx are continuation bytes of a character. */
function truncateUtf8(bytes: Buffer, maxBytes: number): Buffer {
  if (bytes.length <= maxBytes) return bytes;
  let end = maxBytes;
  while (end > 0 && ((bytes[end] ?? 0) & 0xc0) === 0x80) end -= 1;
  return bytes.subarray(0, end);
}
