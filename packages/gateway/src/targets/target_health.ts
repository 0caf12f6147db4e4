/**
 * Passive health checking: judges a target by the results of the requests sent to it. Active health checks are not
 * used: they cost the target work and may pass while its requests fail.
 *
 * A lost connection makes the target suspect until a probe shows whether it accepts connections. Failures raise a
 * failure rate that decays with time, so that requests return gradually without a separate trial.
 */

/** Whether a target accepts connections. */
export type Reachability = 'reachable' | 'suspect' | 'unreachable';

/** Half-life of the failure rate while there are no new results. */
const failureHalfLifeMs = 1_500;
/** Weight of the old failure rate in its moving average. */
const failureRateSmoothing = 0.7;
/** Weight of the old slowness in its moving average; higher, because slowness varies more between answers. */
const slownessSmoothing = 0.75;
/** Half-life of the slowness, so that a target without recent requests gets some again. */
const slownessHalfLifeMs = 3_000;
/** A target counts as slow from this multiple of the expected service time on. */
const slowTargetRatio = 1.5;
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
  private unreachableFromMs = Number.NEGATIVE_INFINITY;
  private lastAnsweredSendMs = Number.NEGATIVE_INFINITY;

  get reachability(): Reachability {
    return this.currentReachability;
  }

  /** When the target ceased to be reachable; meaningless while it is reachable. */
  get unreachableSinceMs(): number {
    return this.unreachableFromMs;
  }

  /** When the latest of the requests that the target has answered was sent. */
  get lastAnsweredSendAtMs(): number {
    return this.lastAnsweredSendMs;
  }

  /** Records when a request was sent that the target has answered. */
  recordAnsweredSend(sentAtMs: number): void {
    this.lastAnsweredSendMs = Math.max(this.lastAnsweredSendMs, sentAtMs);
  }

  /** Records a complete answer, whose service time was `ratio` times the expected one. */
  onAnswer(nowMs: number, ratio: number): void {
    this.currentReachability = 'reachable';
    this.failedConnects = 0;
    this.updateFailureRate(nowMs, 0);
    this.updateSlowness(nowMs, ratio);
  }

  /** Records a request that was cancelled after `ratio` times the expected time without an answer. */
  onCancel(nowMs: number, ratio: number): void {
    if (ratio > this.slowness(nowMs)) this.updateSlowness(nowMs, ratio);
  }

  private updateSlowness(nowMs: number, ratio: number): void {
    const oldSlowness = this.slowness(nowMs);
    this.lastSlowness = slownessSmoothing * oldSlowness + (1 - slownessSmoothing) * ratio;
    this.slownessUpdatedAtMs = nowMs;
  }

  /** Records an answer that reports a failure or a rejection. */
  onFailure(nowMs: number): void {
    this.updateFailureRate(nowMs, 1);
  }

  /** Records a lost connection or a timed-out request. */
  markSuspect(nowMs: number): void {
    this.updateFailureRate(nowMs, 1);
    if (this.currentReachability !== 'reachable') return;
    this.unreachableFromMs = nowMs;
    this.currentReachability = 'suspect';
    this.probeDueAtMs = nowMs;
  }

  /** Records a failed connection attempt; the next probe follows after exponential backoff. */
  onConnectFailure(nowMs: number): void {
    this.updateFailureRate(nowMs, 1);
    if (this.currentReachability === 'reachable') this.unreachableFromMs = nowMs;
    this.currentReachability = 'unreachable';
    this.failedConnects += 1;
    const delayMs = Math.min(maxProbeDelayMs, firstProbeDelayMs * 2 ** (this.failedConnects - 1));
    this.probeDueAtMs = nowMs + delayMs;
  }

  /** Records that a probe connected. Returns true when the target was unreachable before and so may have restarted. */
  onProbeConnected(): boolean {
    const wasUnreachable = this.currentReachability === 'unreachable';
    this.currentReachability = 'reachable';
    this.failedConnects = 0;
    return wasUnreachable;
  }

  /** Makes the target reachable again: this gateway had lost connectivity to all targets. */
  restore(): void {
    this.currentReachability = 'reachable';
    this.failedConnects = 0;
    this.lastFailureRate = 0;
  }

  /** True when a probe is due. */
  isProbeDue(nowMs: number): boolean {
    return this.currentReachability !== 'reachable' && nowMs >= this.probeDueAtMs;
  }

  /** Records the start of a probe, and delays the next one so that two do not run at once. */
  onProbeStart(nowMs: number): void {
    this.probeDueAtMs = nowMs + maxProbeDelayMs;
  }

  /** Fraction of recent requests that failed, between 0 and 1. */
  failureRate(nowMs: number): number {
    return this.lastFailureRate * 2 ** (-(nowMs - this.failureRateUpdatedAtMs) / failureHalfLifeMs);
  }

  /** Recent service time as a multiple of the expected one; 1 is normal. */
  slowness(nowMs: number): number {
    const decay = 2 ** (-(nowMs - this.slownessUpdatedAtMs) / slownessHalfLifeMs);
    return 1 + (this.lastSlowness - 1) * decay;
  }

  /** True when recent requests took much longer than expected, as at a target with a queue that it does not report. */
  isSlow(nowMs: number): boolean {
    return this.slowness(nowMs) >= slowTargetRatio;
  }

  private updateFailureRate(nowMs: number, value: 0 | 1): void {
    this.lastFailureRate =
      failureRateSmoothing * this.failureRate(nowMs) + (1 - failureRateSmoothing) * value;
    this.failureRateUpdatedAtMs = nowMs;
  }
}
