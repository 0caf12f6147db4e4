/**
 * The platform's store as the gateway needs it: lists of objects of one kind, and changes since a revision. The adapter of
 * a platform implements it; when to call is decided in `object_feed.ts`.
 */
import type {Effect} from 'effect';

/** One object with its content decoded; undefined content could not be read. */
export interface SourceObject<Content> {
  readonly name: string;
  readonly revision: number;
  readonly content: Content | undefined;
}

/** All objects of a kind at a revision. */
export interface ObjectList<Content> {
  readonly objects: readonly SourceObject<Content>[];
  readonly revision: number;
}

/** One change of an object. */
export interface ObjectChange<Content> {
  readonly object: SourceObject<Content>;
  readonly deleted: boolean;
}

/** Changes after a revision, up to and including another. */
export interface ObjectChanges<Content> {
  readonly changes: readonly ObjectChange<Content>[];
  readonly revision: number;
}

/** Why a call brought nothing. */
export type SourceFailure = 'history-gone' | 'rate-limited' | 'unavailable';

/** A call that brought nothing. */
export class SourceError extends Error {
  override readonly name = 'SourceError';

  constructor(
    readonly failure: SourceFailure,
    readonly detail: string,
  ) {
    super(`${failure}: ${detail}`);
  }
}

/** Objects of one kind. */
export interface ObjectSource<Content> {
  readonly kind: string;
  list(): Effect.Effect<ObjectList<Content>, SourceError>;
  /** Waits up to `waitMs` for changes after the revision. */
  changesAfter(
    revision: number,
    waitMs: number,
  ): Effect.Effect<ObjectChanges<Content>, SourceError>;
}
