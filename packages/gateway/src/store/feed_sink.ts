/** What a feed of objects delivers to the view that it keeps up to date. */
import type {ObjectChanges, ObjectList, SourceError, StoreEra} from './object_source';

/** Receives the lists, changes and connection states of a feed. */
export interface FeedSink<Content> {
  /** Receives the complete list, at the start and after a gap in the history. */
  replace(list: ObjectList<Content>): void;
  /** Receives the changes since the previous list or changes. */
  apply(changes: ObjectChanges<Content>): void;
  /**
   * Called when the store answers for the first time, or again after an outage.
   * @param outageMs Longest time for which the store can have been unavailable; 0 for the first answer.
   * @param callStartedAtMs Start of the call that was answered, on the monotonic clock.
   */
  onConnected(outageMs: number, callStartedAtMs: number): void;
  /** Called when the store becomes unavailable. */
  onDisconnected(error: SourceError, failedCall: FailedCall): void;
  /** Called when an exception has prevented that an answer is delivered; the feed lists again. */
  onDefect(error: unknown): void;
  /** Missing when it does not matter how old the state of the store may be. */
  readonly confirmation?: ReadConfirmation | undefined;
}

/** Learns which state of the store has been delivered for certain. */
export interface ReadConfirmation {
  /** Clock by which the calls are dated, in milliseconds. */
  nowMs(): number;
  /**
   * Called after a linearizable read has been delivered to the sink.
   * @param sentAtMs When its call was sent. Everything that the store acknowledged before is known.
   */
  onConfirmed(sentAtMs: number, era: StoreEra): void;
}

/** The first call that failed in an outage. */
export interface FailedCall {
  /** Time from its start until its failure was noticed, in milliseconds. */
  readonly callMs: number;
  /** Time since the last answer of the store, in milliseconds; undefined before the first answer. */
  readonly answerAgeMs: number | undefined;
}
