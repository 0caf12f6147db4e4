/**
 * Interface to the platform store: lists the objects of one kind and the changes since a revision. The platform's
 * adapter implements it, and `object_feed.ts` calls it.
 */
import type {Effect} from 'effect';

/** A stored object with decoded content; the content is undefined when it could not be decoded. */
export interface SourceObject<Content> {
  readonly name: string;
  readonly revision: number;
  readonly content: Content | undefined;
}

/**
 * Number that rises each time the store comes back from an older copy. Revisions of different eras cannot be compared.
 * Undefined when the store does not state it.
 */
export type StoreEra = number | undefined;

/** True if two answers are known to come from different eras. */
export function areDifferentEras(first: StoreEra, second: StoreEra): boolean {
  return first !== undefined && second !== undefined && first !== second;
}

/** True if an era is known to be later than another. */
export function isLaterEra(era: StoreEra, other: StoreEra): boolean {
  return era !== undefined && other !== undefined && era > other;
}

/** All objects of a kind at a revision. */
export interface ObjectList<Content> {
  readonly objects: readonly SourceObject<Content>[];
  readonly revision: number;
  readonly era?: StoreEra;
}

/** One change of an object. */
export interface ObjectChange<Content> {
  readonly object: SourceObject<Content>;
  readonly deleted: boolean;
}

/** Changes after a revision, up to and including `revision`. */
export interface ObjectChanges<Content> {
  readonly changes: readonly ObjectChange<Content>[];
  readonly revision: number;
  readonly era?: StoreEra;
}

/**
 * Applies changes in their order to a list. Objects of the list may be newer than its revision, as far as the changes go: the last
 * change of an object decides.
 */
export function listAfterChanges<Content>(
  list: ObjectList<Content>,
  {changes, revision}: ObjectChanges<Content>,
): ObjectList<Content> {
  const objects = new Map(list.objects.map(object => [object.name, object]));
  for (const {object, deleted} of changes) {
    if (deleted) objects.delete(object.name);
    else objects.set(object.name, object);
  }
  return {...list, objects: [...objects.values()], revision};
}

/** Returns the changes that lead from known objects, each with its revision, to a list. */
export function changesToList<Content>(
  {objects, revision, era}: ObjectList<Content>,
  knownRevisions: ReadonlyMap<string, number>,
): ObjectChanges<Content> {
  const listedNames = new Set(objects.map(({name}) => name));
  const deletions = [...knownRevisions]
    .filter(([name]) => !listedNames.has(name))
    .map(([name, knownRevision]) => ({
      object: {name, revision: knownRevision, content: undefined},
      deleted: true,
    }));
  const updates = objects
    .filter(object => knownRevisions.get(object.name) !== object.revision)
    .map(object => ({object, deleted: false}));
  return {changes: [...deletions, ...updates], revision, era};
}

/** Why a call to the store failed. */
export type SourceFailure = 'history-gone' | 'rate-limited' | 'unavailable' | 'undeliverable';

/** A failed call to the store. */
export class SourceError extends Error {
  override readonly name = 'SourceError';

  constructor(
    readonly failure: SourceFailure,
    readonly detail: string,
  ) {
    super(`${failure}: ${detail}`);
  }
}

/** Access to the stored objects of one kind. */
export interface ObjectSource<Content> {
  readonly kind: string;
  /**
   * Lists all objects as of one revision, by linearizable reads.
   * @param timeoutMs Time after which a call for one page is given up.
   */
  list(timeoutMs: number): Effect.Effect<ObjectList<Content>, SourceError>;
  /** Lists all objects like `list`, but takes no answer that the store may have sent to an earlier call. */
  confirmedList(timeoutMs: number): Effect.Effect<ObjectList<Content>, SourceError>;
  /**
   * Waits up to `waitMs` for changes after the revision (long polling).
   * @param timeoutMs Time after which the call is given up; includes the wait.
   */
  changesAfter(
    revision: number,
    waitMs: number,
    timeoutMs: number,
  ): Effect.Effect<ObjectChanges<Content>, SourceError>;
  /**
   * Returns the changes after the revision without a wait, by a linearizable read: it contains every change that the store
   * acknowledged before the call was sent. `changesAfter` may return a state that is seconds old, but costs a tenth.
   */
  confirmedChangesAfter(
    revision: number,
    timeoutMs: number,
  ): Effect.Effect<ObjectChanges<Content>, SourceError>;
}
