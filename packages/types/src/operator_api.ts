/**
 * Request and response bodies of the operators' HTTP API. All times are UTC.
 *
 * - `POST /v1/plans` takes a {@link PlanRequest} or {@link CatalogPlanRequest} and returns a {@link Plan}; it changes
 *   nothing.
 * - `POST /v1/plans/confirm` takes a {@link ConfirmRequest} and returns a {@link ConfirmReply}.
 * - `GET /v1/intents` returns `{configVersion, intents: ConfirmedIntent[]}`; `GET /v1/intents/<id>` one of them.
 * - `GET /v1/status` returns a {@link StatusReply}.
 * - `GET /v1/explain/<request id>` returns an {@link ExplainReply}.
 *
 * An error returns an {@link ErrorBody} with the HTTP status of its result code.
 */
import type {Catalog, ConfigurationChangeBody} from './configuration';
import type {Intent, RegionShare} from './intent';
import type {Reachability} from './membership';
import type {AppliedShare, ServiceLoad, SiteLoad} from './reports';
import type {Outcome} from './result_codes';
import type {InstanceState} from './topology';

/** Asks what an intent, or its removal, would change. */
export type PlanRequest =
  | {readonly action: 'put'; readonly intent: Intent}
  | {readonly action: 'remove'; readonly intentId: string};

/** Asks what a new catalog would change. */
export interface CatalogPlanRequest {
  readonly action: 'put-catalog';
  readonly catalog: Catalog;
}

/** Shares of one service and caller region before and after. */
export interface ShareChange {
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly before: readonly RegionShare[];
  readonly after: readonly RegionShare[];
  /** Share of requests that changes region, from 0 to 1. */
  readonly movedShare: number;
}

/** Shares that a gradual change is expected to have reached some time after the confirmation. */
export interface PlanStep {
  /** Seconds after confirmation. */
  readonly afterS: number;
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly shares: readonly RegionShare[];
}

/** Load of one service in one region before and after the change, and the capacity of its targets there. */
export interface RegionHeadroom {
  readonly serviceId: string;
  readonly regionId: string;
  readonly capacityRequestsPerS: number;
  readonly beforeRequestsPerS: number;
  readonly afterRequestsPerS: number;
  /** Fraction of the capacity that is free afterwards, from 0 to 1; negative when overloaded. */
  readonly headroomShare: number;
}

/** A promise of the system that the plan puts at risk. A plan with a blocking risk cannot be confirmed. */
export interface PlanRisk {
  readonly severity: 'warning' | 'blocking';
  readonly text: string;
}

/** A proposed change with its expected effects; it is applied only when the plan is confirmed. */
export interface Plan {
  /** Identifies the plan; confirming the same digest twice does the same as once. */
  readonly digest: string;
  /** Configuration version that the plan was made from. */
  readonly configVersion: number;
  /** Milliseconds since the Unix epoch. */
  readonly madeAtMs: number;
  readonly change: ConfigurationChangeBody;
  readonly shareChanges: readonly ShareChange[];
  readonly steps: readonly PlanStep[];
  readonly expectedDurationS: number;
  readonly headroom: readonly RegionHeadroom[];
  readonly risks: readonly PlanRisk[];
  /** HMAC of all other fields, so that any instance can confirm a plan that another one made. */
  readonly signature: string;
}

/** Confirms a plan, which is sent back unchanged. */
export interface ConfirmRequest {
  readonly plan: Plan;
}

/** Result of a confirmation. */
export interface ConfirmReply {
  /** `accepted` when two other instances hold the change; `stored` when only the platform store does. */
  readonly state: 'accepted' | 'stored';
  readonly configVersion: number;
  /** True when this plan was confirmed before. */
  readonly repeated: boolean;
}

/** State and load of one instance, as part of {@link StatusReply}. */
export interface InstanceStatus {
  readonly instanceId: string;
  readonly regionId: string;
  readonly failureDomainId: string;
  readonly state: InstanceState;
  readonly reachability: Reachability;
  readonly configVersion: number;
  /** Age of the loads, shares and sites in milliseconds; undefined when the instance did not answer. */
  readonly ageMs?: number;
  readonly loads: readonly ServiceLoad[];
  readonly shares: readonly AppliedShare[];
  readonly sites: readonly SiteLoad[];
}

/** Load of one service in one region, summed over the instances that answered. */
export interface RegionStatus {
  readonly serviceId: string;
  readonly regionId: string;
  readonly slots: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly usableTargets: number;
  readonly drainingTargets: number;
}

/** A gradual change of shares that is in progress. */
export interface MoveStatus {
  readonly intentId: string;
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly target: readonly RegionShare[];
  /** Mean of the shares that the instances currently apply. */
  readonly applied: readonly RegionShare[];
  readonly maxMovedShare: number;
  readonly windowS: number;
}

/** Progress of a drain or stop, as the requests still in flight at the site. */
export interface DrainStatus {
  readonly intentId: string;
  readonly siteId: string;
  readonly inFlight: number;
  readonly done: boolean;
}

/** State of the system as one instance sees it. */
export interface StatusReply {
  readonly answeredBy: string;
  readonly configVersion: number;
  readonly storeReachable: boolean;
  readonly regions: readonly RegionStatus[];
  readonly moves: readonly MoveStatus[];
  readonly drains: readonly DrainStatus[];
  readonly instances: readonly InstanceStatus[];
}

/** Why a request was refused. */
export interface ExplainReply {
  readonly requestId: string;
  readonly code: number;
  readonly name: string;
  readonly outcome: Outcome;
  /** Explanation for the caller. */
  readonly reason: string;
  /** Cause of the refusal, for operators. */
  readonly detail: string;
  /** Milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly serviceId: string;
  readonly instanceId: string;
  readonly configVersion: number;
  /** Source of the explanation: the signed request id alone, or also the refusals that an instance remembers. */
  readonly source: 'request-id' | 'instance';
}

/** Body of an error or a refusal. */
export interface ErrorBody {
  readonly code: number;
  readonly name: string;
  readonly outcome: Outcome;
  readonly reason: string;
  readonly detail?: string;
  readonly requestId?: string;
  readonly retryAfterS?: number;
}
