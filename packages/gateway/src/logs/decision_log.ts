/**
 * Structured log of decisions about requests and of state changes. Lines go to standard output through a bounded
 * buffer, so that a reader that stops reading does not block the gateway.
 */
import Bunyan from 'bunyan';
import type {TimeSource} from '@cuminsill/utils';
import {TokenBucket} from '@cuminsill/utils';
import type {RefusalReason} from '../admission';
import type {BoundedLogStream} from './bounded_log_stream';
import type {AttemptSummary} from '../forwarding/attempt_record';
import type {RequestIdentity} from '../requests/request_fingerprint';
import type {PathState} from '../targets/target_paths';

/** Rate limit for lines of successful requests. Suppressed lines are counted, and a later line reports the count. */
const servedLinesPerS = 40;
const servedLineBurst = 80;
/**
 * Separate limit for failed requests, so that successful ones cannot use it up: these are the ones that callers ask
 * about.
 */
const failedLinesPerS = 40;
const failedLineBurst = 160;
/** Limit for events, which come in bursts when a failure domain fails. */
const eventLinesPerS = 50;
const eventLineBurst = 200;

const minErrorStatus = 400;

/** Log fields of a request and the decision about it. */
export interface RequestDecision {
  readonly requestId: string;
  readonly route: string;
  /** Workspace of the caller; undefined when the request needs no key or has no valid one. */
  readonly workspace?: string | undefined;
  readonly service: string | undefined;
  /** Object that the request concerns; undefined when the request does not state it. */
  readonly objectKey: string | undefined;
  readonly configVersion: number;
  readonly outcome: string;
  readonly status: number;
  readonly elapsedMs: number;
  /** Target latency of the route, in milliseconds; left out without a route. */
  readonly targetLatencyMs?: number;
  /** Logged when another gateway relays the request to this one. */
  readonly isRelayed?: boolean;
  /** Whether the gateway reaches targets itself. */
  readonly pathState: PathState;
  readonly retryAfterMs?: number;
  /** Age of the lease on the keys of a request that was refused for it; missing without a confirmed read. */
  readonly leaseAgeMs?: number;
  /** Expected time until the answer, at the last admission of the request; includes `waitMs`. */
  readonly expectedMs?: number;
  /** Expected wait at the target, at the last admission. */
  readonly waitMs?: number;
  /** Time left until the deadline, at the last admission. */
  readonly remainingMs?: number;
  /** Rank of the request at the last admission; the workspace's priority stands before that of the route. */
  readonly rank?: string;
  /** Longest wait that the request accepted at the last admission. */
  readonly acceptedWaitMs?: number;
  /** Reason of the last admission, if it refused the request. */
  readonly refusedFor?: RefusalReason;
  readonly usableTargets: number;
  readonly listedTargets: number;
  readonly storeAgeMs: number | undefined;
  /** Logged when an attempt was lost or the request is quarantined, to find the related `poison` lines. */
  readonly fingerprint?: string;
  /** Logged with the fingerprint, to see in what two requests differ. */
  readonly identity?: RequestIdentity;
  readonly tries: readonly AttemptSummary[];
}

/** Kinds of log lines apart from those for requests. */
export type EventKind =
  | 'start'
  | 'stop'
  | 'reload'
  | 'configuration'
  | 'target'
  | 'evacuation'
  | 'store'
  | 'peer'
  | 'paths'
  | 'poison'
  | 'lease'
  | 'quota'
  | 'defect';

/** Destination of log lines. */
export type LogOutput = Pick<BoundedLogStream, 'write' | 'takeDropped' | 'drain'>;

/** Writes the lines of one gateway. */
export class DecisionLog {
  private readonly bunyan: Bunyan;
  private readonly servedBucket: TokenBucket;
  private readonly failedBucket: TokenBucket;
  private readonly eventBucket: TokenBucket;
  private suppressedCount = 0;

  constructor(
    gatewayName: string,
    time: TimeSource,
    private readonly output: LogOutput,
  ) {
    this.bunyan = Bunyan.createLogger({
      name: 'gateway',
      gateway: gatewayName,
      streams: [{stream: output as unknown as NodeJS.WritableStream}],
    });
    this.servedBucket = new TokenBucket(servedLinesPerS, servedLineBurst, time);
    this.failedBucket = new TokenBucket(failedLinesPerS, failedLineBurst, time);
    this.eventBucket = new TokenBucket(eventLinesPerS, eventLineBurst, time);
  }

  /**
   * Logs the decision about a request.
   * @param describe Returns the fields of the line; not called for a suppressed line.
   */
  request(outcome: string, status: number, describe: () => RequestDecision): void {
    const isServed = outcome === 'relayed' && status < minErrorStatus;
    this.write(isServed ? this.servedBucket : this.failedBucket, 'request', describe);
  }

  /** Logs an event or a change of the gateway's state. */
  event(line: EventKind, fields: Readonly<Record<string, unknown>>): void {
    this.write(this.eventBucket, line, () => fields);
  }

  /** Logs a change of a target's reachability. */
  targetReachability(targetId: string, state: string, reason: string): void {
    this.event('target', {targetId, state, reason});
  }

  /** Waits until all lines are written, up to the timeout. */
  flush(timeoutMs: number): Promise<void> {
    return this.output.drain(timeoutMs);
  }

  private write(bucket: TokenBucket, line: string, describe: () => object): void {
    if (!bucket.tryTake()) {
      this.suppressedCount += 1;
      return;
    }
    const {suppressedCount: suppressed} = this;
    this.suppressedCount = 0;
    const dropped = this.output.takeDropped();
    const gapFields =
      suppressed + dropped > 0 ? {suppressedLines: suppressed, droppedLines: dropped} : {};
    this.bunyan.info({line, ...describe(), ...gapFields}, line);
  }
}
