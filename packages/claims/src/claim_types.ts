/**
 * Requests of an entry to the owner of a claim shard, and the owner's answers. `ClaimService` carries the same data
 * between processes.
 */
import type {Effect} from 'effect';

/** The target's response to an operation. It is stored, so that later attempts with the same key get it. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  /** Undefined if the body was too large to be stored. */
  readonly body?: Uint8Array;
}

/** A request for permission to send an operation to a target. */
export interface ClaimRequest {
  readonly key: string;
  /** Digest of method, path and body. */
  readonly requestDigest: string;
  /** Identifies one attempt. No two attempts have the same token. */
  readonly attemptToken: string;
  /** The entry does not send the operation after this time, in milliseconds since the Unix epoch. */
  readonly sendDeadlineAtMs: number;
}

/** The owner's answer to a claim request, or to a question about an operation. */
export type ClaimAnswer =
  | {readonly state: 'granted'; readonly claimId: string}
  | {readonly state: 'in-progress'}
  | {readonly state: 'run'; readonly answer: StoredResponse}
  | {readonly state: 'unknown'}
  /** No claim is recorded, or the last one was released as not run. */
  | {readonly state: 'not-run'}
  | {readonly state: 'key-reused'}
  /** Another instance owns the shard. */
  | {readonly state: 'not-owner'; readonly ownerInstanceId?: string}
  /** The claim could not be read or recorded, or the request is not valid. The operation must not be sent. */
  | {readonly state: 'unavailable'};

/** The outcome of a claimed operation. `not-run` releases the claim, so that the key can be claimed again. */
export type ClaimOutcome =
  | {readonly outcome: 'run'; readonly answer: StoredResponse}
  | {readonly outcome: 'not-run'}
  | {readonly outcome: 'unknown'};

/** The owner's answer to a reported outcome: whether it was recorded. */
export type CompleteAnswer = 'recorded' | 'not-owner' | 'unavailable';

/** The owner's side of claims, which a control process serves for all of its shards. */
export interface ClaimAuthority {
  /** Asks for a claim on a key. `granted` means that the claim is durable. */
  claim(request: ClaimRequest): Effect.Effect<ClaimAnswer>;
  /** Records the outcome of a claimed operation. */
  complete(key: string, claimId: string, outcome: ClaimOutcome): Effect.Effect<CompleteAnswer>;
  /** Returns what is known of the operation with a key. */
  outcomeOf(key: string): Effect.Effect<ClaimAnswer>;
}
