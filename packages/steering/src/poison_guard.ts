/**
 * Detects poison requests, which take down the targets that run them, and keeps them away from further targets. Such a
 * request is refused for ten minutes after it has taken down two distinct targets, one of them when it was sent again
 * after an earlier loss was known. Instances exchange suspicions; the merge is commutative, associative and idempotent as
 * long as the limit on their number is not reached.
 *
 * Targets that go down at the same time count as one loss: when a failure domain is lost, the most frequent requests
 * are in flight at several of its targets. An answer without a server error removes the losses before it. It does not
 * outweigh later ones, because a request may begin to crash targets; but it takes three of them then, because a frequent
 * request may meet two targets of a failing domain one after the other.
 */
import type {AnsweredRequest, PoisonSuspicion} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {PoisonDecisions} from './steering_types';
import type {TargetLosses} from './target_losses';
import {
  lastLossAtMs,
  limitLossTimes,
  lossesAfter,
  lossesOf,
  lossesUntil,
  lossOf,
  lostTargetIdsOf,
  mergeLosses,
  noLosses,
  suspicionOf,
  suspicionTtlMs,
} from './target_losses';

export {suspicionTtlMs} from './target_losses';

/** Number of distinct targets that a request must have taken down before it is refused. */
export const targetsUntilQuarantine = 2;

/** The same for a request that was answered in the last ten minutes. */
export const targetsUntilQuarantineIfAnswered = 3;

/** Maximum number of suspicions; the one that expires first is evicted first. */
export const maxFingerprints = 1_000;

/** Maximum number of answered fingerprints; the one answered longest ago is evicted first. */
export const maxAnsweredFingerprints = 10_000;

const minServerErrorStatus = 500;

/** Suspicions and recently answered fingerprints of one instance. */
export class PoisonGuard implements PoisonDecisions {
  private readonly lossesByFingerprint = new Map<string, TargetLosses>();
  private readonly answeredAtMsByFingerprint = new Map<string, number>();

  /** @param time Its wall clock counts, because instances compare expiry times. */
  constructor(private readonly time: TimeSource) {}

  /** True if requests with this fingerprint must be refused. */
  isQuarantined(fingerprint: string): boolean {
    const losses = this.lossesUnder(fingerprint);
    if (losses === undefined || losses.repeated.size === 0) return false;
    return lostTargetIdsOf(losses).length >= this.targetLimit(fingerprint);
  }

  /**
   * True if one more lost target would quarantine the request.
   * @param isRepeat True if the request was sent to that target after an earlier loss was known.
   */
  wouldQuarantine(fingerprint: string, isRepeat: boolean): boolean {
    const losses = this.lossesUnder(fingerprint);
    if (losses === undefined) return false;
    if (!isRepeat && losses.repeated.size === 0) return false;
    return lostTargetIdsOf(losses).length + 1 >= this.targetLimit(fingerprint);
  }

  /** True if a target went down under the request and no answer has followed. */
  isSuspected(fingerprint: string): boolean {
    return this.lossesUnder(fingerprint) !== undefined;
  }

  /** The targets that went down under the request since it was last answered. */
  lostTargetIds(fingerprint: string): readonly string[] {
    const losses = this.lossesUnder(fingerprint);
    return losses === undefined ? [] : lostTargetIdsOf(losses);
  }

  /** True if a target answered the request in the last ten minutes. */
  wasAnswered(fingerprint: string): boolean {
    const answeredAtMs = this.answeredAtMsByFingerprint.get(fingerprint);
    return answeredAtMs !== undefined && this.time.nowMs() - answeredAtMs < suspicionTtlMs;
  }

  /**
   * Records that a target answered the request, which removes and returns its suspicion. A server error changes nothing:
   * the target may have failed before it got as far as other targets.
   */
  recordAnswered(fingerprint: string, status: number): PoisonSuspicion | undefined {
    if (status >= minServerErrorStatus) return undefined;
    return this.recordAnswerAt(fingerprint, this.time.nowMs());
  }

  /** Records an answer that another instance has seen. Removes and returns the losses before it, if there are any. */
  mergeAnswer({fingerprint, answeredAtMs}: AnsweredRequest): PoisonSuspicion | undefined {
    // A peer whose clock is ahead must not outweigh losses that are still to come.
    return this.recordAnswerAt(fingerprint, Math.min(answeredAtMs, this.time.nowMs()));
  }

  /** The last answer that this instance knows of, if it came after a loss of the suspicion. */
  answerSince(suspicion: PoisonSuspicion): AnsweredRequest | undefined {
    const {fingerprint} = suspicion;
    const answeredAtMs = this.answeredAtMsByFingerprint.get(fingerprint);
    if (answeredAtMs === undefined) return undefined;
    const answered = lossesUntil(lossesOf(suspicion), answeredAtMs);
    return answered.all.size === 0 ? undefined : {fingerprint, answeredAtMs};
  }

  /**
   * Records that a target stopped answering while it ran the request. Returns the suspicion to share; undefined if the
   * request was answered since.
   * @param isRepeat True if the request was sent after an earlier loss was known.
   * @param ageMs Time since the loss: whether a process has ended may be known only later.
   */
  recordLostTarget(
    fingerprint: string,
    targetId: string,
    isRepeat: boolean,
    ageMs = 0,
  ): PoisonSuspicion | undefined {
    const lostAtMs = this.time.nowMs() - ageMs;
    if (ageMs > 0 && lostAtMs <= this.answeredAtMs(fingerprint)) return undefined;
    const losses = this.addLosses(fingerprint, lossOf(targetId, lostAtMs, isRepeat));
    this.evictOldest();
    return suspicionOf(fingerprint, losses);
  }

  /**
   * Merges the suspicions of other instances. Ignores expired suspicions, those without a target, and losses before an
   * answer that this instance knows of.
   */
  mergeSuspicions(suspicions: readonly PoisonSuspicion[]): void {
    const nowMs = this.time.nowMs();
    for (const suspicion of suspicions) {
      if (suspicion.untilMs <= nowMs || suspicion.targetIds.length === 0) continue;
      const {fingerprint} = suspicion;
      const losses = lossesAfter(lossesOf(suspicion), this.answeredAtMs(fingerprint));
      if (losses.all.size > 0) this.addLosses(fingerprint, limitLossTimes(losses, nowMs));
    }
    this.evictOldest();
  }

  /** Suspicions that have not expired, ordered by fingerprint. */
  suspicions(): readonly PoisonSuspicion[] {
    this.removeExpired();
    return [...this.lossesByFingerprint]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([fingerprint, losses]) => suspicionOf(fingerprint, losses));
  }

  /** The losses under a request, unless they have expired. */
  private lossesUnder(fingerprint: string): TargetLosses | undefined {
    const losses = this.lossesByFingerprint.get(fingerprint);
    return losses === undefined || this.isExpired(losses) ? undefined : losses;
  }

  private isExpired(losses: TargetLosses): boolean {
    return lastLossAtMs(losses) + suspicionTtlMs <= this.time.nowMs();
  }

  private targetLimit(fingerprint: string): number {
    return this.wasAnswered(fingerprint)
      ? targetsUntilQuarantineIfAnswered
      : targetsUntilQuarantine;
  }

  /** When the request was last answered; negative infinity if no answer is known. */
  private answeredAtMs(fingerprint: string): number {
    return this.answeredAtMsByFingerprint.get(fingerprint) ?? Number.NEGATIVE_INFINITY;
  }

  /** Removes and returns the losses before an answer. */
  private recordAnswerAt(fingerprint: string, answeredAtMs: number): PoisonSuspicion | undefined {
    this.rememberAnswer(fingerprint, Math.max(answeredAtMs, this.answeredAtMs(fingerprint)));
    const losses = this.lossesByFingerprint.get(fingerprint);
    if (losses === undefined) return undefined;
    const removed = lossesUntil(losses, answeredAtMs);
    const kept = lossesAfter(losses, answeredAtMs);
    if (kept.all.size === 0) this.lossesByFingerprint.delete(fingerprint);
    else this.lossesByFingerprint.set(fingerprint, kept);
    return removed.all.size === 0 ? undefined : suspicionOf(fingerprint, removed);
  }

  private addLosses(fingerprint: string, added: TargetLosses): TargetLosses {
    const merged = mergeLosses(this.lossesUnder(fingerprint) ?? noLosses, added);
    this.lossesByFingerprint.set(fingerprint, merged);
    return merged;
  }

  private rememberAnswer(fingerprint: string, answeredAtMs: number): void {
    // Deleting first moves the fingerprint to the end, so that the map is ordered by the last answer.
    this.answeredAtMsByFingerprint.delete(fingerprint);
    this.answeredAtMsByFingerprint.set(fingerprint, answeredAtMs);
    this.evictOldestAnswer();
  }

  private evictOldestAnswer(): void {
    if (this.answeredAtMsByFingerprint.size <= maxAnsweredFingerprints) return;
    const [oldest] = this.answeredAtMsByFingerprint.keys();
    if (oldest !== undefined) this.answeredAtMsByFingerprint.delete(oldest);
  }

  private evictOldest(): void {
    if (this.lossesByFingerprint.size <= maxFingerprints) return;
    this.removeExpired();
    const excess = this.lossesByFingerprint.size - maxFingerprints;
    if (excess <= 0) return;
    const oldestFirst = [...this.lossesByFingerprint].sort(
      ([a, lossesA], [b, lossesB]) =>
        lastLossAtMs(lossesA) - lastLossAtMs(lossesB) || (a < b ? -1 : 1),
    );
    for (const [fingerprint] of oldestFirst.slice(0, excess)) {
      this.lossesByFingerprint.delete(fingerprint);
    }
  }

  private removeExpired(): void {
    for (const [fingerprint, losses] of this.lossesByFingerprint) {
      if (this.isExpired(losses)) this.lossesByFingerprint.delete(fingerprint);
    }
  }
}
