/**
 * Sends heartbeats to peers and keeps the resulting view of all instances. One fiber manages the monitors, one runs per
 * monitored successor on the region's hash ring, one per concurrent heartbeat to other regions, and one each for
 * discovery, timeout checks and immediate rounds.
 */
import type {HeartbeatReply, HeartbeatRequest} from '@cuminsill/protocol';
import type {
  InstanceState,
  Member,
  PoisonSuspicion,
  SocketAddress,
  TargetReport,
} from '@cuminsill/types';
import {randomBelow} from '@cuminsill/utils';
import type {Clock, Scope} from 'effect';
import {Duration, Effect, Either, Fiber, Queue} from 'effect';
import type {MemberEntry} from './member_table';
import {MemberTable} from './member_table';
import type {ClockReadings} from './heartbeat_handler';
import {HeartbeatHandler} from './heartbeat_handler';
import {Observations} from './observations';
import type {
  MembershipChange,
  MembershipListener,
  MembershipOptions,
  MembershipSettings,
} from './options';
import {defaultMembershipSettings} from './options';
import {PeerSelector} from './peer_selector';
import {PlatformInstanceList} from './platform_instance_list';

/** Interval at which timeouts and the monitored ring successors are checked. */
const checkIntervalMs = 250;

/** Delay beyond the expected time from which this process assumes that it was paused itself. */
const pauseThresholdMs = 1_000;

/** Minimum time between immediate rounds of heartbeats, so that a burst of suspicions causes few rounds. */
const minImmediateRoundIntervalMs = 100;

/** The view of all instances, maintained with heartbeats. */
export class Membership {
  private readonly settings: MembershipSettings;
  private readonly table: MemberTable;
  private readonly observations = new Observations();
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly peerSelector: PeerSelector;
  private readonly platformList: PlatformInstanceList;
  private readonly listeners = new Set<MembershipListener>();
  private readonly monitorFibers = new Map<string, Fiber.RuntimeFiber<void>>();
  private lastAnswerMs: number;
  private lastTimeoutCheckMs: number;

  private constructor(
    private readonly options: MembershipOptions,
    private readonly clock: Clock.Clock,
    private readonly immediateRoundRequests: Queue.Queue<void>,
  ) {
    this.settings = {...defaultMembershipSettings, ...options.settings};
    const notify = (change: MembershipChange) => this.notify(change);
    // The wall clock makes incarnations grow across restarts. If it was set back, this process refutes a peer's record
    // of the previous process with a higher incarnation.
    this.table = new MemberTable(options.self, clock.unsafeCurrentTimeMillis(), notify);
    this.heartbeatHandler = new HeartbeatHandler({
      table: this.table,
      observations: this.observations,
      settings: this.settings,
      random: options.random,
      metrics: options.metrics,
      notify,
      onNewSuspicion: () => this.requestImmediateRound(),
    });
    this.peerSelector = new PeerSelector(
      this.table,
      options.random,
      this.settings.monitoredRingPeers,
    );
    this.platformList = new PlatformInstanceList(options, this.table);
    this.lastAnswerMs = this.now().monotonicMs;
    this.lastTimeoutCheckMs = this.lastAnswerMs;
  }

  /** Starts the fibers, which end with the scope. */
  static start(options: MembershipOptions): Effect.Effect<Membership, never, Scope.Scope> {
    return Effect.gen(function* () {
      const clock = yield* Effect.clock;
      // One queued request covers all requests that arrive before its round starts.
      const roundRequests = yield* Queue.dropping<void>(1);
      const membership = new Membership(options, clock, roundRequests);
      yield* Effect.forkScoped(membership.runRingMonitors());
      for (let slot = 0; slot < membership.settings.remotePeersPerInterval; slot += 1) {
        yield* Effect.forkScoped(membership.runRemoteHeartbeats());
      }
      yield* Effect.forkScoped(membership.runDiscovery());
      yield* Effect.forkScoped(membership.runTimeoutChecks());
      yield* Effect.forkScoped(membership.runImmediateRounds());
      return membership;
    });
  }

  /** All known instances, this instance first. */
  members(): readonly Member[] {
    return this.table.members();
  }

  /** One instance; undefined when it is not known. */
  member(instanceId: string): Member | undefined {
    const self = this.table.self();
    return instanceId === self.instance.id ? self : this.table.get(instanceId)?.member;
  }

  /** The newest report of each target, if it is at most 10 s old. */
  targetReports(): readonly TargetReport[] {
    return this.observations.currentReports();
  }

  /** Poison suspicions that have not ended. */
  suspicions(): readonly PoisonSuspicion[] {
    return this.observations.currentSuspicions();
  }

  /** Milliseconds since a peer last answered, or since the start when none did. */
  contactAgeMs(): number {
    return Math.max(0, this.now().monotonicMs - this.lastAnswerMs);
  }

  /** Number of received messages and message parts that were ignored because a field was invalid. */
  invalidParts(): number {
    return this.heartbeatHandler.invalidParts;
  }

  /** Calls the listener for every change; returns a function that removes the listener. */
  onChange(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  /** Changes the state of this instance. Peers are told immediately when it becomes leaving. */
  setOwnState(state: InstanceState): void {
    if (state === this.table.self().state) return;
    this.table.setOwnState(state);
    if (state === 'leaving') this.requestImmediateRound();
  }

  /** Sets the configuration version that the heartbeats of this instance carry. */
  setOwnConfigVersion(configVersion: number): void {
    this.table.setOwnConfigVersion(configVersion);
  }

  /** Adds target reports of this instance's entry process; the newest observation of a target wins. */
  addTargetReports(reports: readonly TargetReport[]): void {
    const now = this.now();
    for (const report of reports) this.heartbeatHandler.addReport(report, now);
  }

  /** Adds poison suspicions of this instance's entry process and sends them immediately. */
  addSuspicions(suspicions: readonly PoisonSuspicion[]): void {
    const now = this.now();
    for (const suspicion of suspicions) this.heartbeatHandler.addSuspicion(suspicion, now);
  }

  /** Applies a peer's heartbeat and returns the reply. An invalid one is counted and answered without updates. */
  receive(request: HeartbeatRequest): HeartbeatReply {
    const now = this.now();
    const sender = this.heartbeatHandler.applyMessage(request.sender, request, now);
    return this.heartbeatHandler.buildReply(sender, now);
  }

  private runRingMonitors(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen(this, function* () {
      for (;;) {
        const wantedIds = new Set(this.peerSelector.ringSuccessorIds());
        for (const [id, fiber] of this.monitorFibers) {
          if (wantedIds.has(id)) continue;
          this.monitorFibers.delete(id);
          yield* Fiber.interruptFork(fiber);
        }
        for (const id of wantedIds) {
          if (!this.monitorFibers.has(id)) {
            this.monitorFibers.set(id, yield* Effect.forkScoped(this.monitorPeer(id)));
          }
        }
        yield* this.sleep(checkIntervalMs);
      }
    });
  }

  private monitorPeer(instanceId: string): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* this.sleepRandomFraction();
      for (;;) {
        yield* this.padToHeartbeatInterval(this.heartbeatMember(instanceId));
      }
    });
  }

  private runRemoteHeartbeats(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* this.sleepRandomFraction();
      let missedPeerId: string | undefined;
      for (;;) {
        // A peer that missed a heartbeat is retried until it answers or is suspected. Otherwise the loss of a region
        // would go unnoticed, because the same random peer is rarely selected three times in a row.
        const peerId = missedPeerId ?? this.peerSelector.randomRemoteId();
        missedPeerId = undefined;
        if (peerId === undefined) {
          yield* this.sleep(this.settings.heartbeatIntervalMs);
          continue;
        }
        const answered = yield* this.padToHeartbeatInterval(this.heartbeatMember(peerId));
        const isReachable = this.table.get(peerId)?.member.reachability === 'reachable';
        if (!answered && isReachable) missedPeerId = peerId;
      }
    });
  }

  private padToHeartbeatInterval<A>(work: Effect.Effect<A>): Effect.Effect<A> {
    return Effect.gen(this, function* () {
      const startedMs = this.now().monotonicMs;
      const result = yield* work;
      const elapsedMs = this.now().monotonicMs - startedMs;
      yield* this.sleep(Math.max(0, this.settings.heartbeatIntervalMs - elapsedMs));
      return result;
    });
  }

  /** Sends one heartbeat to a member, counts a miss, and returns whether the member answered. */
  private heartbeatMember(instanceId: string): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const entry = this.table.get(instanceId);
      if (entry === undefined) return false;
      const startedMs = this.now().monotonicMs;
      const answered = yield* this.sendHeartbeat(
        entry.member.instance.controlPeerAddress,
        entry.member,
      );
      if (answered) return true;
      const elapsedMs = this.now().monotonicMs - startedMs;
      const wasPaused = elapsedMs > this.settings.heartbeatTimeoutMs + pauseThresholdMs;
      if (!wasPaused) {
        this.table.recordMiss(instanceId, this.settings.missesToSuspect, this.now().monotonicMs);
      }
      return false;
    });
  }

  private sendHeartbeat(address: SocketAddress, peer: Member | undefined): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const request = this.heartbeatHandler.buildRequest(peer, this.now());
      const result = yield* this.options.transport
        .heartbeat(address, request)
        .pipe(Effect.timeout(Duration.millis(this.settings.heartbeatTimeoutMs)), Effect.either);
      if (Either.isLeft(result)) return false;
      const reply = result.right;
      const now = this.now();
      const responder = this.heartbeatHandler.applyMessage(reply.responder, reply, now);
      if (responder === undefined) return false;
      this.lastAnswerMs = now.monotonicMs;
      this.table.recordAnswer(responder.instance.id);
      // A different instance may answer at the address of one that was replaced.
      return peer === undefined || responder.instance.id === peer.instance.id;
    });
  }

  private runDiscovery(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* this.sleepRandomFraction();
      for (;;) {
        const unreachableId = this.peerSelector.randomUnreachableId();
        const entry = unreachableId === undefined ? undefined : this.table.get(unreachableId);
        const candidates = this.platformList.candidateAddresses();
        const candidateAddress = candidates[randomBelow(this.options.random, candidates.length)];
        if (candidateAddress !== undefined) yield* this.sendHeartbeat(candidateAddress, undefined);
        if (entry !== undefined) {
          yield* this.sendHeartbeat(entry.member.instance.controlPeerAddress, entry.member);
        }
        yield* this.sleep(this.settings.discoveryIntervalMs);
      }
    });
  }

  private runTimeoutChecks(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      for (;;) {
        yield* this.sleep(checkIntervalMs);
        const now = this.now();
        const pausedMs = now.monotonicMs - this.lastTimeoutCheckMs - checkIntervalMs;
        this.lastTimeoutCheckMs = now.monotonicMs;
        // While this process was paused, it could not receive refutations.
        if (pausedMs > pauseThresholdMs) this.table.postponeTimeouts(pausedMs);
        this.checkTimeouts(now);
        this.observations.dropExpired(now.wallMs);
      }
    });
  }

  private checkTimeouts(now: ClockReadings): void {
    const listed = this.platformList.leavingById();
    for (const entry of [...this.table.others()]) {
      const {reachability, state, instance} = entry.member;
      if (reachability === 'reachable') continue;
      if (listed.get(instance.id) === true && state !== 'leaving') this.table.markLeaving(entry);
      if (reachability === 'suspect') {
        if (this.hasTimedOut(entry, now)) this.table.declareUnreachable(entry, now.monotonicMs);
      } else if (
        now.monotonicMs - entry.timeoutStartMs >= this.settings.forgetAfterMs &&
        !listed.has(instance.id)
      ) {
        this.table.forget(instance.id);
      }
    }
  }

  private hasTimedOut(entry: MemberEntry, now: ClockReadings): boolean {
    // Only instances that missed the answers themselves decide early. Others might decide before a refutation reaches
    // them, so they wait longer; they decide only in case all monitors of the instance failed together with it.
    const suspicionTimeoutMs =
      entry.suspicionOrigin === 'own-misses'
        ? this.settings.ownSuspicionTimeoutMs
        : this.settings.heardSuspicionTimeoutMs;
    return now.monotonicMs - entry.timeoutStartMs >= suspicionTimeoutMs;
  }

  private runImmediateRounds(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen(this, function* () {
      for (;;) {
        yield* Queue.take(this.immediateRoundRequests);
        const remoteIds = Array.from({length: this.settings.remotePeersPerInterval}, () =>
          this.peerSelector.randomRemoteId(),
        );
        for (const id of new Set([...this.peerSelector.ringSuccessorIds(), ...remoteIds])) {
          const entry = id === undefined ? undefined : this.table.get(id);
          if (entry === undefined) continue;
          const {controlPeerAddress} = entry.member.instance;
          yield* Effect.forkScoped(this.sendHeartbeat(controlPeerAddress, entry.member));
        }
        yield* this.sleep(minImmediateRoundIntervalMs);
      }
    });
  }

  private requestImmediateRound(): void {
    Queue.unsafeOffer(this.immediateRoundRequests, undefined);
  }

  private notify(change: MembershipChange): void {
    if (change.kind === 'member') this.logChange(change.member, change.previous);
    for (const listener of this.listeners) listener(change);
  }

  private logChange(member: Member, previous: Member | undefined): void {
    if (previous !== undefined && previous.reachability === member.reachability) return;
    this.options.metrics.count('membership.changes', 1, {reachability: member.reachability});
    this.options.logger.stateChange(
      member.reachability === 'reachable' ? 'info' : 'warn',
      {
        component: 'membership',
        peerId: member.instance.id,
        state: member.reachability,
        previousState: previous?.reachability ?? 'unknown',
      },
      `instance ${member.instance.id} is ${member.reachability}`,
    );
  }

  private now(): ClockReadings {
    return {
      wallMs: this.clock.unsafeCurrentTimeMillis(),
      monotonicMs: Number(this.clock.unsafeCurrentTimeNanos() / 1_000n) / 1_000,
    };
  }

  private sleepRandomFraction(): Effect.Effect<void> {
    return Effect.suspend(() =>
      this.sleep(this.options.random.next() * this.settings.heartbeatIntervalMs),
    );
  }

  private sleep(durationMs: number): Effect.Effect<void> {
    return Effect.sleep(Duration.millis(Math.floor(durationMs)));
  }
}
