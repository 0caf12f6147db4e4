/** Appends an operator's change to the log at most once, even when answers of the store are lost. */
import {randomUUID} from 'node:crypto';
import type {LogPositionTakenError} from '@cuminsill/store';
import type {ConfigurationChange} from '@cuminsill/types';
import {Effect, Either} from 'effect';
import type {ConfigAdopter} from './config_adopter';
import {backoffMs, sleepMs} from './backoff';
import type {ConfigLog} from './config_log';
import type {SubmitError} from './errors';
import {
  ConfigConflictError,
  ConfigInvalidChangeError,
  ConfigOutcomeUnknownError,
  ConfigStoreUnavailableError,
} from './errors';
import type {ConfigSyncOptions, ConfigSyncSettings} from './options';
import type {EncodedChange} from './config_state';
import {decodeChange, encodeChange} from './config_state';
import type {ConfigLogReader} from './config_log_reader';

/** Validates, stores and adopts submitted changes, one at a time. */
export class ChangeSubmitter {
  private readonly submitLock = Effect.unsafeMakeSemaphore(1);

  constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly configLog: ConfigLog,
    private readonly adopter: ConfigAdopter,
    private readonly logReader: ConfigLogReader,
  ) {}

  /**
   * Stores and adopts a change; returns its version. If a change of the same plan was stored before, returns the
   * version of that change.
   */
  submit(change: ConfigurationChange): Effect.Effect<number, SubmitError> {
    // An interruption must not leave a stored change that this instance has not adopted. All waits are bounded.
    return this.submitLock.withPermits(1)(Effect.uninterruptible(this.submitLocked(change)));
  }

  private submitLocked(change: ConfigurationChange): Effect.Effect<number, SubmitError> {
    return Effect.gen(this, function* () {
      const storedVersion = this.adopter.state.planVersion(change.planDigest);
      if (storedVersion !== undefined) return storedVersion;
      if (change.version !== this.adopter.state.version() + 1) {
        // This instance may be behind, and the change may follow a version that it has not read yet.
        return yield* this.catchUpAndAppend(change);
      }
      return yield* this.append(change);
    });
  }

  private append(change: ConfigurationChange): Effect.Effect<number, SubmitError> {
    return Effect.gen(this, function* () {
      const encoded = yield* this.validateAndEncode(change);
      const body = yield* this.configLog
        .prepareRecord(encoded)
        .pipe(Effect.mapError(error => new ConfigStoreUnavailableError({detail: error.message})));
      yield* this.appendUntilOutcomeKnown(encoded, body);
      this.adopter.adoptChanges([encoded], 'submitted');
      return change.version;
    }).pipe(
      Effect.catchTag('LogPositionTakenError', () =>
        this.logReader.catchUp('store').pipe(
          Effect.mapError(error => new ConfigStoreUnavailableError({detail: error.message})),
          Effect.flatMap(() => this.planVersionOrConflict(change)),
        ),
      ),
    );
  }

  private catchUpAndAppend(change: ConfigurationChange): Effect.Effect<number, SubmitError> {
    return this.logReader.catchUp('store').pipe(
      Effect.mapError(error => new ConfigStoreUnavailableError({detail: error.message})),
      Effect.flatMap(() =>
        change.version === this.adopter.state.version() + 1
          ? this.append(change)
          : this.planVersionOrConflict(change),
      ),
    );
  }

  /** Version of the plan if it was confirmed through another instance; otherwise another change took the version. */
  private planVersionOrConflict(
    change: ConfigurationChange,
  ): Effect.Effect<number, ConfigConflictError> {
    return Effect.suspend(() => {
      const version = this.adopter.state.planVersion(change.planDigest);
      if (version !== undefined) return Effect.succeed(version);
      return new ConfigConflictError({configuration: this.adopter.state.current()});
    });
  }

  private validateAndEncode(
    change: ConfigurationChange,
  ): Effect.Effect<EncodedChange, ConfigInvalidChangeError> {
    return Effect.try({
      try: () => {
        const encoded = decodeChange(encodeChange(change).json);
        this.options.applyChange(this.adopter.state.current(), change);
        return encoded;
      },
      catch: error => new ConfigInvalidChangeError({detail: String(error)}),
    });
  }

  private appendUntilOutcomeKnown(
    encoded: EncodedChange,
    body: Uint8Array,
  ): Effect.Effect<
    void,
    LogPositionTakenError | ConfigStoreUnavailableError | ConfigOutcomeUnknownError
  > {
    return Effect.gen(this, function* () {
      const nonce = randomUUID();
      const appendDeadlineMs = this.options.time.monotonicMs() + this.settings.appendTimeoutMs;
      const {storeBackoffMinMs: minMs, storeBackoffMaxMs: maxMs} = this.settings;
      let mayBeStored = false;
      for (let attempt = 0; ; attempt += 1) {
        const result = yield* Effect.either(
          this.configLog.append(encoded.change.version, body, nonce),
        );
        if (Either.isRight(result)) return;
        const error = result.left;
        if (error._tag === 'LogPositionTakenError') return yield* error;
        if (error._tag === 'StoreAmbiguousError') mayBeStored = true;
        if (!mayBeStored) return yield* new ConfigStoreUnavailableError({detail: error.message});
        const waitMs = backoffMs(attempt, {minMs, maxMs}, this.options.random);
        if (this.options.time.monotonicMs() + waitMs > appendDeadlineMs) {
          return yield* new ConfigOutcomeUnknownError({detail: error.message});
        }
        yield* sleepMs(waitMs);
      }
    });
  }
}
