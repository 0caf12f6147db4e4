/**
 * Services and their targets. The contract of a service says what cuminsill may assume about its targets.
 */
import type {SocketAddress} from './topology';

/** Priority under load: interactive requests are served first, batch requests last. */
export type TrafficClass = 'interactive' | 'upload' | 'batch';

/** Classes in order of priority, most urgent first. */
export const trafficClasses: readonly TrafficClass[] = ['interactive', 'upload', 'batch'];

/** Whether a request that changes state may be sent a second time. */
export type Idempotency = 'idempotent' | 'non-idempotent';

/** Properties of a service that decide how its requests are prioritized, timed out and retried. */
export interface ServiceContract {
  readonly id: string;
  readonly trafficClass: TrafficClass;
  /** Applies to methods other than GET, HEAD and OPTIONS, which are always idempotent. */
  readonly idempotency: Idempotency;
  /** Timeout of a request for which the caller gives no deadline, in milliseconds. */
  readonly defaultTimeoutMs: number;
  /** Response statuses by which a target of this service promises that it did not run the request. */
  readonly notRunStatuses: readonly number[];
  /** Expected service time in milliseconds; used until measurements exist. */
  readonly expectedServiceMs: number;
}

/** A process that serves requests of one service, with its location and limits. */
export interface Target {
  readonly id: string;
  readonly serviceId: string;
  readonly siteId: string;
  readonly regionId: string;
  readonly failureDomainId: string;
  readonly address: SocketAddress;
  /** Number of requests that the target can run at the same time. */
  readonly slots: number;
  /** Number of connections that the target accepts. */
  readonly maxConnections: number;
}

/** The expected request rate of one service from the callers of one region. */
export interface Demand {
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly requestsPerS: number;
}
