/** What became of one request so far: which targets got it, and what may be said of it in a refusal. */
import type {FinalAnswer} from './final_answer';
import {ownAnswer} from './final_answer';
import type {ExchangeEnd, TargetAnswer} from './target_exchange';

/** Tries without a connection that a request may use beside those that reach a target. */
const maxUnsentAttempts = 3;

/** How one try ended, for the log. */
export interface AttemptSummary {
  readonly targetId: string;
  readonly end: ExchangeEnd['kind'] | 'cancelled';
  readonly elapsedMs: number;
  readonly detail?: string;
}

/** Collects the tries of one request. */
export class AttemptRecord {
  readonly attemptedTargetIds = new Set<string>();
  readonly attempts: AttemptSummary[] = [];
  private inFlightCount = 0;
  private reachedCount = 0;
  private unsentCount = 0;
  private unknownOutcome: 'no' | 'connection-lost' | 'timed-out' = 'no';
  private wasRejected = false;
  private failedAnswer: {readonly answer: TargetAnswer; readonly targetId: string} | undefined;

  /** Targets that the request reached or is on its way to. */
  get sentCount(): number {
    return this.inFlightCount + this.reachedCount;
  }

  /** True when the request is at a target or may have been run. */
  get mayHaveRun(): boolean {
    return this.inFlightCount > 0 || this.unknownOutcome !== 'no';
  }

  /** True while another target may be tried. */
  mayAttemptAnother(maxTargets: number): boolean {
    return this.sentCount < maxTargets && this.unsentCount <= maxUnsentAttempts;
  }

  /** Notes that the request is being sent to a target. */
  recordStart(targetId: string): void {
    this.attemptedTargetIds.add(targetId);
    this.inFlightCount += 1;
  }

  /** Notes how the exchange ended. */
  recordEnd(targetId: string, end: ExchangeEnd, elapsedMs: number): void {
    this.inFlightCount -= 1;
    const detail = 'detail' in end ? {detail: end.detail} : {};
    this.attempts.push({targetId, end: end.kind, elapsedMs: Math.round(elapsedMs), ...detail});
    if (end.kind === 'unsent') {
      this.unsentCount += 1;
      return;
    }
    this.reachedCount += 1;
    if (end.kind === 'lost') this.unknownOutcome = 'connection-lost';
    if (end.kind === 'timed-out') this.unknownOutcome = 'timed-out';
    if (end.kind === 'declined') this.wasRejected = true;
    if (end.kind === 'answered') this.failedAnswer = {answer: end.answer, targetId};
  }

  /** Notes that the exchange was given up by this gateway. */
  recordCancel(targetId: string, elapsedMs: number): void {
    this.inFlightCount -= 1;
    this.reachedCount += 1;
    if (this.unknownOutcome === 'no') this.unknownOutcome = 'timed-out';
    this.attempts.push({targetId, end: 'cancelled', elapsedMs: Math.round(elapsedMs)});
  }

  /**
   * The answer when no target gave a good one.
   * @param retryAfterMs When the caller may come back; used only if the request was not run.
   */
  failureAnswer(retryAfterMs: number): FinalAnswer {
    if (this.failedAnswer !== undefined) return relayedOrOutcomeUnknown(this.failedAnswer);
    if (this.unknownOutcome === 'connection-lost') return ownAnswer('outcome-unknown');
    if (this.mayHaveRun) return ownAnswer('target-timed-out');
    if (this.wasRejected) return ownAnswer('targets-declined', retryAfterMs);
    if (this.unsentCount > 0) return ownAnswer('no-usable-target', retryAfterMs);
    return ownAnswer('deadline-before-sending', retryAfterMs);
  }
}

/** Statuses that promise the caller that the request was not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Relays an answer, unless its status would promise what its target did not state. */
export function relayedOrOutcomeUnknown(answered: {
  readonly answer: TargetAnswer;
  readonly targetId: string;
}): FinalAnswer {
  if (notRunStatuses.has(answered.answer.status)) return ownAnswer('outcome-unknown');
  return {kind: 'relayed', answer: answered.answer, targetId: answered.targetId};
}
