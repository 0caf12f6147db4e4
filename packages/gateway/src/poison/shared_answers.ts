/**
 * Answers to suspected requests that heartbeats carry, so that a request which is answered at one gateway is not refused at
 * the others. Each answer goes with a few heartbeats, because datagrams are lost.
 */
import type {AnsweredRequest} from '@cuminsill/types';

const heartbeatsPerAnswer = 3;
/** Keeps a datagram below the usual size of a packet. */
const maxAnswersPerHeartbeat = 12;
/** Bounds the memory after a failure that many frequent requests have met. */
const maxAnswers = 500;

interface SharedAnswer {
  readonly answeredAtMs: number;
  readonly sendsLeft: number;
}

/** The answers that one gateway shares. */
export class SharedAnswers {
  /** In the order in which they are sent. */
  private readonly byFingerprint = new Map<string, SharedAnswer>();

  /** Shares an answer with the next heartbeats. */
  add({fingerprint, answeredAtMs}: AnsweredRequest): void {
    this.put(fingerprint, {answeredAtMs, sendsLeft: heartbeatsPerAnswer});
    if (this.byFingerprint.size <= maxAnswers) return;
    const [oldest] = this.byFingerprint.keys();
    if (oldest !== undefined) this.byFingerprint.delete(oldest);
  }

  /** Returns the answers of the next heartbeat. */
  take(): readonly AnsweredRequest[] {
    const taken = [...this.byFingerprint].slice(0, maxAnswersPerHeartbeat);
    for (const [fingerprint, {answeredAtMs, sendsLeft}] of taken) {
      this.byFingerprint.delete(fingerprint);
      if (sendsLeft > 1) this.put(fingerprint, {answeredAtMs, sendsLeft: sendsLeft - 1});
    }
    return taken.map(([fingerprint, {answeredAtMs}]) => ({fingerprint, answeredAtMs}));
  }

  /** Puts an answer at the end of the order. */
  private put(fingerprint: string, answer: SharedAnswer): void {
    this.byFingerprint.delete(fingerprint);
    this.byFingerprint.set(fingerprint, answer);
  }
}
