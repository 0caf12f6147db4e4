/**
 * What the gateway believes about its surroundings: the configuration in force, the targets of each service, and the
 * other gateways. The adapter of a platform decodes its objects into these types.
 */
import type {SocketAddress} from '@cuminsill/types';

/** Whether a request may be run more than once. */
export type RepeatRule = 'idempotent' | 'at-most-once';

/** One service among which a route divides its requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host whose paths begin with one prefix. */
export interface RouteRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeat: RepeatRule;
  /** Longest time that a caller is kept waiting, in milliseconds; undefined leaves it to the caller's deadline. */
  readonly timeoutMs: number | undefined;
  /** Time within which an answer is of full use to the caller, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Rank among the routes of a service; 0 is the most urgent. */
  readonly priority: number;
  /** Targets to which one request may be sent at most. */
  readonly maxTargets: number;
  /** Regions that may see the requests; empty when all may. */
  readonly homeRegions: readonly string[];
  readonly services: readonly WeightedService[];
}

/** What the configuration says of a service. */
export interface ServiceRule {
  readonly name: string;
  /** How long a target stays cold after a start, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests per second that a cold target bears. */
  readonly coldRequestsPerS: number;
}

/** What callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  readonly services: ReadonlyMap<string, ServiceRule>;
  readonly limits: CallerLimits;
}

/** What a target says of itself through the platform. */
export interface TargetRecord {
  readonly id: string;
  readonly service: string;
  readonly address: SocketAddress;
  readonly failureDomain: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Time for which the target stays cold from the moment of the record, in milliseconds. */
  readonly coldForMs: number;
  /** Start of the target's process in milliseconds since the Unix epoch; 0 when the record does not say. */
  readonly startedAtMs: number;
}

/** What a gateway says of itself through the platform. */
export interface GatewayRecord {
  readonly name: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Where callers connect. */
  readonly callerAddress: SocketAddress;
  /** Where other gateways send their heartbeats. */
  readonly peerAddress: SocketAddress;
}

/** Bounds that the deployment promises to its users. */
export interface GatewayBounds {
  /** Time between SIGTERM and the forced end of the process, in milliseconds. */
  readonly stopGraceMs: number;
  /** Part of a service's requests that may be sent to a further target. */
  readonly retryRatio: number;
  /** Window of the retry limit, in milliseconds. */
  readonly retryWindowMs: number;
  /** Requests that may be sent to a further target in each window regardless of the ratio, over all gateways. */
  readonly retrySlack: number;
  /** Factor on `coldRequestsPerS` that a target bears for one second. */
  readonly coldOvershoot: number;
  /** Requests beyond the factor that a cold target bears in one second. */
  readonly coldSlack: number;
  /** Longest time for which callers may keep a look-up answer, in milliseconds. */
  readonly maxLookupTtlMs: number;
}

/** Settings of a gateway. */
export interface GatewaySettings {
  readonly name: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>;
  readonly listen: {
    readonly callers: SocketAddress;
    readonly readiness: SocketAddress;
    readonly lookups: SocketAddress;
    readonly metrics: SocketAddress;
    /** Heartbeats of other gateways, over UDP. */
    readonly peers: SocketAddress;
  };
  readonly storeAddress: SocketAddress;
  readonly bounds: GatewayBounds;
}
