/**
 * Makes feeds that are behind the evidence of another gateway read again: first by a serializable read, which shows the change at
 * once unless such reads are stale, and then linearizably.
 */
import type {FeedProgress} from '../store/feed_progress';
import {areDifferentEras, isLaterEra} from '../store/object_source';
import type {BoundedFeed} from './bounded_feed';
import {catchUpDelayMs} from './freshness_timing';
import type {AttemptEnvironment} from './read_attempts';
import {ReadAttempts} from './read_attempts';
import type {StoreEvidence} from './store_evidence';

/** What catching up depends on. */
export interface CatchUpEnvironment extends AttemptEnvironment {
  feeds(): readonly BoundedFeed[];
  /** Called when a feed is behind what another gateway has read. */
  onBehind(kind: string, revision: number, changedAtRevision: number): void;
}

/** The feeds of one gateway that are behind. */
export class FeedCatchUp {
  /** Linearizable reads of the kinds that are behind. */
  private readonly reads = new Map<string, ReadAttempts>();

  /** @param verifiedAtMs Returns until when all changes of a feed are known, on the monotonic clock in milliseconds. */
  constructor(
    private readonly environment: CatchUpEnvironment,
    private readonly verifiedAtMs: (feed: BoundedFeed) => number | undefined,
  ) {}

  /** Makes the feeds that are behind the evidence read again, if it is time to. */
  update(evidence: StoreEvidence | undefined): void {
    if (evidence === undefined) return;
    for (const feed of this.environment.feeds()) {
      const progress = feed.progress();
      if (progress === undefined || !isBehind(feed.kind, progress, evidence)) {
        this.reads.delete(feed.kind);
      } else this.readAgain(feed, progress, evidence);
    }
  }

  private readAgain(feed: BoundedFeed, {revision}: FeedProgress, evidence: StoreEvidence): void {
    const {environment} = this;
    const {kind} = feed;
    let reads = this.reads.get(kind);
    if (reads === undefined) {
      reads = new ReadAttempts(environment);
      reads.delay(catchUpDelayMs(this.ageMs(feed), environment.boundMs()));
      this.reads.set(kind, reads);
      environment.onBehind(kind, revision, evidence.changedAtRevisions.get(kind) ?? 0);
      feed.pollNow();
    }
    if (reads.isDue()) feed.confirm(evidence, reads.start());
  }

  private ageMs(feed: BoundedFeed): number {
    return this.environment.nowMs() - (this.verifiedAtMs(feed) ?? -Infinity);
  }
}

function isBehind(kind: string, {era, revision}: FeedProgress, evidence: StoreEvidence): boolean {
  if (isLaterEra(era, evidence.era)) return false;
  if (areDifferentEras(era, evidence.era)) return true;
  return revision < (evidence.changedAtRevisions.get(kind) ?? 0);
}
