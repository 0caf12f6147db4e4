/**
 * Keeps the outcome `not-run` true for operations that earlier attempts may have run. A granted claim proves that no
 * earlier attempt ran, so a later refusal holds for the whole operation. A refusal without a granted claim holds for the
 * current attempt only, unless the caller states that this is the first attempt.
 */
import type {IncomingMessage} from 'node:http';
import {ResultError, resultCodes} from '@cuminsill/types';

/** A refusal after the claim was granted, which proves that no earlier attempt ran. */
export class RefusalAfterClaim extends ResultError {
  /** @param refusal The refusal that the caller receives. */
  constructor(refusal: ResultError) {
    super(refusal.result, refusal.detail, refusal.retryAfterS);
  }
}

/** Header with the number of this attempt among those with the same idempotency key, starting at 1. */
export const attemptHeader = 'x-attempt';

const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Returns the refusal to send: replaces `not-run` by `earlier-attempt-unknown` when an earlier attempt may have run the
 * operation.
 */
export function correctRefusalOutcome(request: IncomingMessage, refusal: ResultError): ResultError {
  if (refusal.result.outcome !== 'not-run' || refusal instanceof RefusalAfterClaim) return refusal;
  const mayHaveEarlierAttempts =
    !safeMethods.has(request.method ?? 'GET') &&
    request.headers['idempotency-key'] !== undefined &&
    request.headers[attemptHeader] !== '1';
  if (!mayHaveEarlierAttempts) return refusal;
  const {code, name} = refusal.result;
  const detail = `This attempt ended with ${code} ${name}. ${refusal.detail}`.trim();
  return new ResultError(resultCodes.earlierAttemptUnknown, detail, refusal.retryAfterS);
}
