/** What forwarding works with, and a request on its way. */
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
import type {Call} from './request_head';
import type {ReplayBody} from './replayable_body';
import type {TargetConnections} from './target_connections';

/** What forwarding works with. */
export interface ForwarderParts {
  readonly steering: SteeringDecisions;
  readonly poison: PoisonDecisions;
  readonly retryBudget: RetryBudget;
  readonly hedgeBudget: HedgeBudget;
  /** Whether slow reads are sent to a second target. */
  readonly hedging: boolean;
  /** One-way latency from this instance to a region, in milliseconds. */
  readonly latencyToMs: (regionId: string) => number;
  readonly claims: Pick<ClaimSession, 'claim' | 'complete'>;
  /** Runs reports that the caller does not wait for; a stop waits for them. */
  readonly background: FiberSet.FiberSet;
  readonly connections: TargetConnections;
  readonly metrics: Metrics;
  readonly time: TimeSource;
  /** Tells the other instances at once that a request took a target down, or that a target is leaving. */
  readonly spreadNow: () => void;
  readonly replayBufferBytes: number;
  readonly maxBodyBytes: number;
  readonly maxAttempts: number;
  /** How long to wait for the late answer of a non-idempotent operation, in milliseconds. */
  readonly lateWaitMs: number;
}

/** A request on its way. */
export interface Flight {
  readonly call: Call;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: ReplayBody;
  /** Identifies the request, so that the same one is recognised when it comes again. */
  readonly fingerprint: string;
}
