/**
 * The interface to the platform store. The API of another platform is supported by another implementation of
 * {@link PlatformStore}; no other code depends on how the store is reached.
 */
import {Data} from 'effect';
import type {Effect} from 'effect';

/** One object in the store, with its version. */
export interface StoredObject {
  readonly key: string;
  readonly value: Uint8Array;
  /** Grows with every write to the store. */
  readonly version: bigint;
}

/** The object already exists, or its version is not the expected one. Nothing was written. */
export class StoreConflictError extends Data.TaggedError('StoreConflictError')<{
  readonly key: string;
}> {
  override get message(): string {
    return `object "${this.key}" was changed by another writer`;
  }
}

/** The store did not accept the call. Nothing was written. */
export class StoreUnavailableError extends Data.TaggedError('StoreUnavailableError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `the platform store is unavailable: ${this.detail}`;
  }
}

/** The answer to a write was lost, so the write may or may not have taken effect. */
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

/** Maximum size of a value in bytes. */
export const maxValueBytes = 1_000_000;

/** The operations that cuminsill needs from a platform's object store. Each counts as one call of the store. */
export interface PlatformStore {
  /** Reads one object; undefined when it does not exist. */
  get(key: string): Effect.Effect<StoredObject | undefined, StoreReadError>;

  /** Creates an object, which must not exist yet; returns its version. */
  create(key: string, value: Uint8Array): Effect.Effect<bigint, StoreWriteError>;

  /** Replaces an object, which must still have the expected version; returns the new version. */
  update(
    key: string,
    value: Uint8Array,
    expectedVersion: bigint,
  ): Effect.Effect<bigint, StoreWriteError>;

  /** Removes an object, which must still have the expected version. */
  remove(key: string, expectedVersion: bigint): Effect.Effect<void, StoreWriteError>;

  /** Lists up to `limit` objects whose key starts with the prefix and is greater than `afterKey`, ordered by key. */
  list(
    prefix: string,
    afterKey: string,
    limit: number,
  ): Effect.Effect<readonly StoredObject[], StoreReadError>;

  /**
   * Waits until there is an object whose key starts with the prefix and is greater than `afterKey`, and returns all such
   * objects ordered by key; after `waitMs` milliseconds, returns an empty list. The wait counts as one call.
   */
  watch(
    prefix: string,
    afterKey: string,
    waitMs: number,
  ): Effect.Effect<readonly StoredObject[], StoreReadError>;
}
