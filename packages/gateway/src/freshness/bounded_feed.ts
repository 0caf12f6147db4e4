/** The part of a feed that keeps it fresh. */
import type {FeedProgress, StoreRevision} from '../store/feed_progress';

/** A feed of objects whose changes must take effect within a bound. */
export interface BoundedFeed {
  readonly kind: string;
  /** Undefined while the feed lists, which is a linearizable read. */
  progress(): FeedProgress | undefined;
  /** Makes a serializable read at once. */
  pollNow(): void;
  /**
   * Makes a linearizable read and delivers its result before `done` is called with whether it has confirmed anything.
   * @param reached Revision that the store has reached as far as is known. Undefined only for the first feed, which shows it.
   */
  confirm(reached: StoreRevision | undefined, done: (isConfirmed: boolean) => void): void;
}
