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
const failureMemory = 0.7;
/** Same for the slowness of answers, which varies more from one to the next. */
const slownessMemory = 0.75;
/** Slowness fades so that a target that got no work for a while is tried again. */
const slownessHalfLifeMs = 3_000;
const firstProbeDelayMs = 250;
const maxProbeDelayMs = 2_000;

/** Health of one target. */
export class TargetHealth {
  private state: Reachability = 'reachable';
  private failures = 0;
  private failuresAtMs = 0;
  private slowness = 1;
  private slownessAtMs = 0;
  private failedProbes = 0;
  private probeDueAtMs = 0;

  get reachability(): Reachability {
    return this.state;
  }

  /** Notes a complete answer that the target gave in `ratio` times the expected time. */
  answered(nowMs: number, ratio: number): void {
    this.state = 'reachable';
    this.failedProbes = 0;
    this.noteFailure(nowMs, 0);
    this.noteSlowness(nowMs, ratio);
  }

  /** Notes that a request was given up after `ratio` times the expected time without an answer. */
  givenUp(nowMs: number, ratio: number): void {
    if (ratio > this.slownessNow(nowMs)) this.noteSlowness(nowMs, ratio);
  }

  private noteSlowness(nowMs: number, ratio: number): void {
    const faded = this.slownessNow(nowMs);
    this.slowness = slownessMemory * faded + (1 - slownessMemory) * ratio;
    this.slownessAtMs = nowMs;
  }

  /** Notes an answer that says that the request failed or was turned away. */
  failed(nowMs: number): void {
    this.noteFailure(nowMs, 1);
  }

  /** Notes a connection that broke, or a request without any answer for much too long. */
  suspected(nowMs: number): void {
    this.noteFailure(nowMs, 1);
    if (this.state !== 'reachable') return;
    this.state = 'suspect';
    this.probeDueAtMs = nowMs;
  }

  /** Notes a connection that could not be made. */
  connectFailed(nowMs: number): void {
    this.noteFailure(nowMs, 1);
    this.state = 'unreachable';
    this.failedProbes += 1;
    const delayMs = Math.min(maxProbeDelayMs, firstProbeDelayMs * 2 ** (this.failedProbes - 1));
    this.probeDueAtMs = nowMs + delayMs;
  }

  /** Notes that a probe made a connection. True when the target had been unreachable and so may have restarted. */
  probeConnected(): boolean {
    const returned = this.state === 'unreachable';
    this.state = 'reachable';
    this.failedProbes = 0;
    return returned;
  }

  /** True when a probe should be made now. */
  probeDue(nowMs: number): boolean {
    return this.state !== 'reachable' && nowMs >= this.probeDueAtMs;
  }

  /** Keeps a second probe from starting while one is under way. */
  probeStarted(nowMs: number): void {
    this.probeDueAtMs = nowMs + maxProbeDelayMs;
  }

  /** Part of recent requests that failed, between 0 and 1. */
  failureRate(nowMs: number): number {
    return this.failures * 2 ** (-(nowMs - this.failuresAtMs) / failureHalfLifeMs);
  }

  /** Recent time of answers as a multiple of the expected time; 1 is normal. */
  slownessNow(nowMs: number): number {
    const kept = 2 ** (-(nowMs - this.slownessAtMs) / slownessHalfLifeMs);
    return 1 + (this.slowness - 1) * kept;
  }

  private noteFailure(nowMs: number, value: 0 | 1): void {
    this.failures = failureMemory * this.failureRate(nowMs) + (1 - failureMemory) * value;
    this.failuresAtMs = nowMs;
  }
}
