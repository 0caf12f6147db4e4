/**
 * What an entry asks of the owner of a claim shard. The same shapes travel over `ClaimService`.
 */
import type {Effect} from 'effect';

/** The kept answer of an operation. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Undefined when the body was too large to keep. */
  readonly body?: Uint8Array;
}

/** Asks for the right to send one operation. */
export interface ClaimRequest {
  readonly key: string;
  /** Digest of method, path and body. */
  readonly requestDigest: string;
  /** Names one attempt; no two attempts share it. */
  readonly attemptToken: string;
  /** Milliseconds since the Unix epoch after which the entry does not send. */
  readonly sendDeadlineAtMs: number;
}

/** What is known of an operation. */
export type ClaimAnswer =
  | {readonly state: 'granted'; readonly claimId: string}
  | {readonly state: 'in-progress'}
  | {readonly state: 'run'; readonly answer: KeptAnswer}
  | {readonly state: 'unknown'}
  /** No claim is recorded, or the last one was released as not run. */
  | {readonly state: 'not-run'}
  | {readonly state: 'key-reused'}
  /** Another instance owns the shard. */
  | {readonly state: 'not-owner'; readonly ownerInstanceId?: string}
  /** The store did not keep the claim; the operation must not be sent. */
  | {readonly state: 'unavailable'};

/** How a claimed operation ended. `not-run` releases the claim. */
export type ClaimOutcome =
  | {readonly outcome: 'run'; readonly answer: KeptAnswer}
  | {readonly outcome: 'not-run'}
  | {readonly outcome: 'unknown'};

/** Whether an outcome was recorded. */
export type CompleteAnswer = 'recorded' | 'not-owner' | 'unavailable';

/** The owner's side, as a control process offers it for all shards. */
export interface ClaimAuthority {
  claim(request: ClaimRequest): Effect.Effect<ClaimAnswer>;
  complete(key: string, claimId: string, outcome: ClaimOutcome): Effect.Effect<CompleteAnswer>;
  outcomeOf(key: string): Effect.Effect<ClaimAnswer>;
}
