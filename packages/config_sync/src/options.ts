/** What a {@link ConfigSync} is given: its identity, the store, its transport and its limits. */
import type {Logger, Metrics} from '@cuminsill/logger';
import type {PullReply, PullRequest, PushReply, PushRequest} from '@cuminsill/protocol';
import type {PlatformStore} from '@cuminsill/store';
import type {Configuration, ConfigurationChange, Instance, Member} from '@cuminsill/types';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import type {Effect} from 'effect';
import type {ConfigTransportError} from './errors';

/** Reaches the control processes of other instances. The caller limits the time. */
export interface ConfigTransport {
  /** Hands changes to a peer. */
  push(peer: Instance, request: PushRequest): Effect.Effect<PushReply, ConfigTransportError>;
  /** Asks a peer for what it has above a version. */
  pull(peer: Instance, request: PullRequest): Effect.Effect<PullReply, ConfigTransportError>;
}

/** Applies one change. Throws when the change cannot be applied. */
export type ApplyChange = (
  configuration: Configuration,
  change: ConfigurationChange,
) => Configuration;

/** Intervals and limits. */
export interface ConfigSyncSettings {
  /** Control processes per region that watch the log. */
  readonly watchersPerRegion: number;
  readonly watchWaitMs: number;
  /** Peers that one instance hands a change to, each with a part of the region's members. */
  readonly fanOut: number;
  readonly compareIntervalMs: number;
  /** Longest wait for a peer. */
  readonly peerTimeoutMs: number;
  /** Longest wait at the start for peers and the store. */
  readonly startTimeoutMs: number;
  /** Peers asked at the start. */
  readonly startPeers: number;
  /** Peers in other failure domains that hold a change before it counts as accepted. */
  readonly acknowledgingPeers: number;
  /** Longest wait for these peers. */
  readonly acknowledgeTimeoutMs: number;
  readonly changesPerCheckpoint: number;
  readonly checkpointIntervalMs: number;
  /** Changes kept for peers that ask. */
  readonly historyChanges: number;
  readonly historyBytes: number;
  readonly storeBackoffMinMs: number;
  readonly storeBackoffMaxMs: number;
  /** Longest time for which an append without a clear answer is tried again. */
  readonly appendTimeoutMs: number;
}

/** Settings of the design page. */
export const defaultConfigSyncSettings: ConfigSyncSettings = {
  watchersPerRegion: 2,
  watchWaitMs: 30_000,
  fanOut: 13,
  compareIntervalMs: 2_000,
  peerTimeoutMs: 1_000,
  startTimeoutMs: 5_000,
  startPeers: 3,
  acknowledgingPeers: 2,
  acknowledgeTimeoutMs: 3_000,
  changesPerCheckpoint: 200,
  checkpointIntervalMs: 10_000,
  historyChanges: 512,
  historyBytes: 2_000_000,
  storeBackoffMinMs: 500,
  storeBackoffMaxMs: 30_000,
  appendTimeoutMs: 10_000,
};

/** What a configuration synchronisation needs. */
export interface ConfigSyncOptions {
  readonly self: Instance;
  readonly store: PlatformStore;
  readonly transport: ConfigTransport;
  /** The membership view, the own instance included. */
  readonly members: () => readonly Member[];
  readonly applyChange: ApplyChange;
  readonly time: TimeSource;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Overrides of {@link defaultConfigSyncSettings}. */
  readonly settings?: Partial<ConfigSyncSettings>;
}

/** How far a submitted change has come. */
export interface SubmitResult {
  readonly version: number;
  /**
   * `accepted`: durable, and held by two peers in other failure domains. `stored`: durable, and not yet known to
   * be held by them.
   */
  readonly state: 'accepted' | 'stored';
}

/** Receives each configuration that is adopted. It is called synchronously and must not throw. */
export type ConfigListener = (configuration: Configuration) => void;
