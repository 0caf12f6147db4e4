/** Keeps a shard's fiber going after a defect, that is, an exception that no code expects. */
import type {Logger} from '@cuminsill/logger';
import {Cause, Duration, Effect} from 'effect';

/** What the recovery of one shard works with. */
export interface ShardRecoveryParts {
  readonly shardName: string;
  readonly logger: Logger;
  /** Gives up what the shard knows and answers what waits, before the next try. */
  readonly reset: () => Effect.Effect<unknown>;
}

const firstRestartMs = 1_000;
const longestRestartMs = 60_000;

/** Restarts one shard with back-off. */
export class ShardRecovery {
  private restartMs = firstRestartMs;
  private defectCount = 0;
  private failed = false;

  constructor(private readonly parts: ShardRecoveryParts) {}

  /** Defects since the start of the process. */
  defects(): number {
    return this.defectCount;
  }

  /** Runs one round; after a defect, resets the shard and waits. The wait doubles until a round succeeds. */
  guard(round: Effect.Effect<void>): Effect.Effect<void> {
    return round.pipe(
      Effect.tap(() => Effect.sync(() => this.succeeded())),
      Effect.catchAllDefect(defect => this.recover(defect)),
    );
  }

  private succeeded(): void {
    if (!this.failed) return;
    this.failed = false;
    this.restartMs = firstRestartMs;
    this.log('info', 'serving', 'failed', undefined, 'claim shard serves again');
  }

  private recover(defect: unknown): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.defectCount += 1;
      const reason = Cause.pretty(Cause.die(defect));
      if (!this.failed) this.log('error', 'failed', 'serving', reason, 'claim shard failed');
      this.failed = true;
      const waitMs = this.restartMs;
      this.restartMs = Math.min(longestRestartMs, waitMs * 2);
      return Effect.zipRight(this.parts.reset(), Effect.sleep(Duration.millis(waitMs)));
    });
  }

  private log(
    level: 'info' | 'error',
    state: string,
    previousState: string,
    reason: string | undefined,
    message: string,
  ): void {
    const component = this.parts.shardName;
    this.parts.logger.stateChange(level, {component, state, previousState, reason}, message);
  }
}
