/** Updates what the gateway knows of a target and its service when an exchange has ended or was cancelled. */
import type {ForwardedRequest} from './forwarded_request';
import type {GatewayParts} from '../gateway_parts';
import type {Placement} from '../targets/placement';
import {hasProbablyLost} from './second_try';
import type {ExchangeEnd, TargetAnswer} from './target_exchange';

/** An exchange that ended with an answer of a target. */
type AnsweringEnd = ExchangeEndOfKind<'answered' | 'declined'>;

type ExchangeEndOfKind<Kind extends ExchangeEnd['kind']> = Extract<ExchangeEnd, {kind: Kind}>;

/** An attempt at one target, when its exchange has ended. */
export interface EndedAttempt {
  readonly placement: Placement;
  readonly end: ExchangeEnd;
  readonly elapsedMs: number;
  /** Process of the target to which the request was sent. */
  readonly incarnationId: string;
  /** True if the request was sent after a target was known to have gone down under it. */
  readonly isRepeat: boolean;
  /** Processes under the target's record that were known to have ended under the request when it was sent. */
  readonly knownEndCount: number;
}

interface ExchangeContext {
  readonly parts: GatewayParts;
  readonly forwarded: ForwardedRequest;
  readonly attempt: EndedAttempt;
  readonly placement: Placement;
}

type EndRecorders = {
  readonly [Kind in ExchangeEnd['kind']]: (
    context: ExchangeContext,
    end: ExchangeEndOfKind<Kind>,
  ) => void;
};

/** A request cancelled after this multiple of the expected time shows that the target is slow or has lost the answer. */
const slowCancelRatio = 1.5;
/** Status with which a target turns a request away. */
const rejectedStatus = 503;
/** Shorter service times are ignored, because the network delay dominates them. */
const minServiceTimeMs = 5;

const recorders: EndRecorders = {
  answered: recordAnswer,
  declined: recordRejection,
  unsent: ({parts, placement: {target}}) => {
    target.health.onConnectFailure(parts.time.monotonicMs());
    parts.paths.recordFailure(target.id);
  },
  lost: recordLostConnection,
  'timed-out': ({parts, placement: {target}}) => {
    target.health.markSuspect(parts.time.monotonicMs());
    parts.paths.recordFailure(target.id);
    parts.suspects.report(target);
  },
};

/** Updates the target's state. Must be called before the request's end is recorded in the target's load. */
export function recordExchangeEnd(
  parts: GatewayParts,
  forwarded: ForwardedRequest,
  attempt: EndedAttempt,
): void {
  const {end, placement} = attempt;
  const recordEnd = recorders[end.kind] as (context: ExchangeContext, end: ExchangeEnd) => void;
  recordEnd({parts, forwarded, attempt, placement}, end);
}

/** Updates the target's health after this gateway cancelled an exchange: the caller left or another target answered. */
export function recordExchangeCancel(
  parts: GatewayParts,
  placement: Placement,
  startedAtMs: number,
): void {
  const {target, expectedMs, isHeld} = placement;
  const nowMs = parts.time.monotonicMs();
  const ratio = (nowMs - startedAtMs) / Math.max(1, expectedMs);
  if (ratio < slowCancelRatio) return;
  if (isHeld && hasProbablyLost(target, startedAtMs, nowMs)) target.health.onFailure(nowMs);
  else target.health.onCancel(nowMs, ratio);
}

function recordAnswer(context: ExchangeContext, end: ExchangeEndOfKind<'answered'>): void {
  const {parts, forwarded, placement} = context;
  const {target} = placement;
  const nowMs = parts.time.monotonicMs();
  parts.paths.recordSuccess();
  target.health.recordAnsweredSend(nowMs - context.attempt.elapsedMs);
  recordReports(context, end.answer, nowMs);
  recordDirectives(context, end);
  parts.poison.recordAnswered(forwarded.fingerprint, target.id, end.answer.status);
  if (end.answer.status >= 500) {
    target.health.onFailure(nowMs);
    return;
  }
  const {objectKey} = forwarded.request.head;
  const serviceTimes = parts.serviceTimes.of(forwarded.service);
  const roundTripMs = parts.roundTripTimes.expectedMs(target.failureDomain);
  const serviceTimeMs = Math.max(0, end.firstByteMs - roundTripMs - placement.waitMs);
  serviceTimes.recordAnswer(serviceTimeMs);
  if (serviceTimeMs >= minServiceTimeMs) {
    const usualMs = target.workDuration.normalize(
      serviceTimeMs,
      nowMs,
      serviceTimes.durationModel,
      serviceTimes,
    );
    const mayHaveWaited = placement.waitMs > 0 || (end.answer.head.load?.waiting ?? 0) > 0;
    // Service times of slow targets do not count for the service's estimate.
    if (!target.health.isSlow(nowMs) && !target.isCold(nowMs)) {
      serviceTimes.observe(usualMs, mayHaveWaited);
    }
    // The target itself is slow only if it took longer than for an uncached object.
    target.health.onAnswer(nowMs, Math.max(1, usualMs / serviceTimes.expectedMs(false)));
  }
  if (objectKey !== undefined) target.recentObjects.recordUse(objectKey, nowMs);
}

function recordRejection(context: ExchangeContext, end: ExchangeEndOfKind<'declined'>): void {
  const {parts, placement} = context;
  const {target} = placement;
  const nowMs = parts.time.monotonicMs();
  parts.paths.recordSuccess();
  recordReports(context, end.answer, nowMs);
  if (!end.answer.head.wrongTarget) {
    recordDirectives(context, end);
    target.health.onFailure(nowMs);
    return;
  }
  target.markWrongAddress();
  parts.pendingLosses.onProcessEnded(target.id);
}

function recordLostConnection({parts, attempt, placement, forwarded}: ExchangeContext): void {
  const {target} = placement;
  target.health.markSuspect(parts.time.monotonicMs());
  parts.paths.recordFailure(target.id);
  const {incarnationId, isRepeat, knownEndCount, elapsedMs} = attempt;
  const {fingerprint} = forwarded;
  const {id: targetId, address} = target;
  parts.pendingLosses.add(
    {fingerprint, incarnationId, isRepeat, knownEndCount, targetId, address, elapsedMs},
    target.incarnationId,
  );
  parts.suspects.report(target);
}

function recordReports(
  {parts, forwarded, placement: {target}}: ExchangeContext,
  answer: TargetAnswer,
  nowMs: number,
): void {
  const {load, coldForMs} = answer.head;
  const {durationModel} = parts.serviceTimes.of(forwarded.service);
  target.workDuration.recordReport(load?.workDurationRatio, nowMs, durationModel);
  if (load !== undefined) target.load.recordReport(load, nowMs);
  if (coldForMs !== undefined) target.onColdAnswer(coldForMs, nowMs);
}

/** Records what the target asks for, unless another process runs under its id since the request was sent. */
function recordDirectives(context: ExchangeContext, end: AnsweringEnd): void {
  const {parts, attempt} = context;
  const {target} = attempt.placement;
  if (attempt.incarnationId !== target.incarnationId) return;
  recordLimit(context, end);
  const {leaving, retryAfterMs} = end.answer.head;
  if (leaving && !target.directives.isLeaving) parts.targets.recordLeaving(target);
  const isPause = end.answer.status === rejectedStatus && retryAfterMs !== undefined;
  if (!isPause) return;
  target.directives.recordPause(retryAfterMs, parts.time.monotonicMs());
  parts.log.event('target', {event: 'paused', targetId: target.id, retryAfterMs});
}

/** A rejection may leave out the limit, so only the answer to a request that ran shows that the limit has ended. */
function recordLimit({parts, attempt}: ExchangeContext, end: AnsweringEnd): void {
  const {id: targetId, directives} = attempt.placement.target;
  const {rateLimiter} = directives;
  const {limitPerS} = end.answer.head;
  const nowMs = parts.time.monotonicMs();
  const before = rateLimiter.requestsPerS;
  if (limitPerS !== undefined) rateLimiter.recordNamed(limitPerS, nowMs);
  else if (end.kind === 'answered') rateLimiter.recordNotNamed(nowMs - attempt.elapsedMs);
  const after = rateLimiter.requestsPerS;
  if (after === before) return;
  const event = after === undefined ? 'limit-ended' : 'limited';
  parts.log.event('target', {event, targetId, requestsPerS: after});
}
