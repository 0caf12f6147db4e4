/** What the end of an exchange says about its target. */
import type {ForwardedRequest} from './forwarding';
import type {GatewayParts} from './gateway_parts';
import type {Placement} from './placement';
import type {ExchangeEnd, TargetAnswer} from './target_exchange';

type EndOf<Kind extends ExchangeEnd['kind']> = Extract<ExchangeEnd, {kind: Kind}>;

interface ExchangeContext {
  readonly parts: GatewayParts;
  readonly forwarded: ForwardedRequest;
  readonly placement: Placement;
  readonly elapsedMs: number;
}

type EndRecorders = {
  readonly [Kind in ExchangeEnd['kind']]: (record: ExchangeContext, end: EndOf<Kind>) => void;
};

/** A request without an answer after this multiple of the expected time says that the target is slow. */
const slowCancelRatio = 1.5;
/** Times of targets that are slower than this are no measure for their service. */
const slowTargetRatio = 1.5;
/** Work shorter than this is not used to judge slowness: the travel time dominates it. */
const minServiceTimeMs = 5;

const recorders: EndRecorders = {
  answered: recordAnswer,
  declined: recordRejection,
  unsent: ({parts, placement}) =>
    placement.target.health.onConnectFailure(parts.time.monotonicMs()),
  lost: recordLostConnection,
  'timed-out': ({parts, placement}) =>
    placement.target.health.markSuspect(parts.time.monotonicMs()),
};

/** Updates what is believed about the target. Call it before the request is taken out of the target's load. */
export function recordExchangeEnd(
  parts: GatewayParts,
  forwarded: ForwardedRequest,
  placement: Placement,
  end: ExchangeEnd,
  elapsedMs: number,
): void {
  const context = recorders[end.kind] as (lesson: ExchangeContext, end: ExchangeEnd) => void;
  context({parts, forwarded, placement, elapsedMs}, end);
}

/** Learns from an exchange that this gateway gave up, because its caller left or another target answered first. */
export function recordExchangeCancel(
  parts: GatewayParts,
  placement: Placement,
  elapsedMs: number,
): void {
  const ratio = elapsedMs / Math.max(1, placement.expectedMs);
  if (ratio >= slowCancelRatio) placement.target.health.onCancel(parts.time.monotonicMs(), ratio);
}

function recordAnswer(lesson: ExchangeContext, end: EndOf<'answered'>): void {
  const {parts, forwarded, placement} = lesson;
  const {target} = placement;
  const nowMs = parts.time.monotonicMs();
  recordReports(end.answer, placement, nowMs);
  parts.poison.recordAnswered(forwarded.fingerprint);
  if (end.answer.status >= 500) {
    target.health.onFailure(nowMs);
    return;
  }
  const {objectKey} = forwarded.request.head;
  const serviceTimes = parts.serviceTimes.of(forwarded.service);
  const roundTripMs = parts.roundTripTimes.expectedMs(target.failureDomain);
  const serviceTimeMs = Math.max(0, end.firstByteMs - roundTripMs - placement.waitMs);
  if (serviceTimeMs >= minServiceTimeMs) {
    const mayHaveWaited = placement.waitMs > 0 || (end.answer.head.load?.waiting ?? 0) > 0;
    const isSlow = target.health.slowness(nowMs) >= slowTargetRatio;
    if (!isSlow && !target.isCold(nowMs)) serviceTimes.observe(serviceTimeMs, mayHaveWaited);
    // Only work beyond that on an unknown object says that the target itself is slow.
    target.health.onAnswer(nowMs, Math.max(1, serviceTimeMs / serviceTimes.expectedMs(false)));
  }
  if (objectKey !== undefined) target.recentObjects.recordUse(objectKey, nowMs);
}

function recordRejection({parts, placement}: ExchangeContext, end: EndOf<'declined'>): void {
  const {target} = placement;
  const nowMs = parts.time.monotonicMs();
  recordReports(end.answer, placement, nowMs);
  if (end.answer.head.wrongTarget) target.markWrongAddress();
  else target.health.onFailure(nowMs);
}

function recordLostConnection(
  {parts, placement, forwarded}: ExchangeContext,
  end: EndOf<'lost'>,
): void {
  const {target} = placement;
  const nowMs = parts.time.monotonicMs();
  target.health.markSuspect(nowMs);
  // A kept connection may have been dropped before the request reached the target.
  if (!end.reusedConnection) target.addSuspectRequest(forwarded.fingerprint);
}

function recordReports(answer: TargetAnswer, {target}: Placement, nowMs: number): void {
  const {load, coldForMs} = answer.head;
  if (load !== undefined) target.load.recordReport(load, nowMs);
  if (coldForMs !== undefined) target.markCold(coldForMs, nowMs);
}
