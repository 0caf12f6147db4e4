/**
 * Bodies of the operators' HTTP API. All times are UTC.
 *
 * - `POST /v1/plans` with a {@link PlanRequest} or {@link CatalogPlanRequest} answers a {@link Plan}; nothing changes.
 * - `POST /v1/plans/confirm` with a {@link ConfirmRequest} answers a {@link ConfirmReply}.
 * - `GET /v1/intents` answers `{configVersion, intents: ConfirmedIntent[]}`; `GET /v1/intents/<id>` one of them.
 * - `GET /v1/status` answers a {@link StatusReply}.
 * - `GET /v1/explain/<request id>` answers an {@link ExplainReply}.
 *
 * Errors are an {@link ErrorBody} with the status of the result code.
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

/** Expected position of a move after some time. */
export interface PlanStep {
  /** Seconds after confirmation. */
  readonly afterS: number;
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly shares: readonly RegionShare[];
}

/** Load of one service in one region before and after, against what its targets can serve. */
export interface RegionHeadroom {
  readonly serviceId: string;
  readonly regionId: string;
  readonly capacityRequestsPerS: number;
  readonly beforeRequestsPerS: number;
  readonly afterRequestsPerS: number;
  /** Free part of the capacity afterwards, from 0 to 1; negative when overloaded. */
  readonly headroomShare: number;
}

/** A promise that the plan would put at risk. A blocking risk cannot be confirmed. */
export interface PlanRisk {
  readonly severity: 'warning' | 'blocking';
  readonly text: string;
}

/** What will change when the plan is confirmed. */
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
  /** Keyed digest over all other fields, so that any instance can confirm a plan that another one made. */
  readonly signature: string;
}

/** Confirms a plan as it was answered. */
export interface ConfirmRequest {
  readonly plan: Plan;
}

/** Answer to a confirmation. */
export interface ConfirmReply {
  /** `accepted` when two other instances hold the change; `stored` when only the store does. */
  readonly state: 'accepted' | 'stored';
  readonly configVersion: number;
  /** True when this plan was confirmed before. */
  readonly repeated: boolean;
}

/** One instance in the status. */
export interface InstanceStatus {
  readonly instanceId: string;
  readonly regionId: string;
  readonly failureDomainId: string;
  readonly state: InstanceState;
  readonly reachability: Reachability;
  readonly configVersion: number;
  /** Age of the figures in milliseconds; undefined when the instance did not answer. */
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

/** A move under way. */
export interface MoveStatus {
  readonly intentId: string;
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly target: readonly RegionShare[];
  /** Mean of the shares that instances apply now. */
  readonly applied: readonly RegionShare[];
  readonly maxMovedShare: number;
  readonly windowS: number;
}

/** Requests in flight at a site that is drained or stopped. */
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
  /** Text for the person who asked. */
  readonly reason: string;
  /** What led to it, for operators. */
  readonly detail: string;
  /** Milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly serviceId: string;
  readonly instanceId: string;
  readonly configVersion: number;
  /** Where the explanation comes from: the signed request id alone, or also the instance's memory. */
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
