/**
 * Makes feeds that are behind the evidence of another gateway read again: first by a serializable read, which shows the change at
 * once unless such reads are stale, and then linearizably.
 */
import type {FeedProgress} from '../store/object_feed';
import {areDifferentEras, isLaterEra} from '../store/object_source';
import type {BoundedFeed} from './bounded_feed';
import {catchUpDelayMs, retryDelayMs} from './freshness_timing';
import type {StoreEvidence} from './store_evidence';

/** What catching up depends on. */
export interface CatchUpEnvironment {
  /** Monotonic clock. */
  nowMs(): number;
  /** Time from the store's acknowledgement of a change until it must take effect. */
  boundMs(): number;
  feeds(): readonly BoundedFeed[];
  /** Called when a feed is behind what another gateway has read. */
  onBehind(kind: string, revision: number, changedAtRevision: number): void;
}

/** When a feed that is behind may read linearizably. */
interface NextRead {
  readonly readAtMs: number;
  readonly failureCount: number;
}

/** The feeds of one gateway that are behind. */
export class FeedCatchUp {
  private readonly reads = new Map<string, NextRead>();
  private readonly readingKinds = new Set<string>();

  constructor(private readonly environment: CatchUpEnvironment) {}

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

  private readAgain(
    feed: BoundedFeed,
    {revision}: FeedProgress,
    {changedAtRevisions}: StoreEvidence,
  ): void {
    const {environment} = this;
    const {kind} = feed;
    const nowMs = environment.nowMs();
    const boundMs = environment.boundMs();
    const next = this.reads.get(kind);
    if (next === undefined) {
      this.reads.set(kind, {readAtMs: nowMs + catchUpDelayMs(boundMs), failureCount: 0});
      environment.onBehind(kind, revision, changedAtRevisions.get(kind) ?? 0);
      feed.pollNow();
      return;
    }
    if (nowMs < next.readAtMs || this.readingKinds.has(kind)) return;
    this.readingKinds.add(kind);
    feed.confirm(isConfirmed => {
      this.readingKinds.delete(kind);
      const failureCount = isConfirmed ? 0 : next.failureCount + 1;
      const delayMs = retryDelayMs(Math.max(1, failureCount), boundMs);
      this.reads.set(kind, {readAtMs: environment.nowMs() + delayMs, failureCount});
    });
  }
}

function isBehind(kind: string, {era, revision}: FeedProgress, evidence: StoreEvidence): boolean {
  if (isLaterEra(era, evidence.era)) return false;
  if (areDifferentEras(era, evidence.era)) return true;
  return revision < (evidence.changedAtRevisions.get(kind) ?? 0);
}
