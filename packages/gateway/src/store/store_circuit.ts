/**
 * Circuit breaker for the calls of a gateway's feeds to the store. While the store turns the gateway away, one feed goes on
 * calling it, and the others wait for its answer: refused calls count like served ones, and four feeds that retry
 * independently learn no more than one.
 */
import {Effect} from 'effect';

/** Admits calls to the store. */
export class StoreCircuit {
  private isOpen = false;
  /** Goes on calling while the circuit is open. */
  private probingFeed: string | undefined;
  private lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  /** Wake the feeds that wait for an answer of the store. */
  private readonly waiting = new Set<() => void>();

  /** Whether the store answers as far as is known. */
  get isClosed(): boolean {
    return !this.isOpen;
  }

  /** When the store answered a call of any feed last, on the monotonic clock in milliseconds. */
  get answeredAtMs(): number {
    return this.lastAnswerAtMs;
  }

  /** Completes when the feed may call the store. */
  admit(feed: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (!this.isOpen) return Effect.void;
      this.probingFeed ??= feed;
      return this.probingFeed === feed ? Effect.void : this.awaitAnswer();
    });
  }

  /** Records an answer of the store. */
  onAnswer(nowMs: number): void {
    this.lastAnswerAtMs = nowMs;
    this.isOpen = false;
    this.probingFeed = undefined;
    for (const wake of [...this.waiting]) wake();
  }

  /** Records a call without an answer. The store is available if it has answered another call since that one started. */
  onUnavailable(callStartedAtMs: number): void {
    if (this.lastAnswerAtMs < callStartedAtMs) this.isOpen = true;
  }

  private awaitAnswer(): Effect.Effect<void> {
    return Effect.async<void>(resume => {
      const wake = () => {
        this.waiting.delete(wake);
        resume(Effect.void);
      };
      this.waiting.add(wake);
      return Effect.sync(() => this.waiting.delete(wake));
    });
  }
}
