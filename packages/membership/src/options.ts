/** Dependencies and settings of {@link Membership}, and the changes that it reports. */
import type {Logger, Metrics} from '@cuminsill/logger';
import type {HeartbeatReply, HeartbeatRequest} from '@cuminsill/protocol';
import type {
  Instance,
  Member,
  PoisonSuspicion,
  SocketAddress,
  TargetReport,
} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {Data} from 'effect';
import type {Effect} from 'effect';

/** A heartbeat was not answered. */
export class HeartbeatError extends Data.TaggedError('HeartbeatError')<{
  readonly detail: string;
}> {
  override get message(): string {
    return `the heartbeat was not answered: ${this.detail}`;
  }
}

/** Sends heartbeats. A peer is identified by its address, because the ids of seed peers are not known. */
export interface HeartbeatTransport {
  /** Sends one heartbeat. `Membership` applies its own timeout to the call. */
  heartbeat(
    address: SocketAddress,
    request: HeartbeatRequest,
  ): Effect.Effect<HeartbeatReply, HeartbeatError>;
}

/** An instance on the platform's instance list, which lags. */
export interface ListedInstance {
  readonly instance: Instance;
  readonly leaving: boolean;
}

/** Intervals, timeouts and limits. */
export interface MembershipSettings {
  readonly heartbeatIntervalMs: number;
  /** Maximum wait for one answer. Shorter than the interval, so that a peer has at most one heartbeat in flight. */
  readonly heartbeatTimeoutMs: number;
  /** Number of successors on the hash ring of the own region that this instance monitors. */
  readonly monitoredRingPeers: number;
  /** Number of peers in other regions that get a heartbeat per interval. */
  readonly remotePeersPerInterval: number;
  /** Consecutive missed heartbeats after which a peer is suspected. */
  readonly missesToSuspect: number;
  /** Time after which a member that this instance itself suspects becomes unreachable. */
  readonly ownSuspicionTimeoutMs: number;
  /** The same for a suspicion heard from peers, if its origin does not report the result. */
  readonly heardSuspicionTimeoutMs: number;
  /** Time after which an unreachable instance is forgotten unless the platform lists it. */
  readonly forgetAfterMs: number;
  /** Interval at which this instance tries to reach seed peers, listed candidates and unreachable members. */
  readonly discoveryIntervalMs: number;
  /** Maximum number of changed members in one message. */
  readonly maxUpdatesPerMessage: number;
  /** Maximum number of further members in a message to a peer that is starting. */
  readonly maxMembersToStarting: number;
  readonly maxReportsPerMessage: number;
  readonly maxSuspicionsPerMessage: number;
}

/** Default settings, as given on the design page. */
export const defaultMembershipSettings: MembershipSettings = {
  heartbeatIntervalMs: 1_000,
  heartbeatTimeoutMs: 800,
  monitoredRingPeers: 4,
  remotePeersPerInterval: 2,
  missesToSuspect: 3,
  ownSuspicionTimeoutMs: 3_000,
  heardSuspicionTimeoutMs: 9_000,
  forgetAfterMs: 3_600_000,
  discoveryIntervalMs: 2_000,
  maxUpdatesPerMessage: 10,
  maxMembersToStarting: 200,
  maxReportsPerMessage: 16,
  maxSuspicionsPerMessage: 16,
};

/** Dependencies and settings of a `Membership`. */
export interface MembershipOptions {
  readonly self: Instance;
  readonly transport: HeartbeatTransport;
  /** Addresses of the control processes to contact first. */
  readonly seedPeers: readonly SocketAddress[];
  /** The platform's instance list as last read. It only adds candidates, confirms leaving and delays forgetting. */
  readonly listedInstances: () => readonly ListedInstance[];
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Overrides of {@link defaultMembershipSettings}. */
  readonly settings?: Partial<MembershipSettings>;
}

/** A change of a member, a target report or a poison suspicion. */
export type MembershipChange =
  | {readonly kind: 'member'; readonly member: Member; readonly previous?: Member}
  | {readonly kind: 'forgotten'; readonly member: Member}
  | {readonly kind: 'target-report'; readonly report: TargetReport}
  | {readonly kind: 'suspicion'; readonly suspicion: PoisonSuspicion};

/** Receives changes. It is called synchronously and must not throw. */
export type MembershipListener = (change: MembershipChange) => void;
