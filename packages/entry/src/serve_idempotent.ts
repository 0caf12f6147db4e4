/** Serves a request that may be sent more than once. */
import type {ResultError} from '@cuminsill/types';
import {Effect} from 'effect';
import {finishAnswer} from './relay_and_release';
import type {Flight, ForwarderParts} from './forwarder_types';
import {hedgedAnswer} from './try_targets_with_hedging';
import {tryTargets} from './try_targets';

/** Tries targets within the retry budget and relays the first response. */
export function serveIdempotent(
  parts: ForwarderParts,
  flight: Flight,
): Effect.Effect<void, ResultError> {
  const isRead = flight.call.method === 'GET' || flight.call.method === 'HEAD';
  const answer = parts.hedging && isRead ? hedgedAnswer : tryTargets;
  return Effect.uninterruptibleMask(restore =>
    Effect.matchEffect(answer(parts, flight, restore), {
      onFailure: failed => Effect.fail(failed.refusal),
      onSuccess: answered => Effect.asVoid(finishAnswer(parts, flight, answered, 0, restore)),
    }),
  );
}
