/**
 * Follows the objects of one kind in the store: lists them once, then long-polls for changes. The feed lists again when the
 * store has dropped the history after the last revision or has come back from an older copy. After any other failure it
 * retries from the same revision, and does not wait for changes until the store has answered.
 */
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {ConfirmationMode, ConfirmedAnswer} from './confirmed_read';
import {confirmedReads} from './confirmed_read';
import type {FeedProgress, FeedState, StoreRevision} from './feed_progress';
import type {FeedSink} from './feed_sink';
import type {FeedTiming} from './feed_timing';
import type {ObjectChange, ObjectChanges, ObjectSource, StoreEra} from './object_source';
import {areDifferentEras, SourceError} from './object_source';
import {StoreCircuit} from './store_circuit';

const firstBackoffMs = 100;
/** Short enough to detect the end of an outage well within the bound on configuration changes. */
const maxBackoffMs = 800;

/** State of the feed when a linearizable read was sent. */
interface ConfirmedRead {
  readonly era: StoreEra;
  /** The answer must have come as far. */
  readonly reached: StoreRevision | undefined;
  /** On the monotonic clock. */
  readonly startedAtMs: number;
  /** On the clock of the sink's confirmation. */
  readonly sentAtMs: number;
}

/** What a feed may be given beside what it needs. */
export interface FeedOptions {
  /** Returns a random number from 0 to below 1. */
  readonly random?: () => number;
  /** Shared by the feeds of a gateway. */
  readonly circuit?: StoreCircuit;
  readonly confirmationMode?: ConfirmationMode;
}

/** Feed of the objects of one kind. */
export class ObjectFeed<Content> {
  private revision: number | undefined;
  private changedAtRevision = 0;
  /** Revisions of the delivered objects by name. */
  private readonly objectRevisions = new Map<string, number>();
  private era: StoreEra;
  private confirmedAtMs = Number.NEGATIVE_INFINITY;
  private connected = false;
  private consecutiveFailures = 0;
  /** Times in a row that the store did not have the history after a list. */
  private consecutiveGaps = 0;
  private answeredAtMs: number | undefined;
  private callStartedAtMs = 0;
  private outageStartedAtMs: number | undefined;
  /** Ends the call that is under way; undefined between calls. */
  private endCall: (() => void) | undefined;
  /** Ends the pause after an answer; undefined outside of one. */
  private endPause: (() => void) | undefined;
  private skipsWait = false;
  private readonly random: () => number;
  private readonly circuit: StoreCircuit;
  private readonly confirmationMode: ConfirmationMode;

  /** @param timing Returns the timing of the calls, which a reload may change. */
  constructor(
    private readonly source: ObjectSource<Content>,
    private readonly timing: () => FeedTiming,
    private readonly sink: FeedSink<Content>,
    private readonly time: TimeSource,
    {random, circuit, confirmationMode}: FeedOptions = {},
  ) {
    this.random = random ?? Math.random;
    this.circuit = circuit ?? new StoreCircuit();
    this.confirmationMode = confirmationMode ?? 'changes';
  }

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

  /** What has been delivered; undefined before the first list and while the feed has to list again. */
  progress(): FeedProgress | undefined {
    const {revision, changedAtRevision, era, confirmedAtMs} = this;
    return revision === undefined ? undefined : {era, revision, changedAtRevision, confirmedAtMs};
  }

  /** Makes a call without a wait at once, in place of the call or the pause that is under way. */
  pollNow(): void {
    this.endCall?.();
    this.endPause?.();
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
   * before the first list, when the store's era has changed, so that the feed has to list again, or when another answer has
   * delivered changes meanwhile. An answer that does not show a revision that the store had reached makes the feed list.
   * @param reached Dates an answer that is no list, because a watch may show an old state even if it is not asked to.
   */
  confirm(reached?: StoreRevision): Effect.Effect<boolean, SourceError> {
    return Effect.suspend(() => {
      const {revision, era} = this;
      if (revision === undefined) return Effect.succeed(false);
      const sentAtMs = this.sink.confirmation?.nowMs() ?? 0;
      const read = {era, reached, sentAtMs, startedAtMs: this.time.monotonicMs()};
      const delivered = () => ({
        revision: this.revision ?? revision,
        objectRevisions: this.objectRevisions,
      });
      const {answerTimeoutMs} = this.timing();
      return confirmedReads[this.confirmationMode](this.source, delivered, answerTimeoutMs).pipe(
        Effect.map(answer => this.onConfirmedChanges(answer, read)),
        Effect.tapError(error => Effect.sync(() => this.onConfirmFailure(error, read))),
      );
    });
  }

  private onConfirmedChanges(
    {changes, afterRevision}: ConfirmedAnswer<Content>,
    read: ConfirmedRead,
  ): boolean {
    this.onAnswer(read.startedAtMs);
    if (areDifferentEras(changes.era, this.era)) this.listAgain();
    // After a change of the era, the answer may lack changes up to the revision with which the call was made.
    const isSameEra = changes.era === read.era && changes.era === this.era;
    if (!isSameEra || this.revision === undefined) return false;
    if (isOlderThan(changes, read.reached)) {
      this.listAgain();
      return false;
    }
    // A list may differ from what has been delivered up to the same revision: a stale watch may have left a change out.
    const isSameRevision = changes.revision === this.revision && afterRevision === this.revision;
    if (changes.revision > this.revision || isSameRevision) {
      // Changes that were delivered since the call was sent must not be followed by older ones.
      if (this.changedAtRevision > afterRevision) return false;
      this.deliver(changes, afterRevision);
      // The answer of the watch that is under way would repeat these changes, or show only some of them.
      if (changes.changes.length > 0) this.endCall?.();
    }
    this.confirmedAtMs = Math.max(this.confirmedAtMs, this.confirmedTimeMs(read));
    this.sink.confirmation?.onConfirmed(read.sentAtMs, changes.era);
    return true;
  }

  /** All changes that the store acknowledged before this time are in the answer. */
  private confirmedTimeMs({startedAtMs, reached}: ConfirmedRead): number {
    return this.confirmationMode === 'list' ? startedAtMs : (reached?.readAtMs ?? startedAtMs);
  }

  private onConfirmFailure(error: SourceError, {startedAtMs}: ConfirmedRead): void {
    if (error.failure === 'history-gone') this.listAgain();
    if (error.failure !== 'unavailable') return;
    // A lost answer is no outage while the store answers other calls.
    if (this.circuit.answeredAtMs > startedAtMs) return;
    this.onUnavailable(error, startedAtMs);
    // The watch that is under way may wait for an answer that does not come.
    this.endCall?.();
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
    const pause = Effect.suspend(() => Effect.sleep(this.timing().minIntervalMs));
    return Effect.raceFirst(pause, this.pauseEnded());
  }

  /** Completes when the pause is to be cut short. */
  private pauseEnded(): Effect.Effect<void> {
    return Effect.async<void>(resume => {
      this.endPause = () => {
        this.skipsWait = true;
        resume(Effect.void);
      };
      return Effect.sync(() => {
        this.endPause = undefined;
      });
    });
  }

  private list(): Effect.Effect<void, SourceError> {
    const sentAtMs = this.sink.confirmation?.nowMs() ?? 0;
    const {callStartedAtMs} = this;
    return Effect.map(this.source.list(this.timing().listTimeoutMs), list => {
      this.onAnswer(callStartedAtMs);
      this.revision = list.revision;
      // Objects that were deleted before leave no trace in the list.
      this.changedAtRevision = list.revision;
      this.era = list.era;
      this.objectRevisions.clear();
      for (const {name, revision} of list.objects) this.objectRevisions.set(name, revision);
      this.sink.replace(list);
      this.confirmedAtMs = callStartedAtMs;
      this.sink.confirmation?.onConfirmed(sentAtMs, list.era);
    });
  }

  private pollChanges(): Effect.Effect<void, SourceError> {
    const revision = this.revision ?? 0;
    const {maxWaitMs, answerTimeoutMs} = this.timing();
    // An answer at once shows that the store is back; a wait would keep that open until its end.
    const isProbe = this.consecutiveFailures > 0 || !this.circuit.isClosed;
    const waitMs = this.skipsWait || isProbe ? 0 : maxWaitMs;
    this.skipsWait = false;
    const timeoutMs = waitMs + answerTimeoutMs;
    const {callStartedAtMs} = this;
    return Effect.map(this.source.changesAfter(revision, waitMs, timeoutMs), changes => {
      this.onAnswer(callStartedAtMs);
      if (areDifferentEras(changes.era, this.era)) {
        // The restored store may have changes under revisions up to the last one, which this answer leaves out.
        this.revision = undefined;
        return;
      }
      this.consecutiveGaps = 0;
      this.era ??= changes.era;
      // A confirmed read may have gone further in the meantime, and these changes may be older than what it has delivered.
      if (this.changedAtRevision <= revision) this.deliver(changes, revision);
    });
  }

  /** @param afterRevision The revision after which the changes were asked for. */
  private deliver(changes: ObjectChanges<Content>, afterRevision: number): void {
    const formerRevision = this.revision ?? afterRevision;
    this.revision = Math.max(formerRevision, changes.revision);
    if (changes.changes.length === 0) return;
    this.changedAtRevision = Math.max(
      ...changes.changes.map(change => revisionOfChange(change, changes.revision, afterRevision)),
    );
    for (const {object, deleted} of changes.changes) {
      if (deleted) this.objectRevisions.delete(object.name);
      else this.objectRevisions.set(object.name, object.revision);
    }
    this.sink.apply(changes);
  }

  private onAnswer(callStartedAtMs: number): void {
    this.answeredAtMs = this.time.monotonicMs();
    this.circuit.onAnswer(this.answeredAtMs);
    this.consecutiveFailures = 0;
    if (this.connected) return;
    this.connected = true;
    const outageMs = this.answeredAtMs - (this.outageStartedAtMs ?? this.answeredAtMs);
    this.sink.onConnected(outageMs, callStartedAtMs);
    this.outageStartedAtMs = undefined;
  }

  private onUnavailable(error: SourceError, callStartedAtMs: number): void {
    if (!this.connected) return;
    this.connected = false;
    // The store was up when it answered any feed, however long ago the call was sent whose answer is missing.
    this.outageStartedAtMs = Math.max(callStartedAtMs, this.circuit.answeredAtMs);
    const callMs = this.time.monotonicMs() - callStartedAtMs;
    this.sink.onDisconnected(error, {callMs, answerAgeMs: this.answerAgeMs()});
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
      this.consecutiveGaps += 1;
      return this.consecutiveGaps === 1
        ? Effect.void
        : Effect.sleep(this.backoffMs(this.consecutiveGaps - 1));
    }
    if (error.failure === 'undeliverable') return Effect.sleep(maxBackoffMs);
    if (error.failure === 'unavailable') {
      this.circuit.onUnavailable(this.callStartedAtMs);
      this.onUnavailable(error, this.callStartedAtMs);
    }
    this.consecutiveFailures += 1;
    // A call that has timed out has waited already.
    const elapsedMs = this.time.monotonicMs() - this.callStartedAtMs;
    return Effect.sleep(Math.max(0, this.backoffMs(this.consecutiveFailures) - elapsedMs));
  }

  /** Jitter spreads the calls of the gateways after an outage. */
  private backoffMs(failureCount: number): number {
    const maxMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** (failureCount - 1));
    return maxMs * (0.5 + this.random() / 2);
  }
}

/**
 * Returns an upper bound of the revision of a change in an answer. The object of a deletion may bear the revision of its last
 * change before, so that only the revision of the answer is certain.
 */
function revisionOfChange(
  {object, deleted}: ObjectChange<unknown>,
  answerRevision: number,
  afterRevision: number,
): number {
  const isStated = !deleted && object.revision > afterRevision;
  return isStated ? Math.min(object.revision, answerRevision) : answerRevision;
}

/** True if an answer does not show a revision that the store had reached before the call. */
function isOlderThan(
  {era, revision}: ObjectChanges<unknown>,
  reached: StoreRevision | undefined,
): boolean {
  return reached !== undefined && reached.era === era && revision < reached.revision;
}
