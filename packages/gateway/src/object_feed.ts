/**
 * Follows the objects of one kind: a list first, then the changes after it. A lost history leads to a new list; any other
 * failure to another try from the same revision, because the store keeps what happened meanwhile.
 */
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {ObjectChanges, ObjectList, ObjectSource, SourceError} from './object_source';

/** Pace of a feed. */
export interface FeedTiming {
  /** Longest wait of one call for changes, in milliseconds. Bounds how long a silent connection goes unnoticed. */
  readonly maxWaitMs: number;
  /** Least time between two calls, in milliseconds, so that frequent changes are fetched together. */
  readonly minIntervalMs: number;
}

/** What a feed tells its owner. */
export interface FeedSink<Content> {
  /** The complete list, after the start and after a gap in the history. */
  replace(list: ObjectList<Content>): void;
  /** Changes since the last call. */
  apply(changes: ObjectChanges<Content>): void;
  /**
   * The store answers again after a failure, or for the first time.
   * @param outageMs Time since the call that failed first was made; 0 for the first answer.
   */
  onConnected(outageMs: number): void;
  /** The store stopped answering. */
  onDisconnected(error: SourceError): void;
}

const firstBackoffMs = 100;
/** Short enough to notice the store's return well within the bound on configuration changes. */
const maxBackoffMs = 800;

/** State of one feed, for the status page. */
export interface FeedState {
  readonly kind: string;
  readonly connected: boolean;
  readonly revision: number | undefined;
  /** Time since the store answered last, in milliseconds; undefined when it never did. */
  readonly ageMs: number | undefined;
}

/** Follows one kind of objects until interrupted. */
export class ObjectFeed<Content> {
  private revision: number | undefined;
  private connected = false;
  private consecutiveFailures = 0;
  private answeredAtMs: number | undefined;
  private callStartedAtMs = 0;
  private firstFailedCallAtMs: number | undefined;

  constructor(
    private readonly source: ObjectSource<Content>,
    private readonly timing: FeedTiming,
    private readonly sink: FeedSink<Content>,
    private readonly time: TimeSource,
    private readonly random: () => number = Math.random,
  ) {}

  /** Never ends by itself. */
  run(): Effect.Effect<never> {
    return Effect.forever(this.pollOnce());
  }

  state(): FeedState {
    const {answeredAtMs} = this;
    const ageMs = answeredAtMs === undefined ? undefined : this.time.monotonicMs() - answeredAtMs;
    return {kind: this.source.kind, connected: this.connected, revision: this.revision, ageMs};
  }

  /** One call to the store and what follows from it. */
  pollOnce(): Effect.Effect<void> {
    const call = Effect.suspend(() => {
      this.callStartedAtMs = this.time.monotonicMs();
      return this.revision === undefined ? this.list() : this.pollChanges();
    });
    return call.pipe(
      Effect.matchEffect({
        onFailure: error => this.onFailure(error),
        onSuccess: () => Effect.sleep(this.timing.minIntervalMs),
      }),
    );
  }

  private list(): Effect.Effect<void, SourceError> {
    return Effect.map(this.source.list(), list => {
      this.onAnswer();
      this.revision = list.revision;
      this.sink.replace(list);
    });
  }

  private pollChanges(): Effect.Effect<void, SourceError> {
    const revision = this.revision ?? 0;
    return Effect.map(this.source.changesAfter(revision, this.timing.maxWaitMs), changes => {
      this.onAnswer();
      this.revision = Math.max(revision, changes.revision);
      if (changes.changes.length > 0) this.sink.apply(changes);
    });
  }

  private onAnswer(): void {
    this.answeredAtMs = this.time.monotonicMs();
    this.consecutiveFailures = 0;
    if (this.connected) return;
    this.connected = true;
    this.sink.onConnected(this.answeredAtMs - (this.firstFailedCallAtMs ?? this.answeredAtMs));
    this.firstFailedCallAtMs = undefined;
  }

  private onFailure(error: SourceError): Effect.Effect<void> {
    if (error.failure === 'history-gone') {
      this.revision = undefined;
      return Effect.void;
    }
    if (this.connected && error.failure === 'unavailable') {
      this.connected = false;
      this.firstFailedCallAtMs = this.callStartedAtMs;
      this.sink.onDisconnected(error);
    }
    this.consecutiveFailures += 1;
    const backoffMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** (this.consecutiveFailures - 1));
    // Jitter keeps the gateways from calling at the same moment after an outage.
    return Effect.sleep(backoffMs * (0.5 + this.random() / 2));
  }
}
