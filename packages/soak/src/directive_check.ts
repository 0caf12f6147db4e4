/** Checks that each gateway does what a target has asked it for in an answer: no requests because it leaves, or a pause. */
import type {HistoryIndex} from './history_index';
import {labelOf} from './history_index';
import type {PromiseBounds} from './promise_bounds';
import type {Disruption, SentRequest, TargetDirective, TargetEvent} from './soak_history';

/** A request and when it arrived at the target. */
interface Arrival {
  readonly request: SentRequest;
  readonly atMs: number;
}

/** Finds requests that were sent long after their gateway had passed on an answer of a target that says that it leaves. */
export function findArrivalsAfterLeaving(
  index: HistoryIndex,
  {drainMs}: PromiseBounds,
): readonly string[] {
  return directivesOf(index, 'leaving').flatMap(directive => {
    const arrivals = arrivalsDuring(index, directive);
    const passedOn = arrivals.filter(({request}) => isAnswered(index, directive, request));
    const toldAtMs = firstByProcess(passedOn, ({request}) => request.endedAtMs);
    return arrivals.flatMap(({request, atMs}) => {
      const toldMs = toldAtMs.get(processOf(request));
      if (toldMs === undefined || request.sentAtMs <= toldMs + drainMs) return [];
      if (index.isDisrupted([request.gateway], toldMs, atMs, isUnplanned)) return [];
      const {targetId} = directive;
      return [`${labelOf(request)} reached ${targetId}, which had told its gateway that it leaves`];
    });
  });
}

/** Finds gateways that sent more requests than allowed to a target in the pause that it had asked them for. */
export function findArrivalsInPause(
  index: HistoryIndex,
  {pauseNoticeMs, maxRequestsInPause}: PromiseBounds,
): readonly string[] {
  return directivesOf(index, 'pause').flatMap(directive => {
    const arrivals = arrivalsDuring(index, directive);
    const {targetId, pauseMs} = directive;
    return [...firstByProcess(arrivals, ({atMs}) => atMs)].flatMap(([process, toldMs]) => {
      const inPause = arrivals.filter(
        ({request, atMs}) =>
          processOf(request) === process &&
          atMs > toldMs + pauseNoticeMs &&
          atMs < toldMs + pauseMs,
      );
      const [first] = inPause;
      if (first === undefined || inPause.length <= maxRequestsInPause) return [];
      if (index.isDisrupted([first.request.gateway], toldMs, toldMs + pauseMs, isUnplanned)) {
        return [];
      }
      return [`${process} sent ${inPause.length} requests to ${targetId} in its pause`];
    });
  });
}

function directivesOf(
  {history}: HistoryIndex,
  kind: TargetDirective['kind'],
): readonly TargetDirective[] {
  return history.directives.filter(directive => directive.kind === kind);
}

/** Arrivals at the target while its answers carry the directive, in the order of time. */
function arrivalsDuring(
  {history, requestById}: HistoryIndex,
  {targetId, fromMs, untilMs}: TargetDirective,
): readonly Arrival[] {
  const isDuring = ({atMs}: TargetEvent) => atMs >= fromMs && atMs <= untilMs;
  return history.targetEvents
    .filter(event => event.kind === 'arrived' && event.targetId === targetId && isDuring(event))
    .flatMap(({requestId, atMs}) => {
      const request = requestById.get(requestId);
      return request === undefined ? [] : [{request, atMs}];
    });
}

/** Whether the gateway passed on an answer that the target gave while it carried the directive. */
function isAnswered(
  index: HistoryIndex,
  {targetId, fromMs}: TargetDirective,
  {id, end}: SentRequest,
): boolean {
  if (end.kind !== 'answered' || end.signature === undefined) return false;
  const answers = index.answersById.get(id) ?? [];
  return answers.some(answer => answer.targetId === targetId && answer.atMs >= fromMs);
}

/** The earliest time for each process of a gateway. */
function firstByProcess(
  arrivals: readonly Arrival[],
  timeOf: (arrival: Arrival) => number,
): ReadonlyMap<string, number> {
  const firstMs = new Map<string, number>();
  for (const arrival of arrivals) {
    const process = processOf(arrival.request);
    firstMs.set(process, Math.min(timeOf(arrival), firstMs.get(process) ?? Infinity));
  }
  return firstMs;
}

function isUnplanned({planned}: Disruption): boolean {
  return !planned;
}

function processOf({gateway, incarnation}: SentRequest): string {
  return `${gateway}, start ${incarnation}`;
}
