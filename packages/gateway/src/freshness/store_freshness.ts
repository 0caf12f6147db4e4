/**
 * Bounds the age of what a gateway knows of the store.
 *
 * Watches use serializable reads, which may show a state that is seconds old. One gateway at a time therefore makes linearizable
 * reads and passes on what they have shown: the revision of the store, and up to which revision the objects of each kind have
 * changed. A gateway whose feed has not come as far reads at once. One that gets no such evidence in time reads the store
 * itself, so that the bound holds whichever gateways fail. Where watches are up to date, only the reader makes calls for this.
 */
import type {JsonObject} from '@cuminsill/utils';
import type {FeedProgress, StoreRevision} from '../store/feed_progress';
import type {StoreEra} from '../store/object_source';
import {isLaterEra} from '../store/object_source';
import type {BoundedFeed} from './bounded_feed';
import type {CatchUpEnvironment} from './feed_catch_up';
import {FeedCatchUp} from './feed_catch_up';
import {
  maxReadAgeMs,
  maxShownAgeMs,
  minReadAgeMs,
  rankDelayMs,
  readAgeMs,
} from './freshness_timing';
import type {EndAttempt} from './read_attempts';
import {ReadAttempts} from './read_attempts';
import type {StoreEvidence} from './store_evidence';
import {decodeEvidence} from './store_evidence';

/** What became of evidence from another gateway. */
export type EvidenceResult = 'fresher' | 'known' | 'older' | 'unreadable';

/** What the bound depends on. */
export interface FreshnessEnvironment extends CatchUpEnvironment {
  readonly ownName: string;
  /** False while the store turns this gateway away. */
  isStoreAvailable(): boolean;
  /** Position of this gateway in the order of readers. */
  rank(): number;
  /** Sends own evidence to other gateways. */
  send(evidence: StoreEvidence): void;
  /** Passes on evidence of another gateway. */
  forward(evidence: StoreEvidence): void;
  onEvidence(result: EvidenceResult): void;
}

/** Until when the changes of a kind are known by evidence that is no longer held. */
interface FormerVerification {
  readonly era: StoreEra;
  readonly verifiedAtMs: number;
}

/** Keeps the feeds of one gateway fresh. */
export class StoreFreshness {
  private held: StoreEvidence | undefined;
  private readonly formerVerifications = new Map<string, FormerVerification>();
  /** Number of the latest evidence of each reader. */
  private readonly latestNumbers = new Map<string, number>();
  private readonly catchUp: FeedCatchUp;
  private readonly attempts: ReadAttempts;
  /** What the first feed has shown, while the others must come as far; undefined once evidence has been made of it. */
  private shown: StoreRevision | undefined;
  private wasStoreAvailable = true;

  /** @param lastNumber Start of the process in milliseconds, so that evidence of a former one is older. */
  constructor(
    private readonly environment: FreshnessEnvironment,
    private lastNumber: number,
  ) {
    this.catchUp = new FeedCatchUp(environment, feed => this.verifiedAtMs(feed));
    this.attempts = new ReadAttempts(environment);
  }

  /** Time for which changes may be unknown, in milliseconds; undefined while all feeds list. */
  ageMs(): number | undefined {
    const verifiedTimes = this.environment.feeds().flatMap(feed => this.verifiedAtMs(feed) ?? []);
    if (verifiedTimes.length === 0) return undefined;
    return this.environment.nowMs() - Math.min(...verifiedTimes);
  }

  /** Reads the store if it is time to. To be called about ten times a second. */
  tick(): void {
    const {environment} = this;
    const isAvailable = environment.isStoreAvailable();
    // The evidence of all gateways is old when the store comes back; the first reader is to supply them.
    if (isAvailable && !this.wasStoreAvailable) this.delayByRank();
    this.wasStoreAvailable = isAvailable;
    if (!isAvailable) return;
    this.catchUp.update(this.held);
    if (this.isReadDue()) this.read();
  }

  /** Takes evidence of another gateway. */
  receive(fields: JsonObject): void {
    const {environment} = this;
    const evidence = decodeEvidence(fields, environment.nowMs());
    const result = this.judge(evidence);
    environment.onEvidence(result);
    if (evidence === undefined || result === 'unreadable') return;
    if (result !== 'known') this.latestNumbers.set(evidence.reader, evidence.number);
    if (result !== 'fresher') return;
    this.hold(evidence);
    environment.forward(evidence);
    if (environment.isStoreAvailable()) this.catchUp.update(evidence);
  }

  /** Remembers what the former evidence has shown: a feed that is behind the new one is as fresh as before. */
  private hold(evidence: StoreEvidence): void {
    for (const feed of this.environment.feeds()) {
      const era = feed.progress()?.era;
      const verifiedAtMs = this.verifiedAtMs(feed);
      if (verifiedAtMs !== undefined) {
        this.formerVerifications.set(feed.kind, {era, verifiedAtMs});
      }
    }
    this.held = evidence;
  }

  private judge(evidence: StoreEvidence | undefined): EvidenceResult {
    if (evidence === undefined) return 'unreadable';
    const {held, environment} = this;
    const {reader, number, era, readAtMs} = evidence;
    if (reader === environment.ownName) return 'known';
    if (number <= (this.latestNumbers.get(reader) ?? -1)) return 'known';
    if (held === undefined || isLaterEra(era, held.era)) return 'fresher';
    if (isLaterEra(held.era, era)) return 'older';
    return readAtMs > held.readAtMs ? 'fresher' : 'older';
  }

  private isReadDue(): boolean {
    const {environment} = this;
    if (!this.attempts.isDue()) return false;
    const boundMs = environment.boundMs();
    const ageMs = this.ageMs() ?? 0;
    return ageMs >= minReadAgeMs(boundMs) && ageMs >= readAgeMs(environment.rank(), boundMs);
  }

  /** After a shorter outage, the ages of the evidence still differ from rank to rank. */
  private delayByRank(): void {
    const {environment} = this;
    const boundMs = environment.boundMs();
    if ((this.ageMs() ?? 0) < maxReadAgeMs(boundMs)) return;
    this.attempts.delay(rankDelayMs(environment.rank(), boundMs));
  }

  /** Reads one kind, and then those that may have changed since they were read last. */
  private read(): void {
    const [first] = this.environment.feeds();
    if (first === undefined) return;
    const end = this.attempts.start();
    const {shown} = this;
    if (shown !== undefined && this.isRecent(shown)) {
      this.readOthers(shown, end);
      return;
    }
    const readAtMs = this.environment.nowMs();
    first.confirm(undefined, isConfirmed => {
      const progress = isConfirmed ? first.progress() : undefined;
      if (progress === undefined) {
        end(false);
        return;
      }
      this.shown = {era: progress.era, revision: progress.revision, readAtMs};
      this.readOthers(this.shown, end);
    });
  }

  private isRecent({readAtMs}: StoreRevision): boolean {
    const {environment} = this;
    return environment.nowMs() - readAtMs < maxShownAgeMs(environment.boundMs());
  }

  private readOthers(shown: StoreRevision, end: EndAttempt): void {
    const incomplete = this.environment.feeds().filter(feed => !this.isComplete(feed, shown));
    confirmAll(incomplete, shown, () => {
      const evidence = this.makeEvidence(shown);
      end(evidence !== undefined);
      if (evidence === undefined) return;
      this.shown = undefined;
      this.hold(evidence);
      this.environment.send(evidence);
    });
  }

  /** Undefined when the feeds have not all come as far as the read, or are in different eras. */
  private makeEvidence(shown: StoreRevision): StoreEvidence | undefined {
    const feeds = this.environment.feeds();
    if (!feeds.every(feed => this.isComplete(feed, shown))) return undefined;
    this.lastNumber += 1;
    const {era, revision, readAtMs} = shown;
    const changedAtRevisions = new Map(
      feeds.map(feed => [feed.kind, feed.progress()?.changedAtRevision ?? revision]),
    );
    const {ownName: reader} = this.environment;
    return {reader, number: this.lastNumber, era, revision, changedAtRevisions, readAtMs};
  }

  /** Whether a feed has delivered all changes up to the revision that another feed has been shown. */
  private isComplete(feed: BoundedFeed, {era, revision}: StoreRevision): boolean {
    const progress = feed.progress();
    if (progress === undefined || progress.era !== era) return false;
    return Math.max(progress.revision, this.verifiedRevision(feed.kind, progress)) >= revision;
  }

  /** The revision up to which the held evidence shows a feed to be complete. */
  private verifiedRevision(kind: string, {era, revision}: FeedProgress): number {
    const {held} = this;
    if (held === undefined || held.era !== era) return 0;
    const changedAtRevision = held.changedAtRevisions.get(kind);
    const isUpToDate = changedAtRevision !== undefined && revision >= changedAtRevision;
    return isUpToDate ? held.revision : 0;
  }

  /** All changes that the store acknowledged before this time are delivered; undefined while the feed lists. */
  private verifiedAtMs(feed: BoundedFeed): number | undefined {
    const progress = feed.progress();
    if (progress === undefined) return undefined;
    const {held} = this;
    const former = this.formerVerifications.get(feed.kind);
    const isUpToDate = held !== undefined && this.verifiedRevision(feed.kind, progress) > 0;
    return Math.max(
      progress.confirmedAtMs,
      isUpToDate ? held.readAtMs : -Infinity,
      former !== undefined && former.era === progress.era ? former.verifiedAtMs : -Infinity,
    );
  }
}

/** Reads feeds linearizably; each must come as far as the store was. */
function confirmAll(feeds: readonly BoundedFeed[], reached: StoreRevision, done: () => void): void {
  let remaining = feeds.length;
  if (remaining === 0) done();
  for (const feed of feeds) {
    feed.confirm(reached, () => {
      remaining -= 1;
      if (remaining === 0) done();
    });
  }
}
