/**
 * The only door to the platform's object store. Another platform's API is one more implementation of
 * {@link PlatformStore}; nothing else in the system knows how the store is reached.
 */
import {Data} from 'effect';
import type {Effect} from 'effect';

/** One object as the store holds it. */
export interface StoredObject {
  readonly key: string;
  readonly value: Uint8Array;
  /** Grows with every write to the store. */
  readonly version: bigint;
}

/** The object was there already, or has another version than the one expected. Nothing was written. */
export class StoreConflictError extends Data.TaggedError('StoreConflictError')<{
  readonly key: string;
}> {
  override get message(): string {
    return `object "${this.key}" was changed by another writer`;
  }
}

/** The store did not take the call. Nothing was written. */
export class StoreUnavailableError extends Data.TaggedError('StoreUnavailableError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `the platform store is unavailable: ${this.detail}`;
  }
}

/** The answer was lost. The write may or may not have taken effect. */
export class StoreAmbiguousError extends Data.TaggedError('StoreAmbiguousError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `the platform store did not confirm the write: ${this.detail}`;
  }
}

/** Errors of a read. */
export type StoreReadError = StoreUnavailableError;

/** Errors of a write. */
export type StoreWriteError = StoreConflictError | StoreUnavailableError | StoreAmbiguousError;

/** The store's largest value in bytes. */
export const maxValueBytes = 1_000_000;

/** Operations that cuminsill needs of a platform's object store. Each counts as one call. */
export interface PlatformStore {
  /** Reads one object; undefined when there is none. */
  get(key: string): Effect.Effect<StoredObject | undefined, StoreReadError>;

  /** Writes an object that must not exist yet; returns its version. */
  create(key: string, value: Uint8Array): Effect.Effect<bigint, StoreWriteError>;

  /** Replaces an object that must still have the expected version; returns the new version. */
  update(
    key: string,
    value: Uint8Array,
    expectedVersion: bigint,
  ): Effect.Effect<bigint, StoreWriteError>;

  /** Removes an object that must still have the expected version. */
  remove(key: string, expectedVersion: bigint): Effect.Effect<void, StoreWriteError>;

  /** Lists objects whose key starts with the prefix and is greater than `afterKey`, ordered by key. */
  list(
    prefix: string,
    afterKey: string,
    limit: number,
  ): Effect.Effect<readonly StoredObject[], StoreReadError>;

  /**
   * Waits until an object under the prefix has a key greater than `afterKey`, and returns such objects
   * ordered by key. Returns an empty list after `waitMs` milliseconds. Counts as one call while it waits.
   */
  watch(
    prefix: string,
    afterKey: string,
    waitMs: number,
  ): Effect.Effect<readonly StoredObject[], StoreReadError>;
}
