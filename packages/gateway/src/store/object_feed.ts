/**
 * Follows the objects of one kind in the store: lists them once, then long-polls for changes. The feed lists again when the
 * store has dropped the history after the last revision or has come back from an older copy. After any other failure it
 * retries from the same revision, and does not wait for changes until the store has answered.
 */
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {FeedTiming} from './feed_timing';
import type {ObjectChanges, ObjectList, ObjectSource, StoreEra} from './object_source';
import {areDifferentEras, SourceError} from './object_source';
import {StoreCircuit} from './store_circuit';

/** Receives the lists, changes and connection states of a feed. */
export interface FeedSink<Content> {
  /** Receives the complete list, at the start and after a gap in the history. */
  replace(list: ObjectList<Content>): void;
  /** Receives the changes since the previous list or changes. */
  apply(changes: ObjectChanges<Content>): void;
  /**
   * Called when the store answers for the first time, or again after an outage.
   * @param outageMs Time since the start of the first failed call; 0 for the first answer.
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

const firstBackoffMs = 100;
/** Short enough to detect the end of an outage well within the bound on configuration changes. */
const maxBackoffMs = 800;

/** State of one feed, for the status page. */
export interface FeedState {
  readonly kind: string;
  readonly connected: boolean;
  readonly revision: number | undefined;
  /** Time since the last answer of the store, in milliseconds; undefined before the first answer. */
  readonly ageMs: number | undefined;
}

/** Feed of the objects of one kind. */
export class ObjectFeed<Content> {
  private revision: number | undefined;
  private era: StoreEra;
  private connected = false;
  private consecutiveFailures = 0;
  private answeredAtMs: number | undefined;
  private callStartedAtMs = 0;
  private firstFailedCallAtMs: number | undefined;
  /** Ends the call that is under way; undefined between calls. */
  private endCall: (() => void) | undefined;
  private skipsWait = false;

  /** @param timing Returns the timing of the calls, which a reload may change. */
  constructor(
    private readonly source: ObjectSource<Content>,
    private readonly timing: () => FeedTiming,
    private readonly sink: FeedSink<Content>,
    private readonly time: TimeSource,
    private readonly random: () => number = Math.random,
    private readonly circuit: StoreCircuit = new StoreCircuit(),
  ) {}

  /** Follows the objects until interrupted. */
  run(): Effect.Effect<never> {
    return Effect.forever(this.pollOnce());
  }

  state(): FeedState {
    const {connected, revision} = this;
    return {kind: this.source.kind, connected, revision, ageMs: this.answerAgeMs()};
  }

  private answerAgeMs(): number | undefined {
    const {answeredAtMs} = this;
    return answeredAtMs === undefined ? undefined : this.time.monotonicMs() - answeredAtMs;
  }

  /**
   * Makes the call that is under way again, without a wait, if it started before the given time. Called when another feed has
   * shown that calls from before that time may never be answered.
   */
  resync(startedBeforeMs: number): void {
    if (this.callStartedAtMs < startedBeforeMs) this.endCall?.();
  }

  /**
   * Makes a linearizable read beside the calls of `run`, and delivers what it finds. Returns false if it confirms nothing:
   * before the first list, or when the store's era has changed, so that the feed has to list again.
   */
  confirm(): Effect.Effect<boolean, SourceError> {
    return Effect.suspend(() => {
      const {revision, era} = this;
      if (revision === undefined) return Effect.succeed(false);
      const sentAtMs = this.sink.confirmation?.nowMs() ?? 0;
      const {answerTimeoutMs} = this.timing();
      return this.source.confirmedChangesAfter(revision, answerTimeoutMs).pipe(
        Effect.map(changes => this.onConfirmedChanges(changes, era, sentAtMs)),
        Effect.tapError(({failure}) =>
          Effect.sync(() => {
            if (failure === 'history-gone') this.listAgain();
          }),
        ),
      );
    });
  }

  /** @param eraBefore The feed's era when the call was sent. */
  private onConfirmedChanges(
    changes: ObjectChanges<Content>,
    eraBefore: StoreEra,
    sentAtMs: number,
  ): boolean {
    if (areDifferentEras(changes.era, this.era)) this.listAgain();
    // After a change of the era, the answer may lack changes up to the revision with which the call was made.
    const isSameEra = changes.era === eraBefore && changes.era === this.era;
    if (!isSameEra || this.revision === undefined) return false;
    if (changes.revision > this.revision) {
      this.revision = changes.revision;
      if (changes.changes.length > 0) this.sink.apply(changes);
    }
    this.sink.confirmation?.onConfirmed(sentAtMs, changes.era);
    return true;
  }

  private listAgain(): void {
    this.revision = undefined;
    this.endCall?.();
  }

  /** Makes one call to the store, delivers its result, and waits before the next call. */
  pollOnce(): Effect.Effect<void> {
    const call = Effect.zipRight(
      this.circuit.admit(this.source.kind),
      Effect.suspend(() => {
        this.callStartedAtMs = this.time.monotonicMs();
        return this.revision === undefined ? this.list() : this.pollChanges();
      }),
    );
    const answered = Effect.as(call, 'answered' as const).pipe(
      Effect.catchAllDefect(defect => this.onDefect(defect)),
    );
    return Effect.raceFirst(answered, this.callEnded()).pipe(
      Effect.matchEffect({
        onFailure: error => this.onFailure(error),
        onSuccess: result => (result === 'answered' ? this.pauseAfterAnswer() : Effect.void),
      }),
    );
  }

  /** Completes when the call under way is to be made again. */
  private callEnded(): Effect.Effect<'ended'> {
    return Effect.async<'ended'>(resume => {
      this.endCall = () => {
        this.skipsWait = true;
        resume(Effect.succeed('ended'));
      };
      return Effect.sync(() => {
        this.endCall = undefined;
      });
    });
  }

  private pauseAfterAnswer(): Effect.Effect<void> {
    return Effect.suspend(() => Effect.sleep(this.timing().minIntervalMs));
  }

  private list(): Effect.Effect<void, SourceError> {
    const sentAtMs = this.sink.confirmation?.nowMs() ?? 0;
    return Effect.map(this.source.list(this.timing().listTimeoutMs), list => {
      this.onAnswer();
      this.revision = list.revision;
      this.era = list.era;
      this.sink.replace(list);
      this.sink.confirmation?.onConfirmed(sentAtMs, list.era);
    });
  }

  private pollChanges(): Effect.Effect<void, SourceError> {
    const revision = this.revision ?? 0;
    const {maxWaitMs, answerTimeoutMs} = this.timing();
    // An answer at once shows that the store is back; a wait would keep that open until its end.
    const waitMs = this.skipsWait || this.consecutiveFailures > 0 ? 0 : maxWaitMs;
    this.skipsWait = false;
    const timeoutMs = waitMs + answerTimeoutMs;
    return Effect.map(this.source.changesAfter(revision, waitMs, timeoutMs), changes => {
      this.onAnswer();
      if (areDifferentEras(changes.era, this.era)) {
        // The restored store may have changes under revisions up to the last one, which this answer leaves out.
        this.revision = undefined;
        return;
      }
      this.era ??= changes.era;
      // A confirmed read may have gone further in the meantime.
      this.revision = Math.max(this.revision ?? revision, changes.revision);
      if (changes.changes.length > 0) this.sink.apply(changes);
    });
  }

  private onAnswer(): void {
    this.answeredAtMs = this.time.monotonicMs();
    this.circuit.onAnswer(this.answeredAtMs);
    this.consecutiveFailures = 0;
    if (this.connected) return;
    this.connected = true;
    const outageMs = this.answeredAtMs - (this.firstFailedCallAtMs ?? this.answeredAtMs);
    this.sink.onConnected(outageMs, this.callStartedAtMs);
    this.firstFailedCallAtMs = undefined;
  }

  /** The sink may have taken a part of the answer. Without this, an exception would end the feed for good. */
  private onDefect(defect: unknown): Effect.Effect<never, SourceError> {
    this.revision = undefined;
    this.sink.onDefect(defect);
    return Effect.fail(new SourceError('undeliverable', String(defect)));
  }

  private onFailure(error: SourceError): Effect.Effect<void> {
    if (error.failure === 'history-gone') {
      this.revision = undefined;
      return Effect.void;
    }
    if (error.failure === 'undeliverable') return Effect.sleep(maxBackoffMs);
    if (error.failure === 'unavailable') this.circuit.onUnavailable(this.callStartedAtMs);
    if (this.connected && error.failure === 'unavailable') {
      this.connected = false;
      this.firstFailedCallAtMs = this.callStartedAtMs;
      const callMs = this.time.monotonicMs() - this.callStartedAtMs;
      this.sink.onDisconnected(error, {callMs, answerAgeMs: this.answerAgeMs()});
    }
    this.consecutiveFailures += 1;
    const backoffMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** (this.consecutiveFailures - 1));
    // Jitter spreads the calls of the gateways after an outage. A call that has timed out has waited already.
    const elapsedMs = this.time.monotonicMs() - this.callStartedAtMs;
    return Effect.sleep(Math.max(0, backoffMs * (0.5 + this.random() / 2) - elapsedMs));
  }
}
