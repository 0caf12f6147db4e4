/** Dependencies and settings of {@link ConfigSync}. */
import type {Logger, Metrics} from '@cuminsill/logger';
import type {PullReply, PullRequest, PushReply, PushRequest} from '@cuminsill/protocol';
import type {PlatformStore} from '@cuminsill/store';
import type {Configuration, ConfigurationChange, Instance, Member} from '@cuminsill/types';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import type {Effect} from 'effect';
import type {ConfigTransportError} from './errors';

/** Calls the control processes of other instances. `ConfigSync` applies its own timeouts to the calls. */
export interface ConfigTransport {
  /** Pushes changes to a peer. */
  push(peer: Instance, request: PushRequest): Effect.Effect<PushReply, ConfigTransportError>;
  /** Asks a peer for everything after a version. */
  pull(peer: Instance, request: PullRequest): Effect.Effect<PullReply, ConfigTransportError>;
}

/** Returns the configuration with one change applied. Throws when the change cannot be applied. */
export type ApplyChange = (
  configuration: Configuration,
  change: ConfigurationChange,
) => Configuration;

/** Intervals, timeouts and limits. */
export interface ConfigSyncSettings {
  /** Control processes per region that watch the log. */
  readonly watchersPerRegion: number;
  /** Maximum time that one watch call waits for changes. */
  readonly watchTimeoutMs: number;
  /** Groups that an instance splits the members into when it pushes along the tree; it pushes to one head each. */
  readonly treeFanOut: number;
  readonly comparisonIntervalMs: number;
  /** Maximum wait for the answer of one peer. */
  readonly peerTimeoutMs: number;
  /** Maximum wait for the store at the start. */
  readonly startTimeoutMs: number;
  /** Number of peers that are asked for their configuration at the start. */
  readonly peersAskedAtStart: number;
  /** Number of peers in other failure domains that must have adopted a change before it counts as accepted. */
  readonly acknowledgingPeers: number;
  /** Maximum wait for the acknowledgements of these peers. */
  readonly acknowledgeTimeoutMs: number;
  readonly changesPerCheckpoint: number;
  readonly checkpointIntervalMs: number;
  /** Recent changes that are kept to answer peers; older ones cost a transfer of the whole configuration. */
  readonly maxHistoryChanges: number;
  readonly maxHistoryBytes: number;
  readonly storeBackoffMinMs: number;
  readonly storeBackoffMaxMs: number;
  /** Time for which an append with an unknown outcome is retried. */
  readonly appendTimeoutMs: number;
}

/** Default settings, as given on the design page. */
export const defaultConfigSyncSettings: ConfigSyncSettings = {
  watchersPerRegion: 2,
  watchTimeoutMs: 30_000,
  treeFanOut: 13,
  comparisonIntervalMs: 2_000,
  peerTimeoutMs: 1_000,
  startTimeoutMs: 5_000,
  peersAskedAtStart: 3,
  acknowledgingPeers: 2,
  acknowledgeTimeoutMs: 3_000,
  changesPerCheckpoint: 200,
  checkpointIntervalMs: 10_000,
  maxHistoryChanges: 512,
  maxHistoryBytes: 2_000_000,
  storeBackoffMinMs: 500,
  storeBackoffMaxMs: 30_000,
  appendTimeoutMs: 10_000,
};

/** Dependencies and settings of a `ConfigSync`. */
export interface ConfigSyncOptions {
  readonly self: Instance;
  readonly store: PlatformStore;
  readonly transport: ConfigTransport;
  /** The current membership view, including this instance. */
  readonly members: () => readonly Member[];
  readonly applyChange: ApplyChange;
  readonly time: TimeSource;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Overrides of {@link defaultConfigSyncSettings}. */
  readonly settings?: Partial<ConfigSyncSettings>;
}

/** Version and replication state of a submitted change. */
export interface SubmitResult {
  readonly version: number;
  /**
   * `accepted`: durable, and adopted by two peers in other failure domains. `stored`: durable, but these peers have
   * not acknowledged it yet.
   */
  readonly state: 'accepted' | 'stored';
}

/** Receives each adopted configuration. It is called synchronously and must not throw. */
export type ConfigListener = (configuration: Configuration) => void;
