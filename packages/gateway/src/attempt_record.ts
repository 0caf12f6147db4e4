/** What became of one request so far: which targets got it, and what may be said of it in a refusal. */
import type {FinalAnswer} from './final_answer';
import {ownAnswer} from './final_answer';
import type {ExchangeEnd, TargetAnswer} from './target_exchange';

/** Tries without a connection that a request may use beside those that reach a target. */
const maxUnsentTries = 3;

/** How one try ended, for the log. */
export interface TryNote {
  readonly targetId: string;
  readonly end: ExchangeEnd['kind'] | 'cancelled';
  readonly elapsedMs: number;
  readonly detail?: string;
}

/** Collects the tries of one request. */
export class AttemptRecord {
  readonly triedIds = new Set<string>();
  readonly notes: TryNote[] = [];
  private inFlight = 0;
  private reached = 0;
  private unsent = 0;
  private mayHaveRun: 'no' | 'connection-lost' | 'timed-out' = 'no';
  private declined = false;
  private failedAnswer: {readonly answer: TargetAnswer; readonly targetId: string} | undefined;

  /** Targets that the request reached or is on its way to. */
  get sentCount(): number {
    return this.inFlight + this.reached;
  }

  /** True when the request is at a target or may have been run. */
  get mayBeRunning(): boolean {
    return this.inFlight > 0 || this.mayHaveRun !== 'no';
  }

  /** True while another target may be tried. */
  mayTryAnother(maxTargets: number): boolean {
    return this.sentCount < maxTargets && this.unsent <= maxUnsentTries;
  }

  /** Notes that the request is being sent to a target. */
  started(targetId: string): void {
    this.triedIds.add(targetId);
    this.inFlight += 1;
  }

  /** Notes how the exchange ended. */
  ended(targetId: string, end: ExchangeEnd, elapsedMs: number): void {
    this.inFlight -= 1;
    const detail = 'detail' in end ? {detail: end.detail} : {};
    this.notes.push({targetId, end: end.kind, elapsedMs: Math.round(elapsedMs), ...detail});
    if (end.kind === 'unsent') {
      this.unsent += 1;
      return;
    }
    this.reached += 1;
    if (end.kind === 'lost') this.mayHaveRun = 'connection-lost';
    if (end.kind === 'timed-out') this.mayHaveRun = 'timed-out';
    if (end.kind === 'declined') this.declined = true;
    if (end.kind === 'answered') this.failedAnswer = {answer: end.answer, targetId};
  }

  /** Notes that the exchange was given up by this gateway. */
  cancelled(targetId: string, elapsedMs: number): void {
    this.inFlight -= 1;
    this.reached += 1;
    if (this.mayHaveRun === 'no') this.mayHaveRun = 'timed-out';
    this.notes.push({targetId, end: 'cancelled', elapsedMs: Math.round(elapsedMs)});
  }

  /**
   * The answer when no target gave a good one.
   * @param retryAfterMs When the caller may come back; used only if the request was not run.
   */
  failure(retryAfterMs: number): FinalAnswer {
    if (this.failedAnswer !== undefined) return relayedOrUnknown(this.failedAnswer);
    if (this.mayHaveRun === 'connection-lost') return ownAnswer('outcome-unknown');
    if (this.mayBeRunning) return ownAnswer('target-timed-out');
    if (this.declined) return ownAnswer('targets-declined', retryAfterMs);
    if (this.unsent > 0) return ownAnswer('no-usable-target', retryAfterMs);
    return ownAnswer('deadline-before-sending', retryAfterMs);
  }
}

/** Statuses that promise the caller that the request was not run. */
const promisesOfNotRun: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Relays an answer, unless its status would promise what its target did not state. */
export function relayedOrUnknown(answered: {
  readonly answer: TargetAnswer;
  readonly targetId: string;
}): FinalAnswer {
  if (promisesOfNotRun.has(answered.answer.status)) return ownAnswer('outcome-unknown');
  return {kind: 'relayed', answer: answered.answer, targetId: answered.targetId};
}
