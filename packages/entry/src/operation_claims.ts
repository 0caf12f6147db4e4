/** What forwarding needs of claims; the claim session implements it over the links to the shard owners. */
import type {ClaimAnswer, ClaimOutcome} from '@cuminsill/claims';
import type {Effect} from 'effect';

/** Claims of non-idempotent operations. */
export interface OperationClaims {
  /** Asks for the right to send the operation once. */
  claim(key: string, requestDigest: string, sendDeadlineAtMs: number): Effect.Effect<ClaimAnswer>;
  /** Reports how the operation ended; keeps trying in the background for a while. */
  complete(key: string, claimId: string, outcome: ClaimOutcome): Effect.Effect<void>;
  /** What is known of the operation. */
  outcomeOf(key: string): Effect.Effect<ClaimAnswer>;
}
