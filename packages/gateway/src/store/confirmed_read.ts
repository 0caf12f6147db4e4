/** Linearizable reads of a feed, beside its watch. */
import {Effect} from 'effect';
import type {ObjectChanges, ObjectSource, SourceError} from './object_source';
import {changesToList} from './object_source';

/**
 * How a feed reads linearizably: by a list, whose revision is that of the store, or, where lists are long, by the changes after
 * the last revision.
 */
export type ConfirmationMode = 'list' | 'changes';

/** What a linearizable read has shown. */
export interface ConfirmedAnswer<Content> {
  readonly changes: ObjectChanges<Content>;
  /** The revision after which these are the changes. */
  readonly afterRevision: number;
}

/** What a feed has delivered. */
export interface DeliveredState {
  readonly revision: number;
  /** Revisions of the objects by name. */
  readonly objectRevisions: ReadonlyMap<string, number>;
}

type ConfirmedRead = <Content>(
  source: ObjectSource<Content>,
  delivered: () => DeliveredState,
  timeoutMs: number,
) => Effect.Effect<ConfirmedAnswer<Content>, SourceError>;

/**
 * Linearizable reads by mode. A list is compared with what has been delivered when its answer arrives; the changes are those after
 * the revision that had been delivered when the read was sent.
 */
export const confirmedReads: Readonly<Record<ConfirmationMode, ConfirmedRead>> = {
  list: (source, delivered, timeoutMs) =>
    Effect.map(source.confirmedList(timeoutMs), list => {
      const {revision, objectRevisions} = delivered();
      return {changes: changesToList(list, objectRevisions), afterRevision: revision};
    }),
  changes: (source, delivered, timeoutMs) => {
    const {revision} = delivered();
    return Effect.map(source.confirmedChangesAfter(revision, timeoutMs), changes => ({
      changes,
      afterRevision: revision,
    }));
  },
};
