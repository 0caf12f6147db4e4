/**
 * Bodies of the records, checkpoints and segments of a claim log: JSON (deflated in checkpoints and segments), validated
 * on read. A body that does not match is an error, never a partial record, because a claim that is not seen could be
 * granted twice.
 */
import {digest} from '@cuminsill/utils';
import {Data, Either, Schema} from 'effect';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {ClaimOutcome, ClaimRequest, KeptAnswer} from './claim_types';

/** Largest body of an answer that is kept, in bytes. */
export const maxKeptBodyBytes = 1024;

const maxContentTypeChars = 128;
const claimIdChars = 22;

const answerSchema = Schema.Struct({
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
  answer: Schema.optional(answerSchema),
});

const recordSchema = Schema.Struct({
  ownerInstanceId: Schema.String,
  atMs: Schema.Number,
  takeover: Schema.Boolean,
  outcomes: Schema.Array(outcomeSchema),
  claims: Schema.Array(claimSchema),
});

const checkpointClaimSchema = Schema.Struct({
  ...claimSchema.fields,
  claimedAtMs: Schema.Number,
  status: Schema.Literal('open', 'orphaned', 'unknown', 'run'),
  answer: Schema.optional(answerSchema),
});

const segmentEntrySchema = Schema.Struct({
  name: Schema.String,
  claims: Schema.Int,
  newestAtMs: Schema.Number,
});

const checkpointSchema = Schema.Struct({
  recent: Schema.Array(checkpointClaimSchema),
  released: Schema.Array(Schema.Struct({claimId: Schema.String, atMs: Schema.Number})),
  segments: Schema.Array(segmentEntrySchema),
  removable: Schema.Array(Schema.String),
});

const segmentSchema = Schema.Array(checkpointClaimSchema);

/** A kept answer as a record holds it. */
export type RecordedAnswer = typeof answerSchema.Type;
/** One claim in a record. */
export type RecordedClaim = typeof claimSchema.Type;
/** One outcome in a record. */
export type RecordedOutcome = typeof outcomeSchema.Type;
/** One append to a claim log: the outcomes take effect before the claims. */
export type ShardRecord = typeof recordSchema.Type;
/** A claim with what is known of it. */
export type CheckpointClaim = typeof checkpointClaimSchema.Type;
/** A segment as a checkpoint names it; `newestAtMs` is the time of its newest claim. */
export type SegmentEntry = typeof segmentEntrySchema.Type;
/**
 * All that is known of a shard at one position: the claims that are not in a segment, the ids of released claims,
 * the segments, and the names of segments that no later checkpoint uses and that may still exist.
 */
export type ShardCheckpoint = typeof checkpointSchema.Type;

/** A record or a checkpoint in the store that this version cannot read. */
export class InvalidClaimRecordError extends Data.TaggedError('InvalidClaimRecordError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `a claim record in the store is not valid: ${this.detail}`;
  }
}

/**
 * Id of the claim that a request makes. The entry computes the same id, so that it can withdraw a claim whose
 * grant it never heard of. Each attempt has its own token.
 */
export function claimIdOf(request: ClaimRequest): string {
  const {key, requestDigest, attemptToken, sendDeadlineAtMs} = request;
  return digest(key, requestDigest, attemptToken, String(sendDeadlineAtMs)).slice(0, claimIdChars);
}

/** Encodes a record. */
export function encodeShardRecord(record: ShardRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record));
}

/** Decodes a record. Fails with InvalidClaimRecordError. */
export function decodeShardRecord(
  body: Uint8Array,
): Either.Either<ShardRecord, InvalidClaimRecordError> {
  return decode(recordSchema, body);
}

/** Encodes a checkpoint's state, deflated. */
export function encodeShardCheckpoint(checkpoint: ShardCheckpoint): Uint8Array {
  return deflateRawSync(JSON.stringify(checkpoint));
}

/** Decodes a checkpoint's state. Fails with InvalidClaimRecordError. */
export function decodeShardCheckpoint(
  state: Uint8Array,
): Either.Either<ShardCheckpoint, InvalidClaimRecordError> {
  return inflateAndDecode(checkpointSchema, state);
}

/** Encodes the claims of a segment, deflated. */
export function encodeSegmentBody(claims: readonly CheckpointClaim[]): Uint8Array {
  return deflateRawSync(JSON.stringify(claims));
}

/** Decodes the claims of a segment. Fails with InvalidClaimRecordError. */
export function decodeSegmentBody(
  body: Uint8Array,
): Either.Either<readonly CheckpointClaim[], InvalidClaimRecordError> {
  return inflateAndDecode(segmentSchema, body);
}

/** Turns a reported outcome into its recorded form; a body over {@link maxKeptBodyBytes} is not kept. */
export function toRecordedOutcome(
  key: string,
  claimId: string,
  outcome: ClaimOutcome,
): RecordedOutcome {
  if (outcome.outcome !== 'run') return {key, claimId, outcome: outcome.outcome};
  const {status, contentType, body} = outcome.answer;
  const kept = body !== undefined && body.byteLength <= maxKeptBodyBytes;
  const answer: RecordedAnswer = {
    status,
    contentType: contentType.slice(0, maxContentTypeChars),
    ...(kept ? {bodyBase64: Buffer.from(body).toString('base64')} : {}),
  };
  return {key, claimId, outcome: 'run', answer};
}

/** Turns a recorded answer back into the kept answer. */
export function toKeptAnswer(answer: RecordedAnswer): KeptAnswer {
  const {status, contentType, bodyBase64} = answer;
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
