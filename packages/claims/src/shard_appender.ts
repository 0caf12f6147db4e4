/**
 * Appends to one shard's log: one append at a time, at a bounded rate, and each tried until its result is certain.
 */
import type {StoreLog} from '@cuminsill/store';
import {StoreAmbiguousError} from '@cuminsill/store';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';
import {randomUUID} from 'node:crypto';

/** Settings and surroundings of an appender. */
export interface ShardAppenderOptions {
  readonly log: StoreLog;
  readonly time: TimeSource;
  readonly random: RandomSource;
  /** Whether this instance owns the shard, as membership says now. */
  readonly isOwned: () => boolean;
  /** Largest number of appends per second. Default 10. */
  readonly maxAppendsPerS?: number;
}

/** `taken`: another writer holds the position. `refused`: nothing was written and nothing will be. */
export type AppendResult = 'appended' | 'taken' | 'refused';

/** Shortest wait before a failed call of the store is tried again, in milliseconds. */
export const retryMinMs = 200;

/** Longest wait before a failed call of the store is tried again, in milliseconds. */
export const retryMaxMs = 2_000;

const defaultMaxAppendsPerS = 10;

/** Writes a shard's records. */
export class ShardAppender {
  private lastAppendAtMs = Number.NEGATIVE_INFINITY;
  private appendCount = 0;

  constructor(private readonly options: ShardAppenderOptions) {}

  /** Appends tried so far. */
  appends(): number {
    return this.appendCount;
  }

  /** Milliseconds since the last append was started. */
  sinceLastMs(): number {
    return this.options.time.monotonicMs() - this.lastAppendAtMs;
  }

  /** Waits until the rate allows an append; not at all when the last one is long enough ago. */
  waitForSlot(): Effect.Effect<void> {
    const intervalMs = 1_000 / (this.options.maxAppendsPerS ?? defaultMaxAppendsPerS);
    const waitMs = intervalMs - this.sinceLastMs();
    return waitMs > 0 ? Effect.sleep(Duration.millis(waitMs)) : Effect.void;
  }

  /** Waits for a random time between two bounds, in milliseconds. */
  pause(leastMs: number, mostMs: number): Effect.Effect<undefined> {
    const durationMs = leastMs + this.options.random.next() * (mostMs - leastMs);
    return Effect.as(Effect.sleep(Duration.millis(durationMs)), undefined);
  }

  /**
   * Appends at one position until the result is certain. After an ambiguous answer only the same record with the
   * same nonce is tried there, since the first write may still take effect. While nothing can have been written,
   * the append is given up as soon as nobody waits for it or the shard has moved.
   */
  append(
    position: number,
    body: Uint8Array,
    isAwaited: () => boolean,
  ): Effect.Effect<AppendResult> {
    return Effect.gen(this, function* () {
      const nonce = randomUUID();
      let retryMs = retryMinMs;
      let maybeWritten = false;
      for (;;) {
        const failure = yield* this.tryAppend(position, body, nonce);
        if (failure === undefined) return 'appended';
        if (failure._tag === 'LogPositionTakenError') return 'taken';
        maybeWritten ||= failure instanceof StoreAmbiguousError;
        yield* this.pause(retryMs, retryMs);
        retryMs = Math.min(retryMaxMs, retryMs * 2);
        if (!maybeWritten && !(isAwaited() && this.options.isOwned())) return 'refused';
      }
    });
  }

  private tryAppend(position: number, body: Uint8Array, nonce: string) {
    return Effect.gen(this, function* () {
      yield* this.waitForSlot();
      this.lastAppendAtMs = this.options.time.monotonicMs();
      this.appendCount += 1;
      return yield* this.options.log.append(position, body, nonce).pipe(
        Effect.as(undefined),
        Effect.catchAll(error => Effect.succeed(error)),
      );
    });
  }
}
