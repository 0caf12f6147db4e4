/**
 * Serves a request that must run at most once: claims the operation, sends it, and reports the outcome.
 *
 * A caller that goes away does not cancel an operation that may have reached a target: the fiber goes on until the
 * outcome is known, so that a later retry or question gets a definite answer. Only the wait for a slot ends with
 * the caller, and then the claim is released as not run.
 */
import type {ClaimAnswer, ClaimOutcome} from '@cuminsill/claims';
import {ResultError, resultCodes} from '@cuminsill/types';
import {Effect} from 'effect';
import {finishAnswer} from './finish_answer';
import type {Flight, ForwarderParts} from './forwarder_parts';
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
    const remainingMs = call.deadlineMs - parts.time.monotonicMs();
    const sendDeadlineAtMs = Math.floor(parts.time.nowMs() + remainingMs);
    const answer = yield* parts.claims.claim(key, flight.fingerprint, sendDeadlineAtMs);
    if (answer.state !== 'granted') return yield* answerFromClaim(flight, answer);
    yield* sendClaimed(parts, flight, {key, claimId: answer.claimId});
  }).pipe(Effect.uninterruptible);
}

function sendClaimed(
  parts: ForwarderParts,
  flight: Flight,
  claimed: Claimed,
): Effect.Effect<void, ResultError> {
  const report = (outcome: ClaimOutcome) =>
    parts.claims.complete(claimed.key, claimed.claimId, outcome);
  return Effect.gen(function* () {
    const answered = yield* tryTargets(parts, flight).pipe(
      Effect.tapError(failed => reportFailure(flight, failed, report)),
      // Interrupted while it waited for a slot: every attempt before provably did not run.
      Effect.onInterrupt(() => report({outcome: 'not-run'})),
      Effect.mapError(failed => failed.refusal),
    );
    const relayed = yield* finishAnswer(parts, flight, answered, keptAnswerBytes);
    const answer = {
      status: answered.response.statusCode ?? 0,
      contentType: answered.response.headers['content-type'] ?? '',
      body: relayed.keptBody,
    };
    yield* report({outcome: 'run', answer});
  });
}

function reportFailure(
  flight: Flight,
  failed: AttemptsFailed,
  report: (outcome: ClaimOutcome) => Effect.Effect<void>,
): Effect.Effect<void> {
  if (failed.late !== undefined) {
    return failed.late.pipe(
      Effect.flatMap(end => reportLate(end, report)),
      Effect.forkDaemon,
    );
  }
  return report({outcome: failed.refusal.result.outcome === 'not-run' ? 'not-run' : 'unknown'});
}

/** Records the outcome of an operation that was answered after its deadline. */
function reportLate(
  flight: Flight,
  end: LateEnd,
  report: (outcome: ClaimOutcome) => Effect.Effect<void>,
): Effect.Effect<void> {
  if (end.kind === 'lost') return report({outcome: 'unknown'});
  const {response} = end;
  if (flight.call.contract.notRunStatuses.includes(response.statusCode ?? 0)) {
    response.resume();
    return report({outcome: 'not-run'});
  }
  return readKeptBody(response, keptAnswerBytes).pipe(
    Effect.flatMap(body =>
      report({
        outcome: 'run',
        answer: {
          status: response.statusCode ?? 0,
          contentType: response.headers['content-type'] ?? '',
          body,
        },
      }),
    ),
  );
}

type ClaimAnswerHandlers = {
  readonly [State in ClaimAnswer['state']]: (
    flight: Flight,
    answer: Extract<ClaimAnswer, {state: State}>,
  ) => Effect.Effect<void, ResultError>;
};

const refuse = (error: ResultError) => () => Effect.fail(error);

const claimAnswerHandlers: ClaimAnswerHandlers = {
  granted: () => Effect.void,
  'in-progress': refuse(new ResultError(resultCodes.inProgress)),
  unknown: refuse(new ResultError(resultCodes.outcomeUnknown)),
  'key-reused': refuse(new ResultError(resultCodes.idempotencyKeyReused)),
  'not-run': refuse(new ResultError(resultCodes.claimUnavailable)),
  'not-owner': refuse(new ResultError(resultCodes.claimUnavailable)),
  unavailable: refuse(new ResultError(resultCodes.claimUnavailable)),
  run: (flight, {answer}) =>
    answer.body === undefined
      ? Effect.fail(new ResultError(resultCodes.alreadyRun))
      : Effect.sync(() => replayAnswer(flight, answer.status, answer.contentType, answer.body)),
};

function answerFromClaim(flight: Flight, answer: ClaimAnswer): Effect.Effect<void, ResultError> {
  const handler = claimAnswerHandlers[answer.state] as (
    flight: Flight,
    answer: ClaimAnswer,
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
