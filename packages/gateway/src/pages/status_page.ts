/** The status page: the state that the gateway works with, its age, and why a target is not used. */
import type {PoisonSuspicion} from '@cuminsill/types';
import type {KeyLeaseStatus} from '../key_lease';
import type {GatewayParts} from '../gateway_parts';
import type {FeedState} from '../store/feed_progress';
import type {RouteRule} from '../gateway_types';
import type {QuotaStatus} from '../quota';
import type {RetryStatus} from '../forwarding/retry_budget';
import type {Target} from '../targets/target';
import {targetState} from '../targets/target_state';

/** JSON content of the status page. */
export interface GatewayStatus {
  readonly gateway: string;
  readonly configVersion: number;
  readonly feeds: readonly FeedState[];
  /** Time for which changes in the store may be unknown, in milliseconds; undefined before the first lists. */
  readonly storeFreshnessAgeMs: number | undefined;
  readonly evacuatedDomains: readonly string[];
  readonly gateways: readonly string[];
  readonly routes: readonly RouteRule[];
  readonly targets: readonly TargetStatus[];
  readonly retries: readonly RetryStatus[];
  readonly keyLease: KeyLeaseStatus;
  /** Requests that may crash the targets that run them. */
  readonly suspicions: readonly PoisonSuspicion[];
  readonly quotas: QuotaStatus;
}

/** One target on the status page. */
export interface TargetStatus {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  /** `usable`, or the reason why the target is not used. */
  readonly state: string;
  readonly inFlight: number;
  readonly estimatedLoad: number;
  readonly failureRate: number;
  readonly slowness: number;
}

/** Returns the page as JSON text. */
export function renderStatusPage(
  parts: GatewayParts,
  feeds: readonly FeedState[],
  freshnessAgeMs: number | undefined,
): string {
  const nowMs = parts.time.monotonicMs();
  const {routes, version} = parts.configuration;
  const status: GatewayStatus = {
    gateway: parts.settings.value.name,
    configVersion: version,
    feeds,
    storeFreshnessAgeMs: freshnessAgeMs === undefined ? undefined : Math.round(freshnessAgeMs),
    evacuatedDomains: [...parts.evacuations.evacuatedDomains],
    gateways: parts.peers.activeGatewayNames(),
    routes: routes?.configuration.routes ?? [],
    targets: [...parts.targets.all()].map(target => targetStatus(parts, target, nowMs)),
    retries: parts.retryBudget.status(),
    keyLease: parts.keyLease.status(),
    suspicions: parts.poison.suspicions(),
    quotas: parts.quotas.status(),
  };
  return JSON.stringify(status, undefined, 2);
}

function targetStatus(parts: GatewayParts, target: Target, nowMs: number): TargetStatus {
  const workMs = parts.serviceTimes.of(target.service).averageMs();
  return {
    id: target.id,
    service: target.service,
    address: `${target.address.host}:${target.address.port}`,
    failureDomain: target.failureDomain,
    state: targetState(target, parts.evacuations, nowMs),
    inFlight: target.load.inFlight,
    estimatedLoad: Number(target.load.estimateRequests(nowMs, workMs).toFixed(2)),
    failureRate: Number(target.health.failureRate(nowMs).toFixed(2)),
    slowness: Number(target.health.slowness(nowMs).toFixed(2)),
  };
}
