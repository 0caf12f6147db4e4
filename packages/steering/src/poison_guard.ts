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

/** How long a suspicion lasts after the last lost target, and how long an answer is remembered. */
export const suspicionTtlMs = 600_000;

/** Number of distinct targets that a request must have taken down before it is refused. */
export const targetsUntilQuarantine = 2;

/** The same for a request that was answered in the last ten minutes. */
export const targetsUntilQuarantineIfAnswered = 3;

/** Maximum number of suspicions; the one that expires first is evicted first. */
export const maxFingerprints = 1_000;

/** Maximum number of answered fingerprints; the one answered longest ago is evicted first. */
export const maxAnsweredFingerprints = 10_000;

/** Two targets are enough to refuse a request; more are kept for operators, and the limit keeps messages small. */
const maxTargetsPerSuspicion = 8;

/** One is enough to tell that the request was sent again; more are kept for operators. */
const maxRepeatTargetsPerSuspicion = 4;

const minServerErrorStatus = 500;

/** Suspicions and recently answered fingerprints of one instance. */
export class PoisonGuard implements PoisonDecisions {
  private readonly suspicionsByFingerprint = new Map<string, PoisonSuspicion>();
  private readonly answeredAtMsByFingerprint = new Map<string, number>();

  /** @param time Its wall clock counts, because instances compare expiry times. */
  constructor(private readonly time: TimeSource) {}

  /** True if requests with this fingerprint must be refused. */
  isQuarantined(fingerprint: string): boolean {
    const suspicion = this.suspicionOf(fingerprint);
    if (suspicion === undefined || suspicion.repeatTargetIds.length === 0) return false;
    return lostTargetCount(suspicion) >= this.targetLimit(fingerprint);
  }

  /**
   * True if one more lost target would quarantine the request.
   * @param isRepeat True if the request was sent to that target after an earlier loss was known.
   */
  wouldQuarantine(fingerprint: string, isRepeat: boolean): boolean {
    const suspicion = this.suspicionOf(fingerprint);
    if (suspicion === undefined) return false;
    if (!isRepeat && suspicion.repeatTargetIds.length === 0) return false;
    return lostTargetCount(suspicion) + 1 >= this.targetLimit(fingerprint);
  }

  /** True if a target went down under the request and no answer has followed. */
  isSuspected(fingerprint: string): boolean {
    return this.suspicionOf(fingerprint) !== undefined;
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
    this.rememberAnswer(fingerprint, this.time.nowMs());
    const removed = this.suspicionsByFingerprint.get(fingerprint);
    this.suspicionsByFingerprint.delete(fingerprint);
    return removed;
  }

  /**
   * Records an answer that another instance has seen. Removes and returns the suspicion if its last loss is older; later
   * losses count on.
   */
  mergeAnswer({fingerprint, answeredAtMs}: AnsweredRequest): PoisonSuspicion | undefined {
    const nowMs = this.time.nowMs();
    // A peer whose clock is ahead must not outweigh losses that are still to come.
    const seenAtMs = Math.min(answeredAtMs, nowMs);
    const knownAtMs = this.answeredAtMsByFingerprint.get(fingerprint) ?? 0;
    this.rememberAnswer(fingerprint, Math.max(seenAtMs, knownAtMs));
    const suspicion = this.suspicionOf(fingerprint);
    if (suspicion === undefined || !this.isAnsweredSince(suspicion)) return undefined;
    this.suspicionsByFingerprint.delete(fingerprint);
    return suspicion;
  }

  /** The answer that this instance has seen after the last loss of a suspicion, if any. */
  answerSince(suspicion: PoisonSuspicion): AnsweredRequest | undefined {
    const {fingerprint} = suspicion;
    const answeredAtMs = this.answeredAtMsByFingerprint.get(fingerprint);
    if (answeredAtMs === undefined || !this.isAnsweredSince(suspicion)) return undefined;
    return {fingerprint, answeredAtMs};
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
    const untilMs = this.time.nowMs() - ageMs + suspicionTtlMs;
    const targetIds = [targetId];
    const repeatTargetIds = isRepeat ? targetIds : [];
    const suspicion = {fingerprint, targetIds, repeatTargetIds, untilMs};
    if (ageMs > 0 && this.isAnsweredSince(suspicion)) return undefined;
    const merged = this.mergeSuspicion(suspicion);
    this.evictOldest();
    return merged;
  }

  /**
   * Merges the suspicions of other instances. Ignores expired suspicions, those without a target and those whose last loss
   * is older than an answer that this instance has seen.
   */
  mergeSuspicions(suspicions: readonly PoisonSuspicion[]): void {
    const nowMs = this.time.nowMs();
    for (const suspicion of suspicions) {
      if (suspicion.untilMs <= nowMs || suspicion.targetIds.length === 0) continue;
      if (this.isAnsweredSince(suspicion)) continue;
      // A peer whose clock is ahead must not extend a quarantine beyond ten minutes from now.
      const untilMs = Math.min(suspicion.untilMs, nowMs + suspicionTtlMs);
      this.mergeSuspicion({...suspicion, untilMs});
    }
    this.evictOldest();
  }

  /** Suspicions that have not expired, ordered by fingerprint. */
  suspicions(): readonly PoisonSuspicion[] {
    this.removeExpired();
    return [...this.suspicionsByFingerprint.values()].sort((a, b) =>
      a.fingerprint < b.fingerprint ? -1 : 1,
    );
  }

  /** The suspicion of a fingerprint, unless it has expired. */
  private suspicionOf(fingerprint: string): PoisonSuspicion | undefined {
    const suspicion = this.suspicionsByFingerprint.get(fingerprint);
    return suspicion !== undefined && suspicion.untilMs > this.time.nowMs() ? suspicion : undefined;
  }

  private targetLimit(fingerprint: string): number {
    return this.wasAnswered(fingerprint)
      ? targetsUntilQuarantineIfAnswered
      : targetsUntilQuarantine;
  }

  private isAnsweredSince({fingerprint, untilMs}: PoisonSuspicion): boolean {
    const lastLossAtMs = untilMs - suspicionTtlMs;
    const answeredAtMs = this.answeredAtMsByFingerprint.get(fingerprint);
    return answeredAtMs !== undefined && answeredAtMs >= lastLossAtMs;
  }

  private mergeSuspicion(added: PoisonSuspicion): PoisonSuspicion {
    const {fingerprint} = added;
    const current = this.suspicionOf(fingerprint);
    const merged: PoisonSuspicion = {
      fingerprint,
      targetIds: unionOf(current?.targetIds, added.targetIds, maxTargetsPerSuspicion),
      repeatTargetIds: unionOf(
        current?.repeatTargetIds,
        added.repeatTargetIds,
        maxRepeatTargetsPerSuspicion,
      ),
      untilMs: Math.max(current?.untilMs ?? 0, added.untilMs),
    };
    this.suspicionsByFingerprint.set(fingerprint, merged);
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
    if (this.suspicionsByFingerprint.size <= maxFingerprints) return;
    this.removeExpired();
    const excess = this.suspicionsByFingerprint.size - maxFingerprints;
    if (excess <= 0) return;
    const oldestFirst = [...this.suspicionsByFingerprint.values()].sort(
      (a, b) => a.untilMs - b.untilMs || (a.fingerprint < b.fingerprint ? -1 : 1),
    );
    for (const {fingerprint} of oldestFirst.slice(0, excess)) {
      this.suspicionsByFingerprint.delete(fingerprint);
    }
  }

  private removeExpired(): void {
    const nowMs = this.time.nowMs();
    for (const [fingerprint, suspicion] of this.suspicionsByFingerprint) {
      if (suspicion.untilMs <= nowMs) this.suspicionsByFingerprint.delete(fingerprint);
    }
  }
}

function lostTargetCount({targetIds, repeatTargetIds}: PoisonSuspicion): number {
  return new Set([...targetIds, ...repeatTargetIds]).size;
}

/** Merges two lists of targets; keeps the first ones in the order of their ids, so that all instances keep the same. */
function unionOf(
  current: readonly string[] = [],
  added: readonly string[],
  maxCount: number,
): readonly string[] {
  return [...new Set([...current, ...added])].sort().slice(0, maxCount);
}
