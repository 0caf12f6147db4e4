/** Adopts changes and whole configurations from the store and from peers, and notifies listeners. */
import type {PullReply} from '@cuminsill/protocol';
import type {Configuration} from '@cuminsill/types';
import {Deferred, Effect, FiberId} from 'effect';
import type {ConfigListener, ConfigSyncOptions, ConfigSyncSettings} from './options';
import type {DecodedSnapshot, EncodedChange} from './config_state';
import {ConfigState, decodeChange, decodeSnapshot} from './config_state';

/**
 * How a change reached this instance: submitted to it, read from the store, pushed by a peer, found by comparing
 * versions with a peer, or loaded at the start. Decides which peers it is forwarded to.
 */
export type ChangeOrigin = 'submitted' | 'store' | 'pushed' | 'compared' | 'start';

/** Maximum number of changes that are accepted in one received message. */
export const maxChangesPerMessage = 1_024;

/** Validates and adopts configurations and changes. */
export class ConfigAdopter {
  readonly state: ConfigState;
  private readonly listeners = new Set<ConfigListener>();
  private readonly readySignal = Deferred.unsafeMake<void>(FiberId.none);
  private invalid = 0;

  /** @param onChangesApplied Called with the origin after changes were applied. */
  constructor(
    private readonly options: ConfigSyncOptions,
    settings: ConfigSyncSettings,
    private readonly onChangesApplied: (origin: ChangeOrigin) => void,
  ) {
    const limits = {maxChanges: settings.maxHistoryChanges, maxBytes: settings.maxHistoryBytes};
    this.state = new ConfigState(options.applyChange, limits, adopted =>
      this.notifyListeners(adopted),
    );
  }

  /** Number of received messages and changes that were ignored because they were invalid. */
  get invalidParts(): number {
    return this.invalid;
  }

  /** True once the store was read, or a configuration was received from a peer that has one. */
  isReady(): boolean {
    return Effect.runSync(Deferred.isDone(this.readySignal));
  }

  /** Waits until {@link ConfigAdopter.isReady}. */
  awaitReady(): Effect.Effect<void> {
    return Deferred.await(this.readySignal);
  }

  /** Marks this instance as ready; see {@link ConfigAdopter.isReady}. */
  markReady(): void {
    Deferred.unsafeDone(this.readySignal, Effect.void);
  }

  /** Calls the listener with each adopted configuration; returns a function that removes the listener. */
  onAdopt(listener: ConfigListener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  /** Adopts the changes that follow the version in force; skips those that are already in force. */
  adoptChanges(changes: readonly EncodedChange[], origin: ChangeOrigin): void {
    const before = this.state.version();
    try {
      this.state.adoptChanges(changes);
    } catch (error) {
      this.countInvalid('change');
      this.logUnappliedChange(String(error));
    }
    if (this.state.version() === before) return;
    this.markReady();
    this.onChangesApplied(origin);
  }

  /** Adopts a whole configuration if its version is higher than the one in force. */
  adoptSnapshot(snapshot: DecodedSnapshot): void {
    if (this.state.adoptSnapshot(snapshot)) this.markReady();
  }

  /** Decodes, validates and adopts changes that a peer sent. */
  adoptReceivedChanges(changesJson: readonly Uint8Array[], origin: ChangeOrigin): void {
    const changes: EncodedChange[] = [];
    try {
      for (const json of changesJson.slice(0, maxChangesPerMessage)) {
        changes.push(decodeChange(json));
      }
    } catch {
      this.countInvalid('change');
    }
    this.adoptChanges(changes, origin);
  }

  /** Validates and adopts the configuration and changes in a peer's reply to a pull. */
  adoptPullReply(reply: PullReply, origin: ChangeOrigin): void {
    if (reply.configurationJson.byteLength > 0) {
      try {
        this.adoptSnapshot(decodeSnapshot(reply.configurationJson));
      } catch {
        this.countInvalid('configuration');
      }
    }
    this.adoptReceivedChanges(reply.changesJson, origin);
  }

  /** Counts a received message or message part that is ignored because it is invalid. */
  countInvalid(part: string): void {
    this.invalid += 1;
    this.options.metrics.count('config.invalid_parts', 1, {part});
  }

  private notifyListeners(configuration: Configuration): void {
    for (const listener of this.listeners) listener(configuration);
  }

  private logUnappliedChange(reason: string): void {
    const configVersion = this.state.version();
    this.options.logger.stateChange(
      'error',
      {component: 'config_sync', state: 'change-not-applied', configVersion, reason},
      'a configuration change cannot be applied',
    );
  }
}
