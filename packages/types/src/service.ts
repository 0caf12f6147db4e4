/**
 * Services and their targets. The contract of a service says what cuminsill may assume about its targets.
 */
import type {SocketAddress} from './topology';

/** Priority under load: interactive requests go first, batch requests last. */
export type TrafficClass = 'interactive' | 'upload' | 'batch';

/** Classes in order of priority, most urgent first. */
export const trafficClasses: readonly TrafficClass[] = ['interactive', 'upload', 'batch'];

/** Whether a request that changes something may be sent a second time. */
export type Idempotency = 'idempotent' | 'non-idempotent';

/** What a service promises and needs. */
export interface ServiceContract {
  readonly id: string;
  readonly trafficClass: TrafficClass;
  /** Applies to methods other than GET, HEAD and OPTIONS, which are always idempotent. */
  readonly idempotency: Idempotency;
  /** Deadline of a request whose caller names none, in milliseconds. */
  readonly defaultTimeoutMs: number;
  /** Response statuses by which a target of this service promises that it did not run the request. */
  readonly notRunStatuses: readonly number[];
  /** Usual time that a target takes for one request, in milliseconds; used until it is measured. */
  readonly expectedServiceMs: number;
}

/** One endpoint of a service. */
export interface Target {
  readonly id: string;
  readonly serviceId: string;
  readonly siteId: string;
  readonly regionId: string;
  readonly failureDomainId: string;
  readonly address: SocketAddress;
  /** Requests that the target runs at the same time. */
  readonly slots: number;
  /** Connections that the target accepts. */
  readonly maxConnections: number;
}

/** The expected request rate of one service from the callers of one region. */
export interface Demand {
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly requestsPerS: number;
}
