/** What a {@link Membership} is given: its own identity, its transport, its sources of peers and its limits. */
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

/** Sends heartbeats. Seed peers have no known id, so a peer is named by its address. */
export interface HeartbeatTransport {
  /** Sends one heartbeat; the caller limits the time. */
  heartbeat(
    address: SocketAddress,
    request: HeartbeatRequest,
  ): Effect.Effect<HeartbeatReply, HeartbeatError>;
}

/** One instance on the platform's list, which lags. */
export interface ListedInstance {
  readonly instance: Instance;
  readonly leaving: boolean;
}

/** Intervals and limits. */
export interface MembershipSettings {
  readonly heartbeatIntervalMs: number;
  /** Longest wait for one answer. Shorter than the interval, so that a peer has one heartbeat in flight. */
  readonly heartbeatTimeoutMs: number;
  /** Successors monitored on the ring of the own region. */
  readonly ringPeers: number;
  /** Peers in other regions per interval. */
  readonly remotePeers: number;
  /** Missed heartbeats in a row after which a peer is suspected. */
  readonly missesToSuspect: number;
  /** Time from an instance's own suspicion to unreachable. */
  readonly suspicionMs: number;
  /** Time from a suspicion heard of to unreachable, when its origin does not report the result. */
  readonly heardSuspicionMs: number;
  /** Time after which an unreachable instance that is not on the platform's list is forgotten. */
  readonly forgetMs: number;
  /** Interval of attempts to reach seed peers, listed candidates and unreachable members. */
  readonly discoveryIntervalMs: number;
  /** Changed members per message. */
  readonly maxUpdatesPerMessage: number;
  /** Members sent to a sender that is starting. */
  readonly maxMembersToStarting: number;
  readonly maxReportsPerMessage: number;
  readonly maxSuspicionsPerMessage: number;
}

/** Settings of the design page. */
export const defaultMembershipSettings: MembershipSettings = {
  heartbeatIntervalMs: 1_000,
  heartbeatTimeoutMs: 800,
  ringPeers: 4,
  remotePeers: 2,
  missesToSuspect: 3,
  suspicionMs: 3_000,
  heardSuspicionMs: 9_000,
  forgetMs: 3_600_000,
  discoveryIntervalMs: 2_000,
  maxUpdatesPerMessage: 10,
  maxMembersToStarting: 200,
  maxReportsPerMessage: 16,
  maxSuspicionsPerMessage: 16,
};

/** What a membership needs. */
export interface MembershipOptions {
  readonly self: Instance;
  readonly transport: HeartbeatTransport;
  /** Control peer addresses to contact first. */
  readonly seedPeers: readonly SocketAddress[];
  /** The platform's list as last read. It adds candidates and confirms leaving, nothing else. */
  readonly listedInstances: () => readonly ListedInstance[];
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Overrides of {@link defaultMembershipSettings}. */
  readonly settings?: Partial<MembershipSettings>;
}

/** One change of the view, of the target reports or of the suspicions. */
export type MembershipChange =
  | {readonly kind: 'member'; readonly member: Member; readonly previous?: Member}
  | {readonly kind: 'forgotten'; readonly member: Member}
  | {readonly kind: 'target-report'; readonly report: TargetReport}
  | {readonly kind: 'suspicion'; readonly suspicion: PoisonSuspicion};

/** Receives changes. It is called synchronously and must not throw. */
export type MembershipListener = (change: MembershipChange) => void;
