/** Errors of submitted changes and of calls to peers. */
import type {Configuration} from '@cuminsill/types';
import {Data} from 'effect';

/** Another change took the version first, or the change follows an older configuration. Nothing was stored. */
export class ConfigConflictError extends Data.TaggedError('ConfigConflictError')<{
  /** The configuration in force. */
  readonly configuration: Configuration;
}> {
  override get message(): string {
    return `the configuration is at version ${this.configuration.version} now`;
  }
}

/** The store is unavailable. Nothing was stored. */
export class ConfigStoreUnavailableError extends Data.TaggedError('ConfigStoreUnavailableError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `the change was not stored: ${this.detail}`;
  }
}

/** It is unknown whether the store kept the change. Submitting the same plan again is safe. */
export class ConfigOutcomeUnknownError extends Data.TaggedError('ConfigOutcomeUnknownError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `it is not known whether the change was stored: ${this.detail}`;
  }
}

/** The change does not match its schema or cannot be applied. Nothing was stored. */
export class ConfigInvalidChangeError extends Data.TaggedError('ConfigInvalidChangeError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `the change is not valid: ${this.detail}`;
  }
}

/** Errors with which `ConfigSync.submit` fails. */
export type SubmitError =
  | ConfigConflictError
  | ConfigStoreUnavailableError
  | ConfigOutcomeUnknownError
  | ConfigInvalidChangeError;

/** A peer did not answer. */
export class ConfigTransportError extends Data.TaggedError('ConfigTransportError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `the peer did not answer: ${this.detail}`;
  }
}
