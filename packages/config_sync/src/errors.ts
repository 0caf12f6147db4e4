/** Errors of a submitted change. */
import type {Configuration} from '@cuminsill/types';
import {Data} from 'effect';

/** Another change took the version first, or the change was made for an older configuration. Nothing was stored. */
export class ConfigConflictError extends Data.TaggedError('ConfigConflictError')<{
  /** The configuration that is in force now. */
  readonly configuration: Configuration;
}> {
  override get message(): string {
    return `the configuration is at version ${this.configuration.version} now`;
  }
}

/** The store does not answer. Nothing was stored. */
export class ConfigStoreUnavailableError extends Data.TaggedError('ConfigStoreUnavailableError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `the change was not stored: ${this.detail}`;
  }
}

/** The store did not say whether it kept the change. Submitting the same plan again is safe. */
export class ConfigOutcomeUnknownError extends Data.TaggedError('ConfigOutcomeUnknownError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `it is not known whether the change was stored: ${this.detail}`;
  }
}

/** The change does not match its schema, or cannot be applied. Nothing was stored. */
export class ConfigInvalidChangeError extends Data.TaggedError('ConfigInvalidChangeError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `the change is not valid: ${this.detail}`;
  }
}

/** Errors of a submitted change. */
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
