/** Appends a change of an operator to the log, with exactly one outcome even when answers of the store are lost. */
import {randomUUID} from 'node:crypto';
import type {LogPositionTakenError} from '@cuminsill/store';
import type {ConfigurationChange} from '@cuminsill/types';
import {Effect, Either} from 'effect';
import type {Adoption} from './adoption';
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
import type {EncodedChange} from './snapshot_state';
import {decodeChange, encodeChange} from './snapshot_state';
import type {StoreReader} from './store_reader';

/** Stores changes. */
export class Submission {
  private readonly turn = Effect.unsafeMakeSemaphore(1);

  constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly log: ConfigLog,
    private readonly adoption: Adoption,
    private readonly reader: StoreReader,
  ) {}

  /**
   * Stores and adopts a change; returns its version. A change whose plan was stored before returns the version of
   * that.
   */
  store(change: ConfigurationChange): Effect.Effect<number, SubmitError> {
    // An interrupted caller must not leave a stored change that this instance does not adopt; all waits are bounded.
    return this.turn.withPermits(1)(Effect.uninterruptible(this.storeInTurn(change)));
  }

  private storeInTurn(change: ConfigurationChange): Effect.Effect<number, SubmitError> {
    return Effect.gen(this, function* () {
      const earlier = this.adoption.state.planVersion(change.planDigest);
      if (earlier !== undefined) return earlier;
      if (change.version !== this.adoption.state.version() + 1) {
        // This instance may be behind; the change is then made for a version that it has not seen.
        return yield* this.resolveByStore(change);
      }
      return yield* this.append(change);
    });
  }

  private append(change: ConfigurationChange): Effect.Effect<number, SubmitError> {
    return Effect.gen(this, function* () {
      const encoded = yield* this.check(change);
      const body = yield* this.log
        .prepare(encoded)
        .pipe(Effect.mapError(error => new ConfigStoreUnavailableError({detail: error.message})));
      yield* this.appendUntilClear(encoded, body);
      this.adoption.adopt([encoded], 'submitted');
      return change.version;
    }).pipe(
      Effect.catchTag('LogPositionTakenError', () =>
        this.reader.catchUp('store').pipe(
          Effect.mapError(error => new ConfigStoreUnavailableError({detail: error.message})),
          Effect.flatMap(() => this.resultOfPlan(change)),
        ),
      ),
    );
  }

  private resolveByStore(change: ConfigurationChange): Effect.Effect<number, SubmitError> {
    return this.reader.catchUp('store').pipe(
      Effect.mapError(error => new ConfigStoreUnavailableError({detail: error.message})),
      Effect.flatMap(() =>
        change.version === this.adoption.state.version() + 1
          ? this.append(change)
          : this.resultOfPlan(change),
      ),
    );
  }

  /** The plan may have been confirmed through another instance; otherwise another change has the version. */
  private resultOfPlan(change: ConfigurationChange): Effect.Effect<number, ConfigConflictError> {
    return Effect.suspend(() => {
      const version = this.adoption.state.planVersion(change.planDigest);
      if (version !== undefined) return Effect.succeed(version);
      return new ConfigConflictError({configuration: this.adoption.state.current()});
    });
  }

  private check(
    change: ConfigurationChange,
  ): Effect.Effect<EncodedChange, ConfigInvalidChangeError> {
    return Effect.try({
      try: () => {
        const encoded = decodeChange(encodeChange(change).json);
        this.options.applyChange(this.adoption.state.current(), change);
        return encoded;
      },
      catch: error => new ConfigInvalidChangeError({detail: String(error)}),
    });
  }

  private appendUntilClear(
    encoded: EncodedChange,
    body: Uint8Array,
  ): Effect.Effect<
    void,
    LogPositionTakenError | ConfigStoreUnavailableError | ConfigOutcomeUnknownError
  > {
    return Effect.gen(this, function* () {
      const nonce = randomUUID();
      const endMs = this.options.time.monotonicMs() + this.settings.appendTimeoutMs;
      const {storeBackoffMinMs: minMs, storeBackoffMaxMs: maxMs} = this.settings;
      let mayBeStored = false;
      for (let attempt = 0; ; attempt += 1) {
        const result = yield* Effect.either(this.log.append(encoded.change.version, body, nonce));
        if (Either.isRight(result)) return;
        const error = result.left;
        if (error._tag === 'LogPositionTakenError') return yield* error;
        if (error._tag === 'StoreAmbiguousError') mayBeStored = true;
        if (!mayBeStored) return yield* new ConfigStoreUnavailableError({detail: error.message});
        const waitMs = backoffMs(attempt, {minMs, maxMs}, this.options.random);
        if (this.options.time.monotonicMs() + waitMs > endMs) {
          return yield* new ConfigOutcomeUnknownError({detail: error.message});
        }
        yield* sleepMs(waitMs);
      }
    });
  }
}
