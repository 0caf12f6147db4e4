/**
 * Serves a request that must run at most once: claims the operation, sends it, and reports the outcome.
 *
 * A caller that goes away does not cancel an operation that may have reached a target: the fiber goes on until the
 * outcome is known, so that a later retry or question gets a definite answer. Only the wait for a slot ends with
 * the caller, and then the claim is released as not run.
 */
import type {IncomingMessage} from 'node:http';
import type {ClaimDecision, ClaimOutcome} from '@cuminsill/claims';
import {ResultError, resultCodes} from '@cuminsill/types';
import {Effect, FiberSet, identity} from 'effect';
import {ClaimedRefusal} from './correct_refusal_outcome';
import {finishAnswer} from './relay_and_release';
import type {Flight, ForwarderParts} from './forwarder_types';
import {readKeptBody} from './relay_response';
import type {LateEnd} from './send_to_target';
import type {AttemptsFailed} from './try_targets';
import {tryTargets} from './try_targets';

interface Claimed {
  readonly key: string;
  readonly claimId: string;
}

/** Largest kept body of an operation's answer, in bytes. */
const keptAnswerBytes = 1024;

/** Serves a non-idempotent request. */
export function serveOnce(parts: ForwarderParts, flight: Flight): Effect.Effect<void, ResultError> {
  return Effect.gen(function* () {
    const {call} = flight;
    const key = call.idempotencyKey ?? '';
    const claim = yield* claimInTime(parts, flight, key);
    switch (claim.decision) {
      case 'send':
        return yield* sendClaimed(parts, flight, {key, claimId: claim.claimId});
      case 'held':
        return yield* answerFromClaim(flight, claim.answer);
      case 'not-sent':
        return yield* Effect.fail(notSentRefusals[claim.reason]);
    }
  }).pipe(Effect.uninterruptible);
}

/** Claims the operation. A claim that is not answered by the deadline is withdrawn by the session, and nothing is sent. */
function claimInTime(
  parts: ForwarderParts,
  flight: Flight,
  key: string,
): Effect.Effect<ClaimDecision> {
  const remainingMs = Math.max(0, flight.call.deadlineMs - parts.time.monotonicMs());
  return parts.claims
    .claim({
      key,
      requestDigest: flight.fingerprint,
      sendDeadlineAtMs: Math.floor(parts.time.nowMs() + remainingMs),
    })
    .pipe(Effect.interruptible);
}

const notSentRefusals = {
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

function sendClaimed(
  parts: ForwarderParts,
  flight: Flight,
  claimed: Claimed,
): Effect.Effect<void, ResultError> {
  const report: Report = outcome => reportInBackground(parts, claimed, outcome);
  return Effect.gen(function* () {
    const answered = yield* tryTargets(parts, flight, identity).pipe(
      Effect.tapError(failed => reportFailure(parts, flight, failed, report)),
      // Interrupted while it waited for a slot: every attempt before provably did not run.
      Effect.onInterrupt(() => report({outcome: 'not-run'})),
      Effect.mapError(failed => new ClaimedRefusal(failed.refusal)),
    );
    const relayed = yield* finishAnswer(parts, flight, answered, keptAnswerBytes, identity);
    yield* report(runOutcome(answered.response, relayed.keptBody));
  });
}

type Report = (outcome: ClaimOutcome) => Effect.Effect<void>;

/** Reports without making the caller wait; the report is repeated for up to a minute. */
function reportInBackground(
  parts: ForwarderParts,
  claimed: Claimed,
  outcome: ClaimOutcome,
): Effect.Effect<void> {
  return parts.claims
    .complete(claimed.key, claimed.claimId, outcome)
    .pipe(Effect.interruptible, FiberSet.run(parts.background), Effect.asVoid);
}

function reportFailure(
  parts: ForwarderParts,
  flight: Flight,
  failed: AttemptsFailed,
  report: Report,
): Effect.Effect<void> {
  const {late, refusal} = failed;
  if (late === undefined) {
    return report({outcome: refusal.result.outcome === 'not-run' ? 'not-run' : 'unknown'});
  }
  return late.pipe(
    Effect.flatMap(end => lateOutcome(flight, end)),
    Effect.flatMap(report),
    Effect.interruptible,
    FiberSet.run(parts.background),
    Effect.asVoid,
  );
}

/** The outcome of an operation that ended after its deadline. */
function lateOutcome(flight: Flight, end: LateEnd): Effect.Effect<ClaimOutcome> {
  if (end.kind === 'lost') return Effect.succeed({outcome: 'unknown'});
  const {response} = end;
  if (flight.call.contract.notRunStatuses.includes(response.statusCode ?? 0)) {
    response.resume();
    return Effect.succeed({outcome: 'not-run'});
  }
  return Effect.map(readKeptBody(response, keptAnswerBytes), body => runOutcome(response, body));
}

function runOutcome(response: IncomingMessage, body: Uint8Array | undefined): ClaimOutcome {
  const status = response.statusCode ?? 0;
  const contentType = response.headers['content-type'] ?? '';
  return {outcome: 'run', answer: {status, contentType, body}};
}

type HeldAnswer = Extract<ClaimDecision, {decision: 'held'}>['answer'];

type HeldAnswerHandlers = {
  readonly [State in HeldAnswer['state']]: (
    flight: Flight,
    answer: Extract<HeldAnswer, {state: State}>,
  ) => Effect.Effect<void, ResultError>;
};

const refuseWith = (error: ResultError) => () => Effect.fail(error);

const heldAnswerHandlers: HeldAnswerHandlers = {
  'in-progress': refuseWith(new ResultError(resultCodes.inProgress)),
  unknown: refuseWith(new ResultError(resultCodes.outcomeUnknown)),
  'key-reused': refuseWith(new ResultError(resultCodes.idempotencyKeyReused)),
  run: (flight, {answer}) =>
    answer.body === undefined
      ? Effect.fail(new ResultError(resultCodes.alreadyRun))
      : Effect.sync(() => replayAnswer(flight, answer.status, answer.contentType, answer.body)),
};

function answerFromClaim(flight: Flight, answer: HeldAnswer): Effect.Effect<void, ResultError> {
  const handler = heldAnswerHandlers[answer.state] as (
    flight: Flight,
    answer: HeldAnswer,
  ) => Effect.Effect<void, ResultError>;
  return handler(flight, answer);
}

function replayAnswer(
  flight: Flight,
  status: number,
  contentType: string,
  body: Uint8Array | undefined,
): void {
  const bytes = Buffer.from(body ?? []);
  flight.response.writeHead(status, {
    'content-type': contentType || 'application/octet-stream',
    'content-length': bytes.length,
    'x-request-id': flight.call.requestId,
    'x-idempotent-replay': '1',
  });
  flight.response.end(bytes);
}
