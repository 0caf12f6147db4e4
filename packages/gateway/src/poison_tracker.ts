/**
 * Tracks requests that may crash the targets that run them. Logs and counts each piece of evidence and what becomes of
 * it, so that the logs of the gateways show why a request is quarantined or still sent to targets.
 */
import type {PoisonGuard} from '@cuminsill/steering';
import type {PoisonSuspicion} from '@cuminsill/types';
import type {DecisionLog} from './decision_log';
import type {GatewayMetrics} from './gateway_metrics';
import type {SuspectRequest} from './pending_losses';

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

  /** True if one more target that goes down under the request, sent again or not, would quarantine it. */
  wouldQuarantine(fingerprint: string, isRepeat: boolean): boolean {
    return this.guard.wouldQuarantine(fingerprint, isRepeat);
  }

  /** Records that a target answered the request. */
  recordAnswered(fingerprint: string, targetId: string, status: number): void {
    const removed = this.guard.recordAnswered(fingerprint, status);
    if (removed === undefined) return;
    this.report('cleared', {fingerprint, targetId, status, lostTargetIds: removed.targetIds});
  }

  /** Records that a process of a target ended while it ran the request. */
  recordLostTarget({fingerprint, incarnationId, isRepeat}: SuspectRequest): void {
    const wasQuarantined = this.isQuarantined(fingerprint);
    const {targetIds: lostTargetIds} = this.guard.recordLostTarget(
      fingerprint,
      incarnationId,
      isRepeat,
    );
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
    for (const {fingerprint, targetIds} of before) {
      this.reportQuarantine(fingerprint, targetIds, `evidence of ${gateway}`);
    }
  }

  /** Suspicions that have not expired. */
  suspicions(): readonly PoisonSuspicion[] {
    return this.guard.suspicions();
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
