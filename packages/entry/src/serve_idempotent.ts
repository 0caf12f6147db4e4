/** Serves a request that may be sent more than once. */
import type {ResultError} from '@cuminsill/types';
import {Effect} from 'effect';
import {finishAnswer} from './finish_answer';
import type {Flight, ForwarderParts} from './forwarder_parts';
import {tryTargets} from './try_targets';

/** Tries targets within the retry budget and relays the first response. */
export function serveIdempotent(
  parts: ForwarderParts,
  flight: Flight,
): Effect.Effect<void, ResultError> {
  return Effect.gen(function* () {
    const answered = yield* tryTargets(parts, flight).pipe(
      Effect.mapError(failed => failed.refusal),
    );
    yield* finishAnswer(parts, flight, answered, 0);
  });
}
