/** Endpoints of a gateway apart from the callers' port: look-ups, readiness, metrics and status. */
import type {GatewayParts} from '../gateway_parts';
import {answerLookup} from './lookup_answers';
import type {LookupWire} from './lookup_wire';
import type {FeedState} from '../store/feed_progress';
import {PageServer} from './page_server';
import {countTargets} from '../targets/target_state';
import {renderStatusPage} from './status_page';

/** One server for each listen address. */
export interface GatewayPages {
  readonly lookups: PageServer;
  readonly readiness: PageServer;
  readonly metrics: PageServer;
}

/** State of the gateway that the pages show in addition to its parts. */
export interface PageState {
  isReady(): boolean;
  feedStates(): readonly FeedState[];
  /** Time for which changes in the store may be unknown, in milliseconds; undefined before the first lists. */
  freshnessAgeMs(): number | undefined;
}

/** Makes the page servers without starting them. */
export function makePages(parts: GatewayParts, wire: LookupWire, state: PageState): GatewayPages {
  return {
    lookups: lookupPages(parts, wire, state),
    readiness: readinessPages(wire, state),
    metrics: metricsPages(parts, state),
  };
}

function lookupPages(parts: GatewayParts, wire: LookupWire, state: PageState): PageServer {
  const handler = (query: URLSearchParams) => {
    const {ownRecord} = parts.peers;
    const own = state.isReady() ? [ownRecord] : [];
    const {isIsolated} = parts.paths;
    const named = {
      serving: [...(isIsolated ? [] : own), ...parts.peers.servingPeers()],
      isolated: [...(isIsolated ? own : []), ...parts.peers.isolatedPeers()],
    };
    const {maxLookupTtlMs} = parts.settings.value.bounds;
    const answer = answerLookup(wire.readQuery(query), named, maxLookupTtlMs);
    const status = answer.addresses.length > 0 ? 200 : 503;
    return {status, contentType: 'application/json', body: wire.writeAnswer(answer)};
  };
  return new PageServer(new Map([[wire.lookupPath, handler]]));
}

function readinessPages(wire: LookupWire, state: PageState): PageServer {
  const handler = () => {
    const isReady = state.isReady();
    const body = isReady ? 'ready\n' : 'not ready\n';
    return {status: isReady ? 200 : 503, contentType: 'text/plain', body};
  };
  return new PageServer(new Map([[wire.readinessPath, handler]]));
}

function metricsPages(parts: GatewayParts, state: PageState): PageServer {
  const metrics = async () => {
    const {metrics, targets, evacuations, time} = parts;
    metrics.setTargetCounts(countTargets(targets.all(), evacuations, time.monotonicMs()));
    parts.metrics.setGatewayCounts({
      listed: parts.peers.listedGatewayCount(),
      alive: parts.peers.activeGatewayNames().length,
    });
    parts.metrics.setStoreAnswerAges(state.feedStates());
    parts.metrics.setFreshnessAge(state.freshnessAgeMs());
    parts.metrics.setKeyLease(parts.keyLease.status());
    parts.metrics.setBodyBytes(parts.bodyMemory.heldBytes);
    const body = await parts.metrics.render();
    return {status: 200, contentType: 'text/plain; version=0.0.4', body};
  };
  const status = () => ({
    status: 200,
    contentType: 'application/json',
    body: renderStatusPage(parts, state.feedStates(), state.freshnessAgeMs()),
  });
  return new PageServer(
    new Map<string, () => ReturnType<typeof status> | ReturnType<typeof metrics>>([
      ['/metrics', metrics],
      ['/status', status],
    ]),
  );
}
