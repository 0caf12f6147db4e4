/**
 * Detects poison requests, which take down the targets that run them, and keeps them away from further targets. After
 * two distinct targets stopped answering while they ran requests with the same fingerprint, such requests are refused
 * for ten minutes. Instances exchange suspicions; the merge is commutative, associative and idempotent as long as the
 * limit on their number is not reached.
 *
 * A request that was answered recently without a server error does not take down every target that runs it, so it is never refused. Without
 * this rule, the loss of a failure domain would quarantine the most frequent requests, because they are in flight
 * at several targets at that moment.
 */
import type {PoisonSuspicion} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {PoisonDecisions} from './steering_types';

/** How long a suspicion lasts after the last lost target, and how long an answer clears a fingerprint. */
export const suspicionTtlMs = 600_000;

/** Number of distinct targets that a request must have taken down before it is refused. */
export const targetsUntilQuarantine = 2;

/** Maximum number of suspicions; the one that expires first is evicted first. */
export const maxFingerprints = 1_000;

/** Maximum number of answered fingerprints; the one answered longest ago is evicted first. */
export const maxAnsweredFingerprints = 10_000;

/** Two targets are enough to refuse a request; more are kept for operators, and the limit keeps messages small. */
const maxTargetsPerSuspicion = 8;

const minServerErrorStatus = 500;

/** Suspicions and recently answered fingerprints of one instance. */
export class PoisonGuard implements PoisonDecisions {
  private readonly suspicionsByFingerprint = new Map<string, PoisonSuspicion>();
  private readonly answeredAtMsByFingerprint = new Map<string, number>();

  /** @param time Its wall clock counts, because instances compare expiry times. */
  constructor(private readonly time: TimeSource) {}

  /** True if requests with this fingerprint must be refused. */
  isQuarantined(fingerprint: string): boolean {
    if (this.wasAnswered(fingerprint)) return false;
    const suspicion = this.suspicionsByFingerprint.get(fingerprint);
    if (suspicion === undefined || suspicion.untilMs <= this.time.nowMs()) return false;
    return suspicion.targetIds.length >= targetsUntilQuarantine;
  }

  /** True if a target answered the request in the last ten minutes, so that it is not refused. */
  wasAnswered(fingerprint: string): boolean {
    const answeredAtMs = this.answeredAtMsByFingerprint.get(fingerprint);
    return answeredAtMs !== undefined && this.time.nowMs() - answeredAtMs < suspicionTtlMs;
  }

  /**
   * Records that a target answered the request; removes its suspicion and ignores new ones for ten minutes. Returns the
   * removed suspicion. A server error changes nothing: the target may have failed before it got as far as other targets.
   */
  recordAnswered(fingerprint: string, status: number): PoisonSuspicion | undefined {
    if (status >= minServerErrorStatus) return undefined;
    // Deleting first moves the fingerprint to the end, so that the map is ordered by the last answer.
    this.answeredAtMsByFingerprint.delete(fingerprint);
    this.answeredAtMsByFingerprint.set(fingerprint, this.time.nowMs());
    const removed = this.suspicionsByFingerprint.get(fingerprint);
    this.suspicionsByFingerprint.delete(fingerprint);
    this.evictOldestAnswer();
    return removed;
  }

  /** Records that a target stopped answering while it ran the request. Returns the suspicion to share. */
  recordLostTarget(fingerprint: string, targetId: string): PoisonSuspicion {
    const untilMs = this.time.nowMs() + suspicionTtlMs;
    const merged = this.mergeSuspicion({fingerprint, targetIds: [targetId], untilMs});
    this.evictOldest();
    return merged;
  }

  /** Merges the suspicions of other instances. Expired suspicions and those without a target are ignored. */
  mergeSuspicions(suspicions: readonly PoisonSuspicion[]): void {
    const nowMs = this.time.nowMs();
    for (const suspicion of suspicions) {
      if (suspicion.untilMs <= nowMs || suspicion.targetIds.length === 0) continue;
      if (this.wasAnswered(suspicion.fingerprint)) continue;
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

  private mergeSuspicion(added: PoisonSuspicion): PoisonSuspicion {
    const {fingerprint} = added;
    const stored = this.suspicionsByFingerprint.get(fingerprint);
    const current = stored !== undefined && stored.untilMs > this.time.nowMs() ? stored : undefined;
    const targetIds = [...new Set([...(current?.targetIds ?? []), ...added.targetIds])];
    const merged: PoisonSuspicion = {
      fingerprint,
      targetIds: targetIds.sort().slice(0, maxTargetsPerSuspicion),
      untilMs: Math.max(current?.untilMs ?? 0, added.untilMs),
    };
    this.suspicionsByFingerprint.set(fingerprint, merged);
    return merged;
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
