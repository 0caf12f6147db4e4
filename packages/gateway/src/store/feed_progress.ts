/** How far a feed of objects has come. */
import type {StoreEra} from './object_source';

/** State of one feed, for the status page. */
export interface FeedState {
  readonly kind: string;
  readonly connected: boolean;
  readonly revision: number | undefined;
  /** Time since the last answer of the store, in milliseconds; undefined before the first answer. */
  readonly ageMs: number | undefined;
}

/** What a feed has delivered to its sink, as revisions of one era. */
export interface FeedProgress {
  readonly era: StoreEra;
  /** The delivered objects are complete up to this revision. */
  readonly revision: number;
  /** No object of the kind has changed after this revision and up to `revision`. */
  readonly changedAtRevision: number;
  /** Every change that the store acknowledged before this time is delivered; on the monotonic clock in milliseconds. */
  readonly confirmedAtMs: number;
}

/** A revision that the store had reached, as a linearizable read has shown. */
export interface StoreRevision {
  readonly era: StoreEra;
  readonly revision: number;
  /** When the read was sent, on the monotonic clock in milliseconds. */
  readonly readAtMs: number;
}
