/**
 * What a target asks for in its answers: no more requests because it leaves, none for some time, or a lower rate. A
 * gateway follows what it has read itself, whatever the target's record says, so this holds without the store as well.
 */
import type {SenderView} from './target_rate_limiter';
import {TargetRateLimiter} from './target_rate_limiter';

/** Longest pause that a target can ask for. A longer one is more likely an error than a wish. */
export const maxPauseMs = 3_600_000;

/** The directives of one process of a target. */
export class TargetDirectives {
  readonly rateLimiter = new TargetRateLimiter();
  private hasSaidLeaving = false;
  private pauseEndsAtMs = Number.NEGATIVE_INFINITY;

  /** True once an answer has said that the process leaves; it does not come back. */
  get isLeaving(): boolean {
    return this.hasSaidLeaving;
  }

  /** Records an answer that says that the process leaves. */
  recordLeaving(): void {
    this.hasSaidLeaving = true;
  }

  /** Records a rejection that asks for a pause. The latest end counts, because answers may overtake each other. */
  recordPause(durationMs: number, nowMs: number): void {
    const endsAtMs = nowMs + Math.min(maxPauseMs, durationMs);
    this.pauseEndsAtMs = Math.max(this.pauseEndsAtMs, endsAtMs);
  }

  /** Time until the end of the pause in milliseconds; 0 without one. */
  pauseLeftMs(nowMs: number): number {
    return Math.max(0, this.pauseEndsAtMs - nowMs);
  }

  /** True when this gateway may send a request to the target now. */
  maySend(targetId: string, view: SenderView): boolean {
    if (this.hasSaidLeaving || this.pauseLeftMs(view.nowMs) > 0) return false;
    return this.rateLimiter.maySend(targetId, view);
  }

  /** Forgets everything, because a new process runs under the target's id. */
  reset(): void {
    this.rateLimiter.reset();
    this.hasSaidLeaving = false;
    this.pauseEndsAtMs = Number.NEGATIVE_INFINITY;
  }
}
