/**
 * Tells whether this gateway has lost its own connectivity to the targets. A connection that fails then says nothing of the target: it
 * has not crashed, it is not cold afterwards, and other gateways still reach it.
 *
 * Failures at several targets with no success at any target since are a doubt, which a check of other targets settles.
 */
import type {TimeSource} from '@cuminsill/utils';

/** `doubtful` while a check is due or under way. */
export type PathState = 'connected' | 'doubtful' | 'isolated';

/** Called when the state changes. */
export type PathListener = (state: PathState, formerState: PathState) => void;

/** Failures at this many targets, with no success at any target in between, raise a doubt. */
const minFailedTargets = 2;
/** Requests that are sent for so long without a success at any target raise a doubt. */
const maxSilenceMs = 600;
const minSilentRequests = 3;

/** A connection that was begun while the gateway was isolated may fail this much later. */
const lateFailureMs = 1_000;

/** A time without connectivity to the targets. */
interface Isolation {
  /** Last success before it. */
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Connectivity of one gateway to all targets. */
export class TargetPaths {
  private current: PathState = 'connected';
  private lastSuccessAtMs = Number.NEGATIVE_INFINITY;
  /** Targets that have failed since the last success at any target. */
  private readonly failedTargetIds = new Set<string>();
  private sentSince = 0;
  private firstSentMs = 0;
  private last: Isolation | undefined;
  private readonly listeners = new Set<PathListener>();

  constructor(private readonly time: TimeSource) {}

  /** Whether targets are reached. */
  get state(): PathState {
    return this.current;
  }

  /** True when this gateway reaches no target while others may. */
  get isIsolated(): boolean {
    return this.current === 'isolated';
  }

  /** Calls the listener when the state changes. Returns a function that unsubscribes it. */
  onChange(listener: PathListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Records that a request was sent to a target. */
  recordSend(): void {
    if (this.sentSince === 0) this.firstSentMs = this.time.monotonicMs();
    this.sentSince += 1;
  }

  /** Records that a target has answered or accepted a connection. */
  recordSuccess(): void {
    const nowMs = this.time.monotonicMs();
    if (this.isIsolated) this.last = {fromMs: this.lastSuccessAtMs, untilMs: nowMs};
    this.lastSuccessAtMs = nowMs;
    this.failedTargetIds.clear();
    this.sentSince = 0;
    this.change('connected');
  }

  /** Records that a connection to a target failed, or that it did not answer in time. */
  recordFailure(targetId: string): void {
    this.failedTargetIds.add(targetId);
    if (this.failedTargetIds.size >= minFailedTargets) this.doubt();
  }

  /** True if the target has failed since the last success at any target. */
  hasFailed(targetId: string): boolean {
    return this.failedTargetIds.has(targetId);
  }

  /** Raises a doubt when no target has been reached for too long. */
  review(): void {
    const silenceMs = this.time.monotonicMs() - this.firstSentMs;
    if (this.sentSince >= minSilentRequests && silenceMs > maxSilenceMs) this.doubt();
  }

  /** Records that a check reached none of the targets that it tried. */
  recordFailedCheck(): void {
    if (this.current !== 'doubtful') return;
    this.change('isolated');
  }

  /** True if a target that became unreachable at the given time did so because this gateway had lost connectivity to it. */
  explains(unreachableSinceMs: number): boolean {
    if (this.isIsolated) return unreachableSinceMs >= this.lastSuccessAtMs;
    if (this.last === undefined) return false;
    const {fromMs, untilMs} = this.last;
    return unreachableSinceMs >= fromMs && unreachableSinceMs <= untilMs + lateFailureMs;
  }

  private doubt(): void {
    if (this.current === 'connected') this.change('doubtful');
  }

  private change(state: PathState): void {
    const formerState = this.current;
    if (state === formerState) return;
    this.current = state;
    for (const listener of [...this.listeners]) listener(state, formerState);
  }
}
