/**
 * Configuration, targets, gateways and settings as the gateway uses them. The platform's adapter decodes stored
 * objects into these types.
 */
import type {SocketAddress} from '@cuminsill/types';

/** Whether a request may be run more than once. */
export type RepeatRule = 'idempotent' | 'at-most-once';

/** A service of a route, with the weight by which it gets requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** How to serve the requests of a host whose paths begin with a prefix. */
export interface RouteRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeat: RepeatRule;
  /** Timeout of a request, in milliseconds; undefined when only the caller's deadline limits it. */
  readonly timeoutMs: number | undefined;
  /** Latency that answers should not exceed, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Rank among the routes of a service; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of targets to which one request is sent. */
  readonly maxTargets: number;
  /** Regions in which the requests may be run; empty when any region may. */
  readonly homeRegions: readonly string[];
  /** True when requests need no key. */
  readonly isPublic: boolean;
  readonly services: readonly WeightedService[];
}

/** A workspace: whose keys its callers use, and the limits on their requests. */
export interface WorkspaceRule {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank among the workspaces, which goes before the rank of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Limit on the requests that run at targets, over all gateways; undefined when there is none. */
  readonly quota: RequestQuota | undefined;
  /** Regions in which the requests may be run; empty when any region may. */
  readonly homeRegions: readonly string[];
}

/** Token bucket of a workspace, over all gateways. */
export interface RequestQuota {
  readonly ratePerS: number;
  /** Requests that may run at once after a quiet period. */
  readonly burst: number;
}

/** Configuration of a service. */
export interface ServiceRule {
  readonly name: string;
  /** How long a target stays cold after a start, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests per second that a cold target can take. */
  readonly coldRequestsPerS: number;
}

/** Limits on requests and connections of callers. */
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
  /** Empty when requests need no keys. */
  readonly workspaces: readonly WorkspaceRule[];
}

/** A target's own record in the platform store. */
export interface TargetRecord {
  readonly id: string;
  readonly service: string;
  readonly address: SocketAddress;
  readonly failureDomain: string;
  readonly slots: number;
  readonly draining: boolean;
  /** How long the target stays cold from the time of the record, in milliseconds. */
  readonly coldForMs: number;
  /** Start of the target's process in milliseconds since the Unix epoch; 0 when the record does not contain it. */
  readonly startedAtMs: number;
}

/** A gateway's own record in the platform store. */
export interface GatewayRecord {
  readonly name: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Address that callers connect to. */
  readonly callerAddress: SocketAddress;
  /** Address that other gateways send heartbeats to. */
  readonly peerAddress: SocketAddress;
  /** What the gateway understands beyond heartbeats; undefined in records of earlier builds. */
  readonly features?: readonly string[];
}

/** Limits that the deployment guarantees to its users. */
export interface GatewayBounds {
  /** Time between SIGTERM and the forced end of the process, in milliseconds. */
  readonly stopGraceMs: number;
  /** Time after a disruption within which the gateway must be up to date again, in milliseconds. */
  readonly resyncMs: number;
  /**
   * Time from the store's acknowledgement of a configuration, of a target that drains or is gone, or of an evacuation, within
   * which each gateway must act on it, in milliseconds: the shortest of these bounds.
   */
  readonly changeMs: number;
  /** Retries per request of a service, over all gateways. */
  readonly retryRatio: number;
  /** Window in which the retry limit holds, in milliseconds. */
  readonly retryWindowMs: number;
  /** Retries allowed in each window in addition to the ratio, over all gateways. */
  readonly retrySlack: number;
  /** Multiple of `coldRequestsPerS` that a cold target can take in one second. */
  readonly coldOvershoot: number;
  /** Requests that a cold target can take in one second in addition to that multiple. */
  readonly coldSlack: number;
  /** Maximum time for which callers may use a look-up answer, in milliseconds. */
  readonly maxLookupTtlMs: number;
  /**
   * Time after the acknowledgement of a configuration without a key within which the last request with that key may be sent, in
   * milliseconds; undefined when revocation has no strict bound.
   */
  readonly keyRevocationMs: number | undefined;
  /** Undefined when the deployment limits no workspaces. */
  readonly quota: QuotaBounds | undefined;
}

/** How exactly the quotas of workspaces must hold. */
export interface QuotaBounds {
  /** Any span of this length counts, in milliseconds. */
  readonly windowMs: number;
  /** Fraction by which a workspace may exceed its quota in a window. */
  readonly overshootRatio: number;
  /** Requests by which a workspace may exceed it in addition. */
  readonly slackRequests: number;
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
  /** Memory above which the platform ends the process, in megabytes. */
  readonly memoryLimitMb: number;
  readonly bounds: GatewayBounds;
}
