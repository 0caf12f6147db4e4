/** Types shared by the modules that forward requests. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ClaimSession} from '@cuminsill/claims';
import type {Metrics} from '@cuminsill/logger';
import type {
  HedgeBudget,
  PoisonDecisions,
  RetryBudget,
  SteeringDecisions,
} from '@cuminsill/steering';
import type {TimeSource} from '@cuminsill/utils';
import type {FiberSet} from 'effect';
import type {RequestHead} from './request_head';
import type {ReplayableBody} from './replayable_body';
import type {TargetConnections} from './target_connections';

/** Dependencies and settings of forwarding. */
export interface ForwarderDependencies {
  readonly steering: SteeringDecisions;
  readonly poisonGuard: PoisonDecisions;
  readonly retryBudget: RetryBudget;
  readonly hedgeBudget: HedgeBudget;
  /** Whether a slow read is also sent to a second target. */
  readonly hedging: boolean;
  /** One-way latency from this instance to a region, in milliseconds. */
  readonly latencyToRegionMs: (regionId: string) => number;
  readonly claims: Pick<ClaimSession, 'claim' | 'complete'>;
  /** Fibers that report outcomes after the response to the caller; the daemon waits for them when it stops. */
  readonly backgroundFibers: FiberSet.FiberSet;
  readonly connections: TargetConnections;
  readonly metrics: Metrics;
  readonly time: TimeSource;
  /** Requests a prompt report to the other instances, after a request took a target down or a target is leaving. */
  readonly reportSoon: () => void;
  readonly replayBufferBytes: number;
  readonly maxBodyBytes: number;
  readonly maxAttempts: number;
  /** How long to wait after the deadline for the response to a non-idempotent request, in milliseconds. */
  readonly lateResponseTimeoutMs: number;
}

/** A request that is being forwarded. */
export interface RequestContext {
  readonly head: RequestHead;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: ReplayableBody;
  /** Digest of service, method, path and buffered body; equal for repetitions of the same request. */
  readonly fingerprint: string;
  /** True if a target was known to have gone down under the same request when this one arrived. */
  readonly wasSuspected: boolean;
}
