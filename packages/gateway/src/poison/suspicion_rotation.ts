/**
 * Chooses the suspicions that heartbeats carry. A new or changed suspicion is sent before all others, so that every
 * gateway hears of it soon. The others follow in turn, so that a gateway that has just started learns all of them.
 *
 * A lost failure domain leaves a suspicion for each request that ran there, and these last for minutes. Among them must
 * be found the few requests that crash one target after the other.
 */
import type {PoisonSuspicion} from '@cuminsill/types';

interface SentSuspicion {
  readonly untilMs: number;
  readonly targetCount: number;
  /** Round in which this version was last sent. */
  readonly round: number;
}

/** Round of a suspicion that has not been sent in its present version. */
const neverSent = 0;

/** Remembers which suspicions were sent, and when. */
export class SuspicionRotation {
  private round = neverSent;
  private lastSent: ReadonlyMap<string, SentSuspicion> = new Map();

  /** Number of suspicions that have not been sent in their present version. */
  countUnsent(suspicions: readonly PoisonSuspicion[]): number {
    return suspicions.filter(suspicion => this.roundOf(suspicion) === neverSent).length;
  }

  /** Treats all suspicions as not sent. */
  forgetSent(): void {
    this.lastSent = new Map();
  }

  /**
   * Returns the suspicions of the next round: those not sent in their present version, with the most lost targets
   * first, then those sent longest ago. They count as sent.
   */
  next(suspicions: readonly PoisonSuspicion[], maxCount: number): readonly PoisonSuspicion[] {
    this.round += 1;
    const ordered = [...suspicions].sort(
      (a, b) => this.roundOf(a) - this.roundOf(b) || b.targetIds.length - a.targetIds.length,
    );
    const chosen = ordered.slice(0, maxCount);
    this.recordSent(suspicions, chosen);
    return chosen;
  }

  /** Records the chosen suspicions as sent, and forgets those that have expired. */
  private recordSent(
    suspicions: readonly PoisonSuspicion[],
    chosen: readonly PoisonSuspicion[],
  ): void {
    const lastSent = new Map<string, SentSuspicion>();
    for (const {fingerprint} of suspicions) {
      const sent = this.lastSent.get(fingerprint);
      if (sent !== undefined) lastSent.set(fingerprint, sent);
    }
    for (const {fingerprint, untilMs, targetIds} of chosen) {
      lastSent.set(fingerprint, {untilMs, targetCount: targetIds.length, round: this.round});
    }
    this.lastSent = lastSent;
  }

  private roundOf({fingerprint, untilMs, targetIds}: PoisonSuspicion): number {
    const sent = this.lastSent.get(fingerprint);
    if (sent === undefined) return neverSent;
    const isUnchanged = sent.untilMs === untilMs && sent.targetCount === targetIds.length;
    return isUnchanged ? sent.round : neverSent;
  }
}
