/** Takes up changes and whole configurations, wherever they come from, and tells listeners. */
import type {PullReply} from '@cuminsill/protocol';
import type {Configuration} from '@cuminsill/types';
import {Deferred, Effect, FiberId} from 'effect';
import type {ConfigListener, ConfigSyncOptions, ConfigSyncSettings} from './options';
import type {DecodedSnapshot, EncodedChange} from './snapshot_state';
import {decodeChange, decodeSnapshot, SnapshotState} from './snapshot_state';

/** How a change reached this instance; decides whom it is passed on to. */
export type ChangeOrigin = 'submitted' | 'store' | 'pushed' | 'compared' | 'start';

/** Changes in one received message at most. */
export const maxReceivedChanges = 1_024;

/** Adopts configurations. */
export class Adoption {
  readonly state: SnapshotState;
  private readonly listeners = new Set<ConfigListener>();
  private readonly ready = Deferred.unsafeMake<void>(FiberId.none);
  private invalid = 0;

  /** @param onChanges Called after changes from the given origin were applied. */
  constructor(
    private readonly options: ConfigSyncOptions,
    settings: ConfigSyncSettings,
    private readonly onChanges: (origin: ChangeOrigin) => void,
  ) {
    const limits = {maxChanges: settings.historyChanges, maxBytes: settings.historyBytes};
    this.state = new SnapshotState(options.applyChange, limits, adopted => this.notify(adopted));
  }

  /** Received messages and changes that were ignored because they were invalid. */
  get invalidParts(): number {
    return this.invalid;
  }

  /** True once a configuration was loaded from the store, or from a peer that has one. */
  isReady(): boolean {
    return Effect.runSync(Deferred.isDone(this.ready));
  }

  /** Waits until {@link Adoption.isReady}. */
  awaitReady(): Effect.Effect<void> {
    return Deferred.await(this.ready);
  }

  /** Notes that the newest configuration was loaded. */
  markReady(): void {
    Deferred.unsafeDone(this.ready, Effect.void);
  }

  /** Calls the listener with each configuration adopted; returns a function that ends this. */
  onAdopt(listener: ConfigListener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  /** Adopts changes that continue the version in force. */
  adopt(changes: readonly EncodedChange[], origin: ChangeOrigin): void {
    const before = this.state.version();
    try {
      this.state.adoptChanges(changes);
    } catch (error) {
      this.countInvalid('change');
      this.logRefused(String(error));
    }
    if (this.state.version() === before) return;
    this.markReady();
    this.onChanges(origin);
  }

  /** Adopts a whole configuration of a higher version. */
  adoptSnapshot(snapshot: DecodedSnapshot): void {
    if (this.state.adoptSnapshot(snapshot)) this.markReady();
  }

  /** Checks and adopts changes that a peer sent. */
  adoptReceived(changesJson: readonly Uint8Array[], origin: ChangeOrigin): void {
    const changes: EncodedChange[] = [];
    try {
      for (const json of changesJson.slice(0, maxReceivedChanges)) {
        changes.push(decodeChange(json));
      }
    } catch {
      this.countInvalid('change');
    }
    this.adopt(changes, origin);
  }

  /** Checks and adopts what a peer answered to a comparison. */
  adoptReply(reply: PullReply, origin: ChangeOrigin): void {
    if (reply.configurationJson.byteLength > 0) {
      try {
        this.adoptSnapshot(decodeSnapshot(reply.configurationJson));
      } catch {
        this.countInvalid('configuration');
      }
    }
    this.adoptReceived(reply.changesJson, origin);
  }

  /** Counts a received message or part that is ignored. */
  countInvalid(part: string): void {
    this.invalid += 1;
    this.options.metrics.count('config.invalid_parts', 1, {part});
  }

  private notify(configuration: Configuration): void {
    for (const listener of this.listeners) listener(configuration);
  }

  private logRefused(reason: string): void {
    const configVersion = this.state.version();
    this.options.logger.stateChange(
      'error',
      {component: 'config_sync', state: 'change-not-applied', configVersion, reason},
      'a configuration change cannot be applied',
    );
  }
}
