/** Records the attempts of one request and derives the final answer when none succeeded. */
import type {FinalAnswer} from '../requests/final_answer';
import {ownAnswer} from '../requests/final_answer';
import type {AttemptEnd, AttemptsState} from './retry_rule';
import {mayHaveRun, sentCountOf} from './retry_rule';
import type {ColdSend} from './record_exchange_start';
import type {ExchangeEnd, TargetAnswer} from './target_exchange';

/** How one attempt ended; written to the log. */
export interface AttemptSummary {
  readonly targetId: string;
  readonly end: AttemptEnd;
  readonly elapsedMs: number;
  /** Whether the target had handled the object of the request for this gateway lately; left out without an object. */
  readonly isHeld?: boolean;
  /** Left out when the target did not count as cold. */
  readonly coldSend?: ColdSend;
  readonly detail?: string;
  /** True when the connection had carried an earlier request; only for lost connections. */
  readonly reusedConnection?: boolean;
}

/** What the gateway knew of the target when it sent the request. */
export type SendView = {
  readonly [Field in 'isHeld' | 'coldSend']?: AttemptSummary[Field] | undefined;
};

/** Attempts of one request. */
export class AttemptRecord {
  readonly attemptedTargetIds = new Set<string>();
  readonly attempts: AttemptSummary[] = [];
  private inFlightCount = 0;
  private failedAnswer: {readonly answer: TargetAnswer; readonly targetId: string} | undefined;

  /** The attempts so far. */
  get state(): AttemptsState {
    return {ends: this.attempts.map(({end}) => end), inFlightCount: this.inFlightCount};
  }

  /** Number of targets that the request has reached or is being sent to. */
  get sentCount(): number {
    return sentCountOf(this.state);
  }

  /** Number of targets whose connection was lost while they had the request. */
  get lostCount(): number {
    return this.attempts.filter(({end}) => end === 'lost').length;
  }

  /** Target whose connection was lost while it had the request, in the latest attempt that ended; undefined otherwise. */
  get lastLostTargetId(): string | undefined {
    const last = this.attempts.at(-1);
    return last?.end === 'lost' ? last.targetId : undefined;
  }

  /** True when connections failed and no target was reached. */
  get wasOnlyUnsent(): boolean {
    return this.sentCount === 0 && this.has('unsent');
  }

  /** True when the request is in flight or may have been run. */
  get mayHaveRun(): boolean {
    return mayHaveRun(this.state);
  }

  /** Records the start of an attempt. */
  recordStart(targetId: string): void {
    this.attemptedTargetIds.add(targetId);
    this.inFlightCount += 1;
  }

  /** Records the end of an attempt. */
  recordEnd(targetId: string, end: ExchangeEnd, elapsedMs: number, view: SendView = {}): void {
    this.inFlightCount -= 1;
    const detail = 'detail' in end ? {detail: end.detail} : {};
    const connection = end.kind === 'lost' ? {reusedConnection: end.reusedConnection} : {};
    const known = knownFields(view);
    const summary = {targetId, end: end.kind, elapsedMs: Math.round(elapsedMs), ...known};
    this.attempts.push({...summary, ...detail, ...connection});
    if (end.kind === 'answered') this.failedAnswer = {answer: end.answer, targetId};
  }

  /** Records that this gateway cancelled an attempt. */
  recordCancel(targetId: string, elapsedMs: number, {coldSend}: SendView = {}): void {
    this.inFlightCount -= 1;
    const known = knownFields({coldSend});
    this.attempts.push({targetId, end: 'cancelled', elapsedMs: Math.round(elapsedMs), ...known});
  }

  /**
   * Returns the final answer when no attempt gave a usable one.
   * @param retryAfterMs When the caller may retry; used only if the request was not run.
   */
  failureAnswer(retryAfterMs: number): FinalAnswer {
    if (this.failedAnswer !== undefined) return relayedOrOutcomeUnknown(this.failedAnswer);
    if (this.mayHaveRun) {
      return ownAnswer(this.lastUnknownEnd === 'lost' ? 'outcome-unknown' : 'target-timed-out');
    }
    if (this.has('declined')) return ownAnswer('targets-declined', retryAfterMs);
    if (this.has('unsent')) return ownAnswer('no-usable-target', retryAfterMs);
    return ownAnswer('deadline-before-sending', retryAfterMs);
  }

  /** Latest end with an unknown outcome. A cancelled attempt says less than the others, so it counts only without them. */
  private get lastUnknownEnd(): AttemptEnd | undefined {
    return this.attempts.findLast(({end}) => end === 'lost' || end === 'timed-out')?.end;
  }

  private has(end: AttemptEnd): boolean {
    return this.attempts.some(attempt => attempt.end === end);
  }
}

function knownFields({isHeld, coldSend}: SendView): Pick<AttemptSummary, 'isHeld' | 'coldSend'> {
  return {
    ...(isHeld === undefined ? {} : {isHeld}),
    ...(coldSend === undefined ? {} : {coldSend}),
  };
}

/** Statuses that tell the caller that the request was not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Relays an answer, unless its status would say that the request was not run, which its target did not state. */
export function relayedOrOutcomeUnknown(answered: {
  readonly answer: TargetAnswer;
  readonly targetId: string;
}): FinalAnswer {
  if (notRunStatuses.has(answered.answer.status)) return ownAnswer('outcome-unknown');
  return {kind: 'relayed', answer: answered.answer, targetId: answered.targetId};
}
