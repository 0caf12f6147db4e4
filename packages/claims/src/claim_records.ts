/**
 * Encoding of the records, checkpoints and segments of a claim log: JSON, deflated in checkpoints and segments, and
 * validated on read. Data that does not match the schema is an error and is never read in part, because a claim that
 * is overlooked could be granted twice.
 */
import {digest} from '@cuminsill/utils';
import {Data, Either, Schema} from 'effect';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {ClaimOutcome, ClaimRequest, StoredResponse} from './claim_types';

/** Maximum size in bytes of a response body that is stored. */
export const maxStoredBodyBytes = 1024;

const maxContentTypeChars = 128;
const claimIdChars = 22;

const responseSchema = Schema.Struct({
  status: Schema.Int,
  contentType: Schema.String,
  bodyBase64: Schema.optional(Schema.String),
});

const claimSchema = Schema.Struct({
  key: Schema.String,
  claimId: Schema.String,
  requestDigest: Schema.String,
});

const outcomeSchema = Schema.Struct({
  key: Schema.String,
  claimId: Schema.String,
  outcome: Schema.Literal('run', 'not-run', 'unknown'),
  answer: Schema.optional(responseSchema),
});

const recordSchema = Schema.Struct({
  ownerInstanceId: Schema.String,
  atMs: Schema.Number,
  takeover: Schema.Boolean,
  outcomes: Schema.Array(outcomeSchema),
  claims: Schema.Array(claimSchema),
});

const trackedClaimSchema = Schema.Struct({
  ...claimSchema.fields,
  claimedAtMs: Schema.Number,
  status: Schema.Literal('open', 'orphaned', 'unknown', 'run'),
  answer: Schema.optional(responseSchema),
});

const segmentReferenceSchema = Schema.Struct({
  name: Schema.String,
  claims: Schema.Int,
  newestAtMs: Schema.Number,
});

const checkpointSchema = Schema.Struct({
  recent: Schema.Array(trackedClaimSchema),
  released: Schema.Array(Schema.Struct({claimId: Schema.String, atMs: Schema.Number})),
  segments: Schema.Array(segmentReferenceSchema),
  removable: Schema.Array(Schema.String),
});

const segmentSchema = Schema.Array(trackedClaimSchema);

/** A target's response as it is stored in a record. */
export type RecordedResponse = typeof responseSchema.Type;
/** A granted claim in a record. */
export type RecordedClaim = typeof claimSchema.Type;
/** A reported outcome in a record. */
export type RecordedOutcome = typeof outcomeSchema.Type;
/** One record of a claim log, written by one append. Its outcomes take effect before its claims. */
export type ShardRecord = typeof recordSchema.Type;
/** A claim with its current status. `orphaned`: granted by a former owner, and no outcome has been reported since. */
export type TrackedClaim = typeof trackedClaimSchema.Type;
/** A checkpoint's reference to a segment. `newestAtMs` is the time of the segment's newest claim. */
export type SegmentReference = typeof segmentReferenceSchema.Type;
/**
 * The state of a shard at one log position: the claims that are not in a segment, the ids of recently released claims,
 * references to the segments, and the names of segments that may still exist and that no later checkpoint references.
 */
export type ShardCheckpoint = typeof checkpointSchema.Type;

/** A record, checkpoint or segment in the store cannot be decoded by this version of the software. */
export class InvalidClaimRecordError extends Data.TaggedError('InvalidClaimRecordError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `a claim record in the store is not valid: ${this.detail}`;
  }
}

/**
 * Returns the id of the claim that a request asks for. Owner and entry compute the same id, so that the entry can
 * withdraw a claim without having received the grant. The id is unique because each attempt has its own token.
 */
export function claimIdOf(request: ClaimRequest): string {
  const {key, requestDigest, attemptToken, sendDeadlineAtMs} = request;
  return digest(key, requestDigest, attemptToken, String(sendDeadlineAtMs)).slice(0, claimIdChars);
}

/** Encodes a log record as JSON. */
export function encodeShardRecord(record: ShardRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record));
}

/** Decodes a log record. Fails with InvalidClaimRecordError. */
export function decodeShardRecord(
  body: Uint8Array,
): Either.Either<ShardRecord, InvalidClaimRecordError> {
  return decode(recordSchema, body);
}

/** Encodes the state of a checkpoint as deflated JSON. */
export function encodeShardCheckpoint(checkpoint: ShardCheckpoint): Uint8Array {
  return deflateRawSync(JSON.stringify(checkpoint));
}

/** Decodes the state of a checkpoint. Fails with InvalidClaimRecordError. */
export function decodeShardCheckpoint(
  state: Uint8Array,
): Either.Either<ShardCheckpoint, InvalidClaimRecordError> {
  return inflateAndDecode(checkpointSchema, state);
}

/** Encodes the claims of a segment as deflated JSON. */
export function encodeSegmentBody(claims: readonly TrackedClaim[]): Uint8Array {
  return deflateRawSync(JSON.stringify(claims));
}

/** Decodes the claims of a segment. Fails with InvalidClaimRecordError. */
export function decodeSegmentBody(
  body: Uint8Array,
): Either.Either<readonly TrackedClaim[], InvalidClaimRecordError> {
  return inflateAndDecode(segmentSchema, body);
}

/** Converts a reported outcome to its form in a record. A body larger than {@link maxStoredBodyBytes} is left out. */
export function toRecordedOutcome(
  key: string,
  claimId: string,
  outcome: ClaimOutcome,
): RecordedOutcome {
  if (outcome.outcome !== 'run') return {key, claimId, outcome: outcome.outcome};
  const {status, contentType, body} = outcome.answer;
  const storesBody = body !== undefined && body.byteLength <= maxStoredBodyBytes;
  const answer: RecordedResponse = {
    status,
    contentType: contentType.slice(0, maxContentTypeChars),
    ...(storesBody ? {bodyBase64: Buffer.from(body).toString('base64')} : {}),
  };
  return {key, claimId, outcome: 'run', answer};
}

/** Converts a response from its form in a record. */
export function toStoredResponse(response: RecordedResponse): StoredResponse {
  const {status, contentType, bodyBase64} = response;
  if (bodyBase64 === undefined) return {status, contentType};
  return {status, contentType, body: new Uint8Array(Buffer.from(bodyBase64, 'base64'))};
}

function inflateAndDecode<A, I>(
  schema: Schema.Schema<A, I>,
  bytes: Uint8Array,
): Either.Either<A, InvalidClaimRecordError> {
  return Either.try({
    try: () => inflateRawSync(bytes),
    catch: error => new InvalidClaimRecordError({detail: String(error)}),
  }).pipe(Either.flatMap(json => decode(schema, json)));
}

function decode<A, I>(
  schema: Schema.Schema<A, I>,
  bytes: Uint8Array,
): Either.Either<A, InvalidClaimRecordError> {
  const decoded = Schema.decodeUnknownEither(Schema.parseJson(schema))(
    Buffer.from(bytes).toString('utf8'),
  );
  return Either.mapLeft(decoded, error => new InvalidClaimRecordError({detail: error.message}));
}
