/**
 * Judges one target by what became of the requests sent to it. Health checks are not consulted: they cost the target work
 * and may pass at a target that fails its requests.
 *
 * A lost connection makes the target suspect until a new connection shows whether it is alive. Failed answers raise a
 * failure rate that fades with time, so that a target gets work back gently without a separate trial.
 */

/** Whether a target can be connected to. */
export type Reachability = 'reachable' | 'suspect' | 'unreachable';

/** The failure rate halves in this time without new answers. */
const failureHalfLifeMs = 1_500;
/** Part of the old rate that remains after one answer. */
const failureRateDecay = 0.7;
/** Same for the slowness of answers, which varies more from one to the next. */
const slownessDecay = 0.75;
/** Slowness fades so that a target that got no work for a while is tried again. */
const slownessHalfLifeMs = 3_000;
const firstProbeDelayMs = 250;
const maxProbeDelayMs = 2_000;

/** Health of one target. */
export class TargetHealth {
  private currentReachability: Reachability = 'reachable';
  private lastFailureRate = 0;
  private failureRateUpdatedAtMs = 0;
  private lastSlowness = 1;
  private slownessUpdatedAtMs = 0;
  private failedConnects = 0;
  private probeDueAtMs = 0;

  get reachability(): Reachability {
    return this.currentReachability;
  }

  /** Notes a complete answer that the target gave in `ratio` times the expected time. */
  onAnswer(nowMs: number, ratio: number): void {
    this.currentReachability = 'reachable';
    this.failedConnects = 0;
    this.updateFailureRate(nowMs, 0);
    this.updateSlowness(nowMs, ratio);
  }

  /** Notes that a request was given up after `ratio` times the expected time without an answer. */
  onCancel(nowMs: number, ratio: number): void {
    if (ratio > this.slowness(nowMs)) this.updateSlowness(nowMs, ratio);
  }

  private updateSlowness(nowMs: number, ratio: number): void {
    const faded = this.slowness(nowMs);
    this.lastSlowness = slownessDecay * faded + (1 - slownessDecay) * ratio;
    this.slownessUpdatedAtMs = nowMs;
  }

  /** Notes an answer that says that the request failed or was turned away. */
  onFailure(nowMs: number): void {
    this.updateFailureRate(nowMs, 1);
  }

  /** Notes a connection that broke, or a request without any answer for much too long. */
  markSuspect(nowMs: number): void {
    this.updateFailureRate(nowMs, 1);
    if (this.currentReachability !== 'reachable') return;
    this.currentReachability = 'suspect';
    this.probeDueAtMs = nowMs;
  }

  /** Notes a connection that could not be made. */
  onConnectFailure(nowMs: number): void {
    this.updateFailureRate(nowMs, 1);
    this.currentReachability = 'unreachable';
    this.failedConnects += 1;
    const delayMs = Math.min(maxProbeDelayMs, firstProbeDelayMs * 2 ** (this.failedConnects - 1));
    this.probeDueAtMs = nowMs + delayMs;
  }

  /** Notes that a probe made a connection. True when the target had been unreachable and so may have restarted. */
  onProbeConnected(): boolean {
    const wasUnreachable = this.currentReachability === 'unreachable';
    this.currentReachability = 'reachable';
    this.failedConnects = 0;
    return wasUnreachable;
  }

  /** True when a probe should be made now. */
  isProbeDue(nowMs: number): boolean {
    return this.currentReachability !== 'reachable' && nowMs >= this.probeDueAtMs;
  }

  /** Keeps a second probe from starting while one is under way. */
  onProbeStart(nowMs: number): void {
    this.probeDueAtMs = nowMs + maxProbeDelayMs;
  }

  /** Part of recent requests that failed, between 0 and 1. */
  failureRate(nowMs: number): number {
    return this.lastFailureRate * 2 ** (-(nowMs - this.failureRateUpdatedAtMs) / failureHalfLifeMs);
  }

  /** Recent time of answers as a multiple of the expected time; 1 is normal. */
  slowness(nowMs: number): number {
    const kept = 2 ** (-(nowMs - this.slownessUpdatedAtMs) / slownessHalfLifeMs);
    return 1 + (this.lastSlowness - 1) * kept;
  }

  private updateFailureRate(nowMs: number, value: 0 | 1): void {
    this.lastFailureRate =
      failureRateDecay * this.failureRate(nowMs) + (1 - failureRateDecay) * value;
    this.failureRateUpdatedAtMs = nowMs;
  }
}
