/** Serves a request that may be sent to targets more than once. */
import type {ResultError} from '@cuminsill/types';
import {Effect} from 'effect';
import {relayAndRelease} from './relay_and_release';
import type {RequestContext, ForwarderDependencies} from './forwarder_types';
import {tryTargetsWithHedging} from './try_targets_with_hedging';
import {tryTargets} from './try_targets';

/** Tries targets within the retry budget and relays the first response. */
export function serveIdempotent(
  deps: ForwarderDependencies,
  context: RequestContext,
): Effect.Effect<void, ResultError> {
  const isRead = context.head.method === 'GET' || context.head.method === 'HEAD';
  const answer = deps.hedging && isRead ? tryTargetsWithHedging : tryTargets;
  return Effect.uninterruptibleMask(restore =>
    Effect.matchEffect(answer(deps, context, restore), {
      onFailure: failed => Effect.fail(failed.refusal),
      onSuccess: targetResponse =>
        Effect.asVoid(relayAndRelease(deps, context, targetResponse, 0, restore)),
    }),
  );
}
