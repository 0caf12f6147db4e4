/** Restarts a shard after a defect, that is, after an unexpected exception in its fiber. */
import type {Logger} from '@cuminsill/logger';
import {Cause, Duration, Effect} from 'effect';

/** Settings and dependencies of the recovery of one shard. */
export interface ShardRecoveryOptions {
  readonly shardName: string;
  readonly logger: Logger;
  /** Discards the shard's state in memory and answers the waiting requests, before the shard is restarted. */
  readonly reset: () => Effect.Effect<unknown>;
}

const minRestartDelayMs = 1_000;
const maxRestartDelayMs = 60_000;

/** Restarts one shard after defects, with exponential backoff. */
export class ShardRecovery {
  private restartDelayMs = minRestartDelayMs;
  private defectCount = 0;
  private hasFailed = false;

  constructor(private readonly options: ShardRecoveryOptions) {}

  /** Number of defects since the start of the process. */
  defects(): number {
    return this.defectCount;
  }

  /**
   * Runs one iteration of the shard's loop. After a defect, resets the shard and waits; the delay doubles with each
   * defect until an iteration succeeds.
   */
  runGuarded(iteration: Effect.Effect<void>): Effect.Effect<void> {
    return iteration.pipe(
      Effect.tap(() => Effect.sync(() => this.recordSuccess())),
      Effect.catchAllDefect(defect => this.recoverFromDefect(defect)),
    );
  }

  private recordSuccess(): void {
    if (!this.hasFailed) return;
    this.hasFailed = false;
    this.restartDelayMs = minRestartDelayMs;
    this.log('info', 'serving', 'failed', undefined, 'claim shard serves requests again');
  }

  private recoverFromDefect(defect: unknown): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.defectCount += 1;
      const reason = Cause.pretty(Cause.die(defect));
      if (!this.hasFailed) this.log('error', 'failed', 'serving', reason, 'claim shard failed');
      this.hasFailed = true;
      const delayMs = this.restartDelayMs;
      this.restartDelayMs = Math.min(maxRestartDelayMs, delayMs * 2);
      return Effect.zipRight(this.options.reset(), Effect.sleep(Duration.millis(delayMs)));
    });
  }

  private log(
    level: 'info' | 'error',
    state: string,
    previousState: string,
    reason: string | undefined,
    message: string,
  ): void {
    const component = this.options.shardName;
    this.options.logger.stateChange(level, {component, state, previousState, reason}, message);
  }
}
