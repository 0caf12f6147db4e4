/** What the end of an exchange says about its target. */
import type {ForwardedRequest} from './forwarding';
import type {GatewayParts} from './gateway_parts';
import type {Placement} from './placement';
import type {ExchangeEnd, TargetAnswer} from './target_exchange';

type EndOf<Kind extends ExchangeEnd['kind']> = Extract<ExchangeEnd, {kind: Kind}>;

interface Lesson {
  readonly parts: GatewayParts;
  readonly forwarded: ForwardedRequest;
  readonly placement: Placement;
  readonly elapsedMs: number;
}

type Lessons = {
  readonly [Kind in ExchangeEnd['kind']]: (lesson: Lesson, end: EndOf<Kind>) => void;
};

/** A request without an answer after this multiple of the expected time says that the target is slow. */
const slowCancelRatio = 1.5;
/** Times of targets that are slower than this are no measure for their service. */
const slowTargetRatio = 1.5;
/** Work shorter than this is not used to judge slowness: the travel time dominates it. */
const leastWorkMs = 5;

const lessons: Lessons = {
  answered: learnFromAnswer,
  declined: learnFromDecline,
  unsent: ({parts, placement}) => placement.target.health.connectFailed(parts.time.monotonicMs()),
  lost: learnFromLoss,
  'timed-out': ({parts, placement}) => placement.target.health.suspected(parts.time.monotonicMs()),
};

/** Updates what is believed about the target. Call it before the request is taken out of the target's load. */
export function learnFromEnd(
  parts: GatewayParts,
  forwarded: ForwardedRequest,
  placement: Placement,
  end: ExchangeEnd,
  elapsedMs: number,
): void {
  const lesson = lessons[end.kind] as (lesson: Lesson, end: ExchangeEnd) => void;
  lesson({parts, forwarded, placement, elapsedMs}, end);
}

/** Learns from an exchange that this gateway gave up, because its caller left or another target answered first. */
export function learnFromCancel(
  parts: GatewayParts,
  placement: Placement,
  elapsedMs: number,
): void {
  const ratio = elapsedMs / Math.max(1, placement.expectedMs);
  if (ratio >= slowCancelRatio) placement.target.health.givenUp(parts.time.monotonicMs(), ratio);
}

function learnFromAnswer(lesson: Lesson, end: EndOf<'answered'>): void {
  const {parts, forwarded, placement} = lesson;
  const {target} = placement;
  const nowMs = parts.time.monotonicMs();
  noteReports(end.answer, placement, nowMs);
  parts.poison.recordAnswered(forwarded.fingerprint);
  if (end.answer.status >= 500) {
    target.health.failed(nowMs);
    return;
  }
  const {objectKey} = forwarded.request.head;
  const timing = parts.timings.of(forwarded.service);
  const travelMs = parts.latency.roundTripMs(target.failureDomain);
  const workMs = Math.max(0, end.firstByteMs - travelMs - placement.waitMs);
  if (workMs >= leastWorkMs) {
    const waited = placement.waitMs > 0 || (end.answer.head.load?.waiting ?? 0) > 0;
    const slow = target.health.slownessNow(nowMs) >= slowTargetRatio;
    if (!slow && !target.isCold(nowMs)) timing.observe(workMs, waited);
    // Only work beyond that on an unknown object says that the target itself is slow.
    target.health.answered(nowMs, Math.max(1, workMs / timing.workMs(false)));
  }
  if (objectKey !== undefined) target.objects.used(objectKey, nowMs);
}

function learnFromDecline({parts, placement}: Lesson, end: EndOf<'declined'>): void {
  const {target} = placement;
  const nowMs = parts.time.monotonicMs();
  noteReports(end.answer, placement, nowMs);
  if (end.answer.head.wrongTarget) target.foundElsewhere();
  else target.health.failed(nowMs);
}

function learnFromLoss({parts, placement, forwarded}: Lesson, end: EndOf<'lost'>): void {
  const {target} = placement;
  const nowMs = parts.time.monotonicMs();
  target.health.suspected(nowMs);
  // A kept connection may have been dropped before the request reached the target.
  if (!end.reusedConnection) target.suspectRequest(forwarded.fingerprint);
}

function noteReports(answer: TargetAnswer, {target}: Placement, nowMs: number): void {
  const {load, coldForMs} = answer.head;
  if (load !== undefined) target.load.reported(load, nowMs);
  if (coldForMs !== undefined) target.noteCold(coldForMs, nowMs);
}
