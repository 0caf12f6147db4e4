/**
 * Tracks requests that may crash the targets that run them. Logs and counts each piece of evidence and what becomes of
 * it, so that the logs of the gateways show why a request is quarantined or still sent to targets.
 */
import type {PoisonGuard} from '@cuminsill/steering';
import type {AnsweredRequest, PoisonSuspicion} from '@cuminsill/types';
import type {DecisionLog} from '../logs/decision_log';
import type {GatewayMetrics} from '../logs/gateway_metrics';
import type {SuspectRequest} from './pending_losses';
import {SharedAnswers} from './shared_answers';
import {isIncarnationOf} from '../targets/target';

/** What happened to a piece of evidence; written to the log and counted. */
export type PoisonEvent =
  /** A target went down while it ran the request. */
  | 'suspected'
  /** The evidence was discarded, because nothing shows that the target's process has ended. */
  | 'loss-discarded'
  /** An answer removed the suspicion. */
  | 'cleared'
  /** Enough targets went down; the request is refused from now on. */
  | 'quarantined';

/** Evidence against requests, by fingerprint. */
export class PoisonTracker {
  private readonly sharedAnswers = new SharedAnswers();

  constructor(
    private readonly guard: PoisonGuard,
    private readonly log: DecisionLog,
    private readonly metrics: GatewayMetrics,
  ) {}

  /** True if requests with this fingerprint must be refused. */
  isQuarantined(fingerprint: string): boolean {
    return this.guard.isQuarantined(fingerprint);
  }

  /** True if a target went down under the request and no answer has followed. */
  isSuspected(fingerprint: string): boolean {
    return this.guard.isSuspected(fingerprint);
  }

  /** Number of processes under one record that are known to have ended under the request since it was last answered. */
  endedProcessCount(fingerprint: string, incarnationId: string): number {
    const lostTargetIds = this.guard.lostTargetIds(fingerprint);
    return lostTargetIds.filter(id => isIncarnationOf(id, incarnationId)).length;
  }

  /** True if one more target that goes down under the request, sent again or not, would quarantine it. */
  wouldQuarantine(fingerprint: string, isRepeat: boolean): boolean {
    return this.guard.wouldQuarantine(fingerprint, isRepeat);
  }

  /** Records that a target answered the request. */
  recordAnswered(fingerprint: string, targetId: string, status: number): void {
    const removed = this.guard.recordAnswered(fingerprint, status);
    if (removed === undefined) return;
    this.shareAnswerSince(removed);
    this.report('cleared', {fingerprint, targetId, status, lostTargetIds: removed.targetIds});
  }

  /**
   * Records that a process of a target ended while it ran the request.
   * @param ageMs Time since the connection to the process was lost.
   */
  recordLostTarget({fingerprint, incarnationId, isRepeat}: SuspectRequest, ageMs: number): void {
    const wasQuarantined = this.isQuarantined(fingerprint);
    const suspicion = this.guard.recordLostTarget(fingerprint, incarnationId, isRepeat, ageMs);
    if (suspicion === undefined) {
      this.report('cleared', {
        fingerprint,
        lostTargetIds: [incarnationId],
        reason: 'answered since',
      });
      return;
    }
    const {targetIds: lostTargetIds} = suspicion;
    const answeredBefore = this.guard.wasAnswered(fingerprint);
    this.report('suspected', {fingerprint, lostTargetIds, isRepeat, answeredBefore});
    if (!wasQuarantined) this.reportQuarantine(fingerprint, lostTargetIds, 'own evidence');
  }

  /** Records that evidence was discarded, because nothing shows that the target's process has ended. */
  recordDiscardedLoss(fingerprint: string, targetId: string): void {
    this.report('loss-discarded', {fingerprint, targetId, reason: 'no sign of a restart'});
  }

  /** Merges the suspicions of another gateway. */
  mergeSuspicions(suspicions: readonly PoisonSuspicion[], gateway: string): void {
    const before = suspicions.filter(({fingerprint}) => !this.isQuarantined(fingerprint));
    this.guard.mergeSuspicions(suspicions);
    for (const suspicion of suspicions) this.shareAnswerSince(suspicion);
    for (const {fingerprint, targetIds} of before) {
      this.reportQuarantine(fingerprint, targetIds, `evidence of ${gateway}`);
    }
  }

  /** Merges answers to suspected requests that another gateway has seen. */
  mergeAnswers(answers: readonly AnsweredRequest[], gateway: string): void {
    for (const answer of answers) {
      const removed = this.guard.mergeAnswer(answer);
      if (removed === undefined) continue;
      this.sharedAnswers.add(answer);
      const {fingerprint, targetIds: lostTargetIds} = removed;
      this.report('cleared', {fingerprint, lostTargetIds, reason: `answer seen by ${gateway}`});
    }
  }

  /** Answers to suspected requests, to be sent with the next heartbeat. */
  takeSharedAnswers(): readonly AnsweredRequest[] {
    return this.sharedAnswers.take();
  }

  /** Suspicions that have not expired. */
  suspicions(): readonly PoisonSuspicion[] {
    return this.guard.suspicions();
  }

  /** Tells other gateways of an answer after the losses of a suspicion, which they may hold too. */
  private shareAnswerSince(suspicion: PoisonSuspicion): void {
    const answer = this.guard.answerSince(suspicion);
    if (answer !== undefined) this.sharedAnswers.add(answer);
  }

  private reportQuarantine(
    fingerprint: string,
    lostTargetIds: readonly string[],
    reason: string,
  ): void {
    if (!this.isQuarantined(fingerprint)) return;
    this.report('quarantined', {fingerprint, lostTargetIds, reason});
  }

  private report(event: PoisonEvent, fields: Readonly<Record<string, unknown>>): void {
    this.metrics.poisonEvent(event);
    this.log.event('poison', {event, ...fields});
  }
}
