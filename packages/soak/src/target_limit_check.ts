/** Checks that the gateways together keep to the limit that a target names in its answers. */
import type {HistoryIndex} from './history_index';
import type {PromiseBounds} from './promise_bounds';
import type {TargetEvent, TargetLimit} from './soak_history';

interface Arrival {
  readonly atMs: number;
  readonly gateway: string;
}

/** Finds windows in which a limited target got more requests than allowed from gateways that had seen its limit. */
export function findArrivalsBeyondLimit(
  index: HistoryIndex,
  bounds: PromiseBounds,
): readonly string[] {
  const {limitWindowMs, limitFactor, limitSlackRequests} = bounds;
  return index.history.limits.flatMap(limit => {
    const {targetId, requestsPerS, untilMs} = limit;
    const arrivals = arrivalsFromTold(index, limit, bounds);
    const allowed = (requestsPerS * limitFactor * limitWindowMs) / 1_000 + limitSlackRequests;
    const counts = arrivals
      .filter(({atMs}) => atMs + limitWindowMs <= untilMs)
      .map(({atMs: fromMs}) => countBetween(arrivals, fromMs, fromMs + limitWindowMs));
    const most = Math.max(0, ...counts);
    return most > allowed
      ? [
          `${targetId} named ${requestsPerS}/s and got ${most} requests, at most ${allowed} are allowed`,
        ]
      : [];
  });
}

/** Arrivals at the target from undisturbed gateways, each from some time after it had seen the limit. */
function arrivalsFromTold(
  index: HistoryIndex,
  {targetId, fromMs, untilMs}: TargetLimit,
  {limitNoticeMs}: PromiseBounds,
): readonly Arrival[] {
  const gatewayOf = ({requestId}: TargetEvent) => index.requestById.get(requestId)?.gateway;
  const events = index.history.targetEvents.filter(
    event => event.targetId === targetId && event.atMs >= fromMs && event.atMs <= untilMs,
  );
  const toldAtMs = new Map<string, number>();
  for (const event of events) {
    const gateway = gatewayOf(event);
    const isFirst = gateway !== undefined && !toldAtMs.has(gateway);
    if (event.kind === 'answered' && isFirst) toldAtMs.set(gateway, event.atMs);
  }
  return events.flatMap(event => {
    const gateway = gatewayOf(event);
    const toldMs = gateway === undefined ? undefined : toldAtMs.get(gateway);
    if (event.kind !== 'arrived' || gateway === undefined || toldMs === undefined) return [];
    if (event.atMs < toldMs + limitNoticeMs) return [];
    if (index.isDisrupted([gateway, targetId], fromMs, event.atMs)) return [];
    return [{atMs: event.atMs, gateway}];
  });
}

function countBetween(arrivals: readonly Arrival[], fromMs: number, untilMs: number): number {
  return arrivals.filter(({atMs}) => atMs >= fromMs && atMs <= untilMs).length;
}
