/**
 * Checks an answer whose body has no length: it ends with its connection, also when the target goes down in the middle of it.
 * A target that is still reached has sent the whole body, so the answer is passed on with a length, which shows a caller
 * whether it got all of it.
 */
import {Effect} from 'effect';
import type {GatewayParts} from '../gateway_parts';
import {reaches} from '../targets/reach';
import type {Target} from '../targets/target';
import {lostResponse} from './judge_response';
import type {ExchangeEnd} from './target_exchange';

/** A target that is down refuses connections within a round trip; one that is cut off answers nothing. */
const connectMarginMs = 100;

/** Parts of the gateway that the check needs. */
export type UnframedAnswerParts = Pick<GatewayParts, 'dial' | 'roundTripTimes'>;

/**
 * Returns the end with its answer known to be whole; as it is when the request must not be sent again, so that its caller gets
 * what there is, without a length; or as lost.
 */
export function confirmWhole(
  parts: UnframedAnswerParts,
  end: ExchangeEnd,
  target: Pick<Target, 'address' | 'failureDomain'>,
  mayRunAgain: boolean,
): Effect.Effect<ExchangeEnd> {
  if (end.kind !== 'answered' || end.answer.isSelfDelimited) return Effect.succeed(end);
  const timeoutMs = parts.roundTripTimes.expectedMs(target.failureDomain) + connectMarginMs;
  return Effect.map(
    Effect.promise(() => reaches(parts.dial, target.address, timeoutMs)),
    isReached => {
      if (isReached) return {...end, answer: {...end.answer, isSelfDelimited: true}};
      return mayRunAgain ? lostResponse('down after an answer without a length') : end;
    },
  );
}
