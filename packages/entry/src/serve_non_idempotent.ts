/**
 * Serves a request that must run at most once: claims the operation, sends it, and reports the outcome.
 *
 * A caller that disconnects does not cancel an operation that may have reached a target: the fiber continues until the
 * outcome is known, so that a later retry or outcome query gets a definite answer. Only the wait for a slot ends when
 * the caller disconnects; the claim is then released with outcome `not-run`.
 */
import type {IncomingMessage} from 'node:http';
import type {ClaimDecision, ClaimOutcome} from '@cuminsill/claims';
import {ResultError, resultCodes} from '@cuminsill/types';
import {Effect, FiberSet, identity} from 'effect';
import {RefusalAfterClaim} from './correct_refusal_outcome';
import {relayAndRelease} from './relay_and_release';
import type {RequestContext, ForwarderDependencies} from './forwarder_types';
import {readBoundedBody} from './relay_response';
import type {LateAttemptEnd} from './send_to_target';
import type {AttemptsFailed} from './try_targets';
import {tryTargets} from './try_targets';

interface GrantedClaim {
  readonly key: string;
  readonly claimId: string;
}

/** Largest response body that is stored with the outcome of an operation, in bytes. */
const maxKeptAnswerBytes = 1024;

/** Serves a request that must run at most once. */
export function serveNonIdempotent(
  deps: ForwarderDependencies,
  context: RequestContext,
): Effect.Effect<void, ResultError> {
  return Effect.gen(function* () {
    const {head} = context;
    const key = head.idempotencyKey ?? '';
    const claim = yield* claimBeforeDeadline(deps, context, key);
    switch (claim.decision) {
      case 'send':
        return yield* sendClaimedOperation(deps, context, {key, claimId: claim.claimId});
      case 'held':
        return yield* answerFromClaim(context, claim.answer);
      case 'not-sent':
        return yield* Effect.fail(refusalsByReason[claim.reason]);
    }
  }).pipe(Effect.uninterruptible);
}

/** Claims the operation. If the claim is not answered by the deadline, the session withdraws it and nothing is sent. */
function claimBeforeDeadline(
  deps: ForwarderDependencies,
  context: RequestContext,
  key: string,
): Effect.Effect<ClaimDecision> {
  const remainingMs = Math.max(0, context.head.deadlineMs - deps.time.monotonicMs());
  return deps.claims
    .claim({
      key,
      requestDigest: context.fingerprint,
      sendDeadlineAtMs: Math.floor(deps.time.nowMs() + remainingMs),
    })
    .pipe(Effect.interruptible);
}

/** Refusals for a claim that was not granted, by the reason of the claim session. */
const refusalsByReason = {
  unavailable: new ResultError(
    resultCodes.claimUnavailable,
    'The claim was not recorded in the store.',
  ),
  'no-owner': new ResultError(
    resultCodes.claimUnavailable,
    'No instance owns the claim shard at the moment.',
  ),
  deadline: new ResultError(resultCodes.deadlineTooShort, 'The claim took the whole time.'),
} as const;

function sendClaimedOperation(
  deps: ForwarderDependencies,
  context: RequestContext,
  grantedClaim: GrantedClaim,
): Effect.Effect<void, ResultError> {
  const reportOutcome: ReportOutcome = outcome => reportInBackground(deps, grantedClaim, outcome);
  return Effect.gen(function* () {
    const targetResponse = yield* tryTargets(deps, context, identity).pipe(
      Effect.tapError(failed => reportFailure(deps, context, failed, reportOutcome)),
      // Interrupted while waiting for a slot: every earlier attempt of this request provably did not run.
      Effect.onInterrupt(() => reportOutcome({outcome: 'not-run'})),
      Effect.mapError(failed => new RefusalAfterClaim(failed.refusal)),
    );
    const relayed = yield* relayAndRelease(
      deps,
      context,
      targetResponse,
      maxKeptAnswerBytes,
      identity,
    );
    yield* reportOutcome(runOutcome(targetResponse.response, relayed.keptBody));
  });
}

type ReportOutcome = (outcome: ClaimOutcome) => Effect.Effect<void>;

/** Reports the outcome without making the caller wait; the claim session retries for up to a minute. */
function reportInBackground(
  deps: ForwarderDependencies,
  grantedClaim: GrantedClaim,
  outcome: ClaimOutcome,
): Effect.Effect<void> {
  return deps.claims
    .complete(grantedClaim.key, grantedClaim.claimId, outcome)
    .pipe(Effect.interruptible, FiberSet.run(deps.backgroundFibers), Effect.asVoid);
}

function reportFailure(
  deps: ForwarderDependencies,
  context: RequestContext,
  failed: AttemptsFailed,
  reportOutcome: ReportOutcome,
): Effect.Effect<void> {
  const {lateEnd, refusal} = failed;
  if (lateEnd === undefined) {
    return reportOutcome({outcome: refusal.result.outcome === 'not-run' ? 'not-run' : 'unknown'});
  }
  return lateEnd.pipe(
    Effect.flatMap(end => lateOutcome(context, end)),
    Effect.flatMap(reportOutcome),
    Effect.interruptible,
    FiberSet.run(deps.backgroundFibers),
    Effect.asVoid,
  );
}

/** The outcome of an operation whose attempt ended after the deadline. */
function lateOutcome(context: RequestContext, end: LateAttemptEnd): Effect.Effect<ClaimOutcome> {
  if (end.kind === 'lost') return Effect.succeed({outcome: 'unknown'});
  const {response} = end;
  if (context.head.contract.notRunStatuses.includes(response.statusCode ?? 0)) {
    response.resume();
    return Effect.succeed({outcome: 'not-run'});
  }
  return Effect.map(readBoundedBody(response, maxKeptAnswerBytes), body =>
    runOutcome(response, body),
  );
}

function runOutcome(response: IncomingMessage, body: Uint8Array | undefined): ClaimOutcome {
  const status = response.statusCode ?? 0;
  const contentType = response.headers['content-type'] ?? '';
  return {outcome: 'run', answer: {status, contentType, body}};
}

/** What the claim owner knows of a key that an earlier attempt has claimed. */
type HeldAnswer = Extract<ClaimDecision, {decision: 'held'}>['answer'];

type HeldAnswerHandlers = {
  readonly [State in HeldAnswer['state']]: (
    context: RequestContext,
    answer: Extract<HeldAnswer, {state: State}>,
  ) => Effect.Effect<void, ResultError>;
};

const refuseWith = (error: ResultError) => () => Effect.fail(error);

const heldAnswerHandlers: HeldAnswerHandlers = {
  'in-progress': refuseWith(new ResultError(resultCodes.inProgress)),
  unknown: refuseWith(new ResultError(resultCodes.outcomeUnknown)),
  'key-reused': refuseWith(new ResultError(resultCodes.idempotencyKeyReused)),
  run: (context, {answer}) =>
    answer.body === undefined
      ? Effect.fail(new ResultError(resultCodes.alreadyRun))
      : Effect.sync(() => replayAnswer(context, answer.status, answer.contentType, answer.body)),
};

function answerFromClaim(
  context: RequestContext,
  answer: HeldAnswer,
): Effect.Effect<void, ResultError> {
  const handler = heldAnswerHandlers[answer.state] as (
    context: RequestContext,
    answer: HeldAnswer,
  ) => Effect.Effect<void, ResultError>;
  return handler(context, answer);
}

function replayAnswer(
  context: RequestContext,
  status: number,
  contentType: string,
  body: Uint8Array | undefined,
): void {
  const bytes = Buffer.from(body ?? []);
  context.response.writeHead(status, {
    'content-type': contentType || 'application/octet-stream',
    'content-length': bytes.length,
    'x-request-id': context.head.requestId,
    'x-idempotent-replay': '1',
  });
  context.response.end(bytes);
}
