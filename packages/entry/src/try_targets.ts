/**
 * Sends a request to one target after another until one responds. Retries only when that is safe: a non-idempotent
 * request after attempts that provably did not run, an idempotent request also once after a lost connection.
 */
import type {IncomingMessage} from 'node:http';
import type {Assignment, AttemptResult} from '@cuminsill/steering';
import {computeNextHopTimeoutMs} from '@cuminsill/steering';
import {ResultError, resultCodes} from '@cuminsill/types';
import {Effect} from 'effect';
import type {RequestHead} from './request_head';
import type {RequestContext, ForwarderDependencies} from './forwarder_types';
import type {AttemptEnd, LateAttemptEnd} from './send_to_target';
import {endToEndHeaders, sendToTarget} from './send_to_target';

/** A response whose body still has to be relayed, and the slot that the request holds. */
export interface TargetResponse {
  readonly response: IncomingMessage;
  readonly assignment: Assignment;
  readonly startedAtMs: number;
}

/** The request got no response that can be relayed to the caller. */
export class AttemptsFailed {
  /**
   * @param refusal The refusal for the caller; its outcome holds for all attempts together.
   * @param lateEnd Waits for a late response; undefined when no response is awaited.
   */
  constructor(
    readonly refusal: ResultError,
    readonly lateEnd?: Effect.Effect<LateAttemptEnd>,
  ) {}
}

interface AttemptProgress {
  readonly excludedTargetIds: readonly string[];
  readonly attempts: number;
  readonly lostConnections: number;
}

const targetStateHeader = 'x-target-state';

/** Restricts and observes the choice of targets. */
export interface AttemptOptions {
  /** Targets that must not be used. */
  readonly excludedTargetIds: readonly string[];
  /** Called with each target before the request is sent to it. */
  readonly onAssigned: (targetId: string) => void;
}

const defaultAttemptOptions: AttemptOptions = {excludedTargetIds: [], onAssigned: () => undefined};

/** Makes an effect interruptible where a disconnect of the caller may end it. */
export type Restore = <A, E>(effect: Effect.Effect<A, E>) => Effect.Effect<A, E>;

/**
 * Tries targets until one responds. Runs in an uninterruptible region, so that no slot leaks between two steps. The
 * wait for a slot can always be interrupted, an attempt only if `restore` allows it.
 */
export function tryTargets(
  deps: ForwarderDependencies,
  context: RequestContext,
  restore: Restore,
  options = defaultAttemptOptions,
): Effect.Effect<TargetResponse, AttemptsFailed> {
  return Effect.gen(function* () {
    const {excludedTargetIds} = options;
    let progress: AttemptProgress = {excludedTargetIds, attempts: 0, lostConnections: 0};
    for (;;) {
      const assignment = yield* assignTarget(deps, context.head, progress);
      options.onAssigned(assignment.target.id);
      const startedAtMs = deps.time.monotonicMs();
      const end = yield* restore(attemptTarget(deps, context, assignment)).pipe(
        Effect.onInterrupt(() =>
          Effect.sync(() => deps.steering.release(assignment, 'cancelled', 0)),
        ),
      );
      const result = classifyAttempt(end, context.head);
      if (end.kind === 'responded') markLeavingTarget(deps, end.response, assignment);
      if (end.kind === 'responded' && result !== 'shed') {
        return {response: end.response, assignment, startedAtMs};
      }
      if (end.kind === 'responded') end.response.resume();
      const lateEnd = releaseSlot(deps, assignment, end, result, startedAtMs);
      const isRepeat = context.wasSuspected || progress.lostConnections > 0;
      progress = recordAttempt(progress, assignment, result);
      recordLostTarget(deps, context, assignment, end, isRepeat);
      const refusal = refusalAfterAttempt(deps, context, end, result, progress);
      if (refusal !== undefined) return yield* Effect.fail(new AttemptsFailed(refusal, lateEnd));
      deps.metrics.count('retries.sent', 1, {service: context.head.contract.id, after: result});
    }
  });
}

function recordAttempt(
  progress: AttemptProgress,
  assignment: Assignment,
  result: AttemptResult,
): AttemptProgress {
  return {
    excludedTargetIds: [...progress.excludedTargetIds, assignment.target.id],
    attempts: progress.attempts + 1,
    lostConnections: progress.lostConnections + (result === 'connection-lost' ? 1 : 0),
  };
}

/** Waits for a slot. The wait ends when the caller disconnects, even if an operation is claimed. */
function assignTarget(
  deps: ForwarderDependencies,
  head: RequestHead,
  progress: AttemptProgress,
): Effect.Effect<Assignment, AttemptsFailed> {
  const request = {
    serviceId: head.contract.id,
    callerRegionId: head.callerRegionId,
    trafficClass: head.contract.trafficClass,
    deadlineMs: head.deadlineMs,
    excludedTargetIds: progress.excludedTargetIds,
  };
  const toEffect = (result: Assignment | ResultError) => {
    if (!(result instanceof ResultError)) return Effect.succeed(result);
    // After a lost connection an earlier attempt may have run, so the outcome must not be `not-run`.
    const refusal =
      progress.lostConnections > 0 ? new ResultError(resultCodes.targetFailed) : result;
    return Effect.fail(new AttemptsFailed(refusal));
  };
  let granted: Assignment | undefined;
  return Effect.suspend(() => {
    const immediateResults: (Assignment | ResultError)[] = [];
    let onResult = (result: Assignment | ResultError): void => void immediateResults.push(result);
    const cancel = deps.steering.assign(request, result => onResult(result));
    // Most requests get a free slot immediately, without suspending the fiber.
    const [result] = immediateResults;
    if (result !== undefined) return toEffect(result);
    return Effect.async<Assignment, AttemptsFailed>(resume => {
      onResult = result => {
        if (!(result instanceof ResultError)) granted = result;
        resume(toEffect(result));
      };
      return Effect.sync(cancel);
    });
  }).pipe(
    Effect.interruptible,
    // The slot may be granted at the moment the caller disconnects.
    Effect.onInterrupt(() =>
      Effect.sync(() => {
        if (granted !== undefined) deps.steering.release(granted, 'cancelled', 0);
      }),
    ),
  );
}

/**
 * Sends the request to one target. If a pooled connection is lost, the target may have closed it while it was idle, so
 * an idempotent request is sent once more to the same target over a new connection. If that connection cannot be
 * opened, the target went down while it had the request.
 */
function attemptTarget(
  deps: ForwarderDependencies,
  context: RequestContext,
  assignment: Assignment,
): Effect.Effect<AttemptEnd> {
  return Effect.flatMap(sendOnce(deps, context, assignment, !context.head.isIdempotent), end => {
    const mayBeStaleConnection = end.kind === 'connection-lost' && end.reusedConnection;
    if (!mayBeStaleConnection || !context.body.canSend) return Effect.succeed(end);
    return Effect.map(sendOnce(deps, context, assignment, true), second =>
      second.kind === 'connect-failed' ? connectionLost : second,
    );
  });
}

const connectionLost: AttemptEnd = {kind: 'connection-lost', reusedConnection: false};

function sendOnce(
  deps: ForwarderDependencies,
  context: RequestContext,
  assignment: Assignment,
  opensNewConnection: boolean,
): Effect.Effect<AttemptEnd> {
  const {head, body, request} = context;
  const nowMs = deps.time.monotonicMs();
  const latencyMs = deps.latencyToRegionMs(assignment.target.regionId);
  const nextHopTimeoutMs = computeNextHopTimeoutMs(head.deadlineMs, nowMs, latencyMs);
  if (nextHopTimeoutMs === 0) return Effect.succeed({kind: 'timed-out-unsent'});
  return sendToTarget({
    head,
    body,
    target: assignment.target,
    headers: endToEndHeaders(request.headers),
    connections: deps.connections,
    remainingMs: head.deadlineMs - nowMs,
    nextHopTimeoutMs,
    opensNewConnection,
    lateResponseTimeoutMs: head.isIdempotent ? 0 : deps.lateResponseTimeoutMs,
  });
}

/** Releases the slot, immediately or, when a late response is awaited, once that wait ends. */
function releaseSlot(
  deps: ForwarderDependencies,
  assignment: Assignment,
  end: AttemptEnd,
  result: AttemptResult,
  startedAtMs: number,
): Effect.Effect<LateAttemptEnd> | undefined {
  const release = () =>
    deps.steering.release(assignment, result, deps.time.monotonicMs() - startedAtMs);
  if (end.kind !== 'timed-out' || end.lateEnd === undefined) {
    release();
    return undefined;
  }
  return end.lateEnd.pipe(Effect.tap(() => Effect.sync(release)));
}

/** The refusal after the last attempt; undefined when another attempt is allowed. */
function refusalAfterAttempt(
  deps: ForwarderDependencies,
  context: RequestContext,
  end: AttemptEnd,
  result: AttemptResult,
  progress: AttemptProgress,
): ResultError | undefined {
  const {head, body} = context;
  const mayHaveRun = progress.lostConnections > 0;
  if (end.kind === 'timed-out') return new ResultError(resultCodes.deadlineExceeded);
  if (end.kind === 'timed-out-unsent') {
    return new ResultError(
      mayHaveRun ? resultCodes.deadlineExceeded : resultCodes.deadlineTooShort,
    );
  }
  if (result === 'connection-lost' && !head.isIdempotent) {
    return new ResultError(resultCodes.outcomeUnknown);
  }
  const mayRetry =
    progress.lostConnections <= 1 &&
    progress.attempts < deps.maxAttempts &&
    body.canSend &&
    !deps.poisonGuard.isQuarantined(context.fingerprint) &&
    deps.retryBudget.tryRetry(head.contract.id);
  if (mayRetry) return undefined;
  if (mayHaveRun) return new ResultError(resultCodes.targetFailed);
  const detail = `${progress.attempts} targets did not take the request.`;
  return new ResultError(resultCodes.retriesExhausted, detail);
}

function classifyAttempt(end: AttemptEnd, head: RequestHead): AttemptResult {
  if (end.kind === 'timed-out-unsent') return 'timed-out';
  if (end.kind !== 'responded') return end.kind;
  const status = end.response.statusCode ?? 0;
  if (head.contract.notRunStatuses.includes(status)) return 'shed';
  return status >= 500 ? 'failed' : 'answered';
}

function markLeavingTarget(
  deps: ForwarderDependencies,
  response: IncomingMessage,
  assignment: Assignment,
): void {
  if (response.headers[targetStateHeader] !== 'leaving') return;
  deps.steering.markLeaving(assignment.target.id);
  deps.reportSoon();
}

function recordLostTarget(
  deps: ForwarderDependencies,
  context: RequestContext,
  assignment: Assignment,
  end: AttemptEnd,
  isRepeat: boolean,
): void {
  if (end.kind !== 'connection-lost') return;
  deps.poisonGuard.recordLostTarget(context.fingerprint, assignment.target.id, isRepeat);
  deps.reportSoon();
}
