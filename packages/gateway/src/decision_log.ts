/**
 * Structured log lines: one for each decision that touches a request or changes what the gateway believes. Lines go to
 * standard output through a bounded buffer, so that a reader that stops reading never holds the gateway up.
 */
import Bunyan from 'bunyan';
import type {TimeSource} from '@cuminsill/utils';
import {TokenBucket} from '@cuminsill/utils';
import type {BoundedLogStream} from './bounded_log_stream';
import type {AttemptSummary} from './attempt_record';

/** Lines per second for requests that were served; what exceeds a rate is counted and told in a later line. */
const servedLinesPerS = 40;
const servedLineBurst = 80;
/** Lines per second for other requests, of which served ones take nothing: callers complain of these. */
const failedLinesPerS = 40;
const failedLineBurst = 160;
/** Lines per second for changes of belief, which come in groups when a failure domain is lost. */
const eventLinesPerS = 50;
const eventLineBurst = 200;

const minErrorStatus = 400;

/** One request and what was decided about it. */
export interface RequestDecision {
  readonly requestId: string;
  readonly route: string;
  readonly service: string | undefined;
  /** Object that the request concerns; undefined when the caller does not say. */
  readonly objectKey: string | undefined;
  readonly configVersion: number;
  readonly outcome: string;
  readonly status: number;
  readonly elapsedMs: number;
  readonly retryAfterMs?: number;
  readonly expectedMs?: number;
  readonly waitMs?: number;
  readonly usableTargets: number;
  readonly listedTargets: number;
  readonly storeAgeMs: number | undefined;
  readonly tries: readonly AttemptSummary[];
}

/** Kinds of lines beside those for requests. */
export type EventKind =
  | 'start'
  | 'stop'
  | 'reload'
  | 'configuration'
  | 'target'
  | 'evacuation'
  | 'store'
  | 'peer'
  | 'defect';

/** Where lines go. */
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
   * Writes what was decided about a request.
   * @param describe Makes the line; not called for a line that is left out.
   */
  request(outcome: string, status: number, describe: () => RequestDecision): void {
    const isServed = outcome === 'relayed' && status < minErrorStatus;
    this.write(isServed ? this.servedBucket : this.failedBucket, 'request', describe);
  }

  /** Writes a change of what the gateway believes. */
  event(line: EventKind, fields: Readonly<Record<string, unknown>>): void {
    this.write(this.eventBucket, line, () => fields);
  }

  /** Writes that a target can or cannot be reached. */
  targetReachability(targetId: string, state: string, reason: string): void {
    this.event('target', {targetId, state, reason});
  }

  /** Waits until the lines are written, at most the given time. */
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
