/**
 * Attempts at targets until one responds. An attempt is repeated only when that is safe: a non-idempotent request after
 * attempts that provably did not run, an idempotent one also once after a lost connection.
 */
import type {IncomingMessage} from 'node:http';
import type {Assignment, AttemptResult} from '@cuminsill/steering';
import {remainingForNextHopMs} from '@cuminsill/steering';
import {ResultError, resultCodes} from '@cuminsill/types';
import {Effect} from 'effect';
import type {Call} from './request_head';
import type {Flight, ForwarderParts} from './forwarder_types';
import type {AttemptEnd, LateEnd} from './send_to_target';
import {endToEndHeaders, sendToTarget} from './send_to_target';

/** A response whose body still has to be relayed, and the slot that it holds. */
export interface Answered {
  readonly response: IncomingMessage;
  readonly assignment: Assignment;
  readonly startedAtMs: number;
}

/** No target responded in time. */
export class AttemptsFailed {
  /**
   * @param refusal What the caller is told; its outcome is true for all attempts together.
   * @param late Waits for a late response; undefined when nothing is on its way any more.
   */
  constructor(
    readonly refusal: ResultError,
    readonly late?: Effect.Effect<LateEnd>,
  ) {}
}

interface Progress {
  readonly excludedTargetIds: readonly string[];
  readonly attempts: number;
  readonly lostConnections: number;
}

const leavingHeader = 'x-target-state';

/** How to choose among the targets. */
export interface TryOptions {
  /** Targets that are not asked. */
  readonly excludedTargetIds: readonly string[];
  /** Called with each target before it is asked. */
  readonly onAssigned: (targetId: string) => void;
}

const anyTarget: TryOptions = {excludedTargetIds: [], onAssigned: () => undefined};

/** Makes an effect interruptible where the caller's going away may end it. */
export type Restore = <A, E>(effect: Effect.Effect<A, E>) => Effect.Effect<A, E>;

/**
 * Tries targets until one responds. Runs in an uninterruptible region, so that no slot is lost between two steps; the wait for a
 * slot can always be interrupted, an attempt where `restore` allows it.
 */
export function tryTargets(
  parts: ForwarderParts,
  flight: Flight,
  restore: Restore,
  options = anyTarget,
): Effect.Effect<Answered, AttemptsFailed> {
  return Effect.gen(function* () {
    const {excludedTargetIds} = options;
    let progress: Progress = {excludedTargetIds, attempts: 0, lostConnections: 0};
    for (;;) {
      const assignment = yield* assignTarget(parts, flight.call, progress);
      options.onAssigned(assignment.target.id);
      const startedAtMs = parts.time.monotonicMs();
      const end = yield* restore(attemptTarget(parts, flight, assignment)).pipe(
        Effect.onInterrupt(() =>
          Effect.sync(() => parts.steering.release(assignment, 'cancelled', 0)),
        ),
      );
      const result = classifyAttempt(end, flight.call);
      if (end.kind === 'responded') noteLeaving(parts, end.response, assignment);
      if (end.kind === 'responded' && result !== 'shed') {
        return {response: end.response, assignment, startedAtMs};
      }
      if (end.kind === 'responded') end.response.resume();
      const late = releaseAfter(parts, assignment, end, result, startedAtMs);
      progress = advance(progress, assignment, result);
      noteLostTarget(parts, flight, assignment, end);
      const refusal = refusalAfter(parts, flight, end, result, progress);
      if (refusal !== undefined) return yield* Effect.fail(new AttemptsFailed(refusal, late));
      parts.metrics.count('retries.sent', 1, {service: flight.call.contract.id, after: result});
    }
  });
}

function advance(progress: Progress, assignment: Assignment, result: AttemptResult): Progress {
  return {
    excludedTargetIds: [...progress.excludedTargetIds, assignment.target.id],
    attempts: progress.attempts + 1,
    lostConnections: progress.lostConnections + (result === 'connection-lost' ? 1 : 0),
  };
}

/** Waits for a slot; this wait ends when the caller goes away, even while an operation is claimed. */
function assignTarget(
  parts: ForwarderParts,
  call: Call,
  progress: Progress,
): Effect.Effect<Assignment, AttemptsFailed> {
  const request = {
    serviceId: call.contract.id,
    callerRegionId: call.callerRegionId,
    trafficClass: call.contract.trafficClass,
    deadlineMs: call.deadlineMs,
    excludedTargetIds: progress.excludedTargetIds,
  };
  const answerOf = (result: Assignment | ResultError) => {
    if (!(result instanceof ResultError)) return Effect.succeed(result);
    // After a lost connection "not run" would no longer be true.
    const refusal =
      progress.lostConnections > 0 ? new ResultError(resultCodes.targetFailed) : result;
    return Effect.fail(new AttemptsFailed(refusal));
  };
  let granted: Assignment | undefined;
  return Effect.suspend(() => {
    const early: (Assignment | ResultError)[] = [];
    let receive = (result: Assignment | ResultError): void => void early.push(result);
    const cancel = parts.steering.assign(request, result => receive(result));
    // Most requests find a free slot at once and need not suspend the fiber.
    const [result] = early;
    if (result !== undefined) return answerOf(result);
    return Effect.async<Assignment, AttemptsFailed>(resume => {
      receive = result => {
        if (!(result instanceof ResultError)) granted = result;
        resume(answerOf(result));
      };
      return Effect.sync(cancel);
    });
  }).pipe(
    Effect.interruptible,
    // The slot may be granted in the moment in which the caller goes away.
    Effect.onInterrupt(() =>
      Effect.sync(() => {
        if (granted !== undefined) parts.steering.release(granted, 'cancelled', 0);
      }),
    ),
  );
}

/**
 * Sends the request to one target. A pooled connection that is lost may have been closed by the target while it was idle, so
 * an idempotent request is sent once more to the same target over a new connection; when that cannot be opened, the
 * target stopped answering while it had the request.
 */
function attemptTarget(
  parts: ForwarderParts,
  flight: Flight,
  assignment: Assignment,
): Effect.Effect<AttemptEnd> {
  return Effect.flatMap(sendOnce(parts, flight, assignment, !flight.call.idempotent), end => {
    const poolMayBeStale = end.kind === 'connection-lost' && end.reusedConnection;
    if (!poolMayBeStale || !flight.body.canSend) return Effect.succeed(end);
    return Effect.map(sendOnce(parts, flight, assignment, true), second =>
      second.kind === 'connect-failed' ? connectionLost : second,
    );
  });
}

const connectionLost: AttemptEnd = {kind: 'connection-lost', reusedConnection: false};

function sendOnce(
  parts: ForwarderParts,
  flight: Flight,
  assignment: Assignment,
  freshConnection: boolean,
): Effect.Effect<AttemptEnd> {
  const {call, body, request} = flight;
  const nowMs = parts.time.monotonicMs();
  const latencyMs = parts.latencyToMs(assignment.target.regionId);
  const nextHopTimeoutMs = remainingForNextHopMs(call.deadlineMs, nowMs, latencyMs);
  if (nextHopTimeoutMs === 0) return Effect.succeed({kind: 'timed-out-unsent'});
  return sendToTarget({
    call,
    body,
    target: assignment.target,
    headers: endToEndHeaders(request.headers),
    connections: parts.connections,
    remainingMs: call.deadlineMs - nowMs,
    nextHopTimeoutMs,
    freshConnection,
    lateWaitMs: call.idempotent ? 0 : parts.lateWaitMs,
  });
}

/** Gives the slot back, at once or, when a late response is awaited, with it. */
function releaseAfter(
  parts: ForwarderParts,
  assignment: Assignment,
  end: AttemptEnd,
  result: AttemptResult,
  startedAtMs: number,
): Effect.Effect<LateEnd> | undefined {
  const release = () =>
    parts.steering.release(assignment, result, parts.time.monotonicMs() - startedAtMs);
  if (end.kind !== 'timed-out' || end.late === undefined) {
    release();
    return undefined;
  }
  return end.late.pipe(Effect.tap(() => Effect.sync(release)));
}

/** The refusal that ends the attempts; undefined when another attempt is allowed. */
function refusalAfter(
  parts: ForwarderParts,
  flight: Flight,
  end: AttemptEnd,
  result: AttemptResult,
  progress: Progress,
): ResultError | undefined {
  const {call, body} = flight;
  const mayHaveRun = progress.lostConnections > 0;
  if (end.kind === 'timed-out') return new ResultError(resultCodes.deadlineExceeded);
  if (end.kind === 'timed-out-unsent') {
    return new ResultError(
      mayHaveRun ? resultCodes.deadlineExceeded : resultCodes.deadlineTooShort,
    );
  }
  if (result === 'connection-lost' && !call.idempotent) {
    return new ResultError(resultCodes.outcomeUnknown);
  }
  const mayRetry =
    progress.lostConnections <= 1 &&
    progress.attempts < parts.maxAttempts &&
    body.canSend &&
    parts.retryBudget.tryRetry(call.contract.id);
  if (mayRetry) return undefined;
  if (mayHaveRun) return new ResultError(resultCodes.targetFailed);
  const detail = `${progress.attempts} targets did not take the request.`;
  return new ResultError(resultCodes.retriesExhausted, detail);
}

function classifyAttempt(end: AttemptEnd, call: Call): AttemptResult {
  if (end.kind === 'timed-out-unsent') return 'timed-out';
  if (end.kind !== 'responded') return end.kind;
  const status = end.response.statusCode ?? 0;
  if (call.contract.notRunStatuses.includes(status)) return 'shed';
  return status >= 500 ? 'failed' : 'answered';
}

function noteLeaving(
  parts: ForwarderParts,
  response: IncomingMessage,
  assignment: Assignment,
): void {
  if (response.headers[leavingHeader] !== 'leaving') return;
  parts.steering.markLeaving(assignment.target.id);
  parts.spreadNow();
}

function noteLostTarget(
  parts: ForwarderParts,
  flight: Flight,
  assignment: Assignment,
  end: AttemptEnd,
): void {
  if (end.kind !== 'connection-lost') return;
  parts.poison.recordLostTarget(flight.fingerprint, assignment.target.id);
  parts.spreadNow();
}
