/**
 * Keeps "not run" true for operations that may have been attempted before. A refusal of a non-idempotent request speaks for the
 * operation only when its claim was granted, because then no earlier attempt ran. Before that it speaks for this
 * attempt alone, unless the caller says that there was no other.
 */
import type {IncomingMessage} from 'node:http';
import {ResultError, resultCodes} from '@cuminsill/types';

/** A refusal after the claim was granted; no earlier attempt ran. */
export class ClaimedRefusal extends ResultError {
  /** @param refusal What the caller is told. */
  constructor(refusal: ResultError) {
    super(refusal.result, refusal.detail, refusal.retryAfterS);
  }
}

/** Header by which a caller says which attempt with this key it is, from 1. */
export const attemptHeader = 'x-attempt';

const readMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** The refusal to send: one that does not say "not run" of an operation that may have run before. */
export function trueRefusal(request: IncomingMessage, refusal: ResultError): ResultError {
  if (refusal.result.outcome !== 'not-run' || refusal instanceof ClaimedRefusal) return refusal;
  const mayHaveEarlierAttempts =
    !readMethods.has(request.method ?? 'GET') &&
    request.headers['idempotency-key'] !== undefined &&
    request.headers[attemptHeader] !== '1';
  if (!mayHaveEarlierAttempts) return refusal;
  const {code, name} = refusal.result;
  const detail = `This attempt ended with ${code} ${name}. ${refusal.detail}`.trim();
  return new ResultError(resultCodes.earlierAttemptUnknown, detail, refusal.retryAfterS);
}
