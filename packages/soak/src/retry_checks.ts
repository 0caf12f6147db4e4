/** Checks of the promises on retries: their number for each service, and those of requests that crash targets. */
import type {HistoryIndex} from './history_index';
import type {PromiseBounds} from './promise_bounds';

/** Finds windows in which the gateways together sent more retries to a service than the limit allows. */
export function findExcessiveRetries(
  index: HistoryIndex,
  bounds: PromiseBounds,
): readonly string[] {
  const {retryWindowMs, retryRatio, retrySlackRequests} = bounds;
  const services = new Set(index.history.targetEvents.map(({service}) => service));
  return [...services].flatMap(service => {
    const retryTimes = [...index.arrivalsById.values()]
      .flatMap(arrivals => arrivals.filter(event => event.service === service).slice(1))
      .map(({atMs}) => atMs)
      .sort((a, b) => a - b);
    const firstAttemptTimes = [...index.arrivalsById.values()]
      .flatMap(arrivals => arrivals.filter(event => event.service === service).slice(0, 1))
      .map(({atMs}) => atMs);
    const countIn = (times: readonly number[], fromMs: number) =>
      times.filter(atMs => atMs >= fromMs && atMs < fromMs + retryWindowMs).length;
    return retryTimes.flatMap(fromMs => {
      const count = countIn(retryTimes, fromMs);
      const requests = Math.max(
        ...[0, retryWindowMs / 2, retryWindowMs].map(backMs =>
          countIn(firstAttemptTimes, fromMs - backMs),
        ),
      );
      const limit = requests * retryRatio + retrySlackRequests;
      return count > limit ? [`${service}: ${count} retries, at most ${limit} are allowed`] : [];
    });
  });
}

/** Finds requests that are still sent to targets after they have crashed several. */
export function findRetriesOfCrashingRequests(
  index: HistoryIndex,
  {stabilityMs, maxCrashes, maxRetriesAfterCrashes}: PromiseBounds,
): readonly string[] {
  const {crashes, requests} = index.history;
  const paths = new Set(crashes.map(({path}) => path));
  return [...paths].flatMap(path => {
    const crashesOfPath = crashes.filter(crash => crash.path === path);
    const lastAllowed = crashesOfPath[maxCrashes - 1];
    if (lastAllowed === undefined) return [];
    const lateArrivals = requests
      .filter(request => request.path === path)
      .flatMap(({id, gateway, sentAtMs}) =>
        index.arrivalsOf(id).map(arrival => ({...arrival, gateway, sentAtMs})),
      )
      .filter(({atMs}) => atMs > lastAllowed.atMs + stabilityMs)
      .filter(({gateway, sentAtMs, atMs}) => !index.isDisrupted([gateway], sentAtMs, atMs));
    if (lateArrivals.length <= maxRetriesAfterCrashes) return [];
    return [
      `${path} reached targets ${lateArrivals.length} times after it had crashed ${maxCrashes}; ${crashesOfPath.length} crashed`,
    ];
  });
}
