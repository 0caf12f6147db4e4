/**
 * Appends records to the log of one shard: one append at a time, rate limited, and each retried until its result is
 * certain.
 */
import type {StoreLog} from '@cuminsill/store';
import {StoreAmbiguousError} from '@cuminsill/store';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';
import {randomUUID} from 'node:crypto';

/** Settings and dependencies of an appender. */
export interface ShardAppenderOptions {
  readonly log: StoreLog;
  readonly time: TimeSource;
  readonly random: RandomSource;
  /** Whether this instance owns the shard according to the current membership. */
  readonly isOwned: () => boolean;
  /** Maximum number of appends per second. Default 10. */
  readonly maxAppendsPerS?: number;
}

/**
 * Result of an append. `taken`: another writer has written at the position. `refused`: the append was given up;
 * nothing was written and nothing will be.
 */
export type AppendResult = 'appended' | 'taken' | 'refused';

/** Minimum delay before a failed store call is retried, in milliseconds. */
export const minRetryDelayMs = 200;

/** Maximum delay before a failed store call is retried, in milliseconds. */
export const maxRetryDelayMs = 2_000;

const defaultMaxAppendsPerS = 10;

/** Appends the records of one shard. */
export class ShardAppender {
  private lastAppendAtMs = Number.NEGATIVE_INFINITY;
  private appendCount = 0;

  constructor(private readonly options: ShardAppenderOptions) {}

  /** Number of append calls so far, including failed ones. */
  appends(): number {
    return this.appendCount;
  }

  /** Milliseconds since the last append call was started. */
  sinceLastAppendMs(): number {
    return this.options.time.monotonicMs() - this.lastAppendAtMs;
  }

  /** Waits until the rate limit allows the next append. */
  awaitRateLimit(): Effect.Effect<void> {
    const intervalMs = 1_000 / (this.options.maxAppendsPerS ?? defaultMaxAppendsPerS);
    const waitMs = intervalMs - this.sinceLastAppendMs();
    return waitMs > 0 ? Effect.sleep(Duration.millis(waitMs)) : Effect.void;
  }

  /** Waits for a random time between two bounds. */
  sleepBetween(minMs: number, maxMs: number): Effect.Effect<undefined> {
    const durationMs = minMs + this.options.random.next() * (maxMs - minMs);
    return Effect.as(Effect.sleep(Duration.millis(durationMs)), undefined);
  }

  /**
   * Appends a record at one position and retries until the result is certain. After an ambiguous result, the retry
   * writes the same record with the same nonce, because the first write may still take effect. As long as nothing can
   * have been written, the append is given up once no caller waits for it or this instance no longer owns the shard.
   */
  append(
    position: number,
    body: Uint8Array,
    isAwaited: () => boolean,
  ): Effect.Effect<AppendResult> {
    return Effect.gen(this, function* () {
      const nonce = randomUUID();
      let retryDelayMs = minRetryDelayMs;
      let mayHaveBeenWritten = false;
      for (;;) {
        const failure = yield* this.tryAppend(position, body, nonce);
        if (failure === undefined) return 'appended';
        if (failure._tag === 'LogPositionTakenError') return 'taken';
        mayHaveBeenWritten ||= failure instanceof StoreAmbiguousError;
        yield* this.sleepBetween(retryDelayMs, retryDelayMs);
        retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
        if (!mayHaveBeenWritten && !(isAwaited() && this.options.isOwned())) return 'refused';
      }
    });
  }

  private tryAppend(position: number, body: Uint8Array, nonce: string) {
    return Effect.gen(this, function* () {
      yield* this.awaitRateLimit();
      this.lastAppendAtMs = this.options.time.monotonicMs();
      this.appendCount += 1;
      return yield* this.options.log.append(position, body, nonce).pipe(
        Effect.as(undefined),
        Effect.catchAll(error => Effect.succeed(error)),
      );
    });
  }
}
