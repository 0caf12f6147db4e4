/**
 * Heartbeats to peers and the view that results. One fiber per monitored successor on the region's ring, one per
 * heartbeat to another region, and one each for discovery, for deadlines and for immediate rounds.
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
import type {Now} from './message_exchange';
import {MessageExchange} from './message_exchange';
import {Observations} from './observations';
import type {
  MembershipChange,
  MembershipListener,
  MembershipOptions,
  MembershipSettings,
} from './options';
import {defaultMembershipSettings} from './options';
import {PeerChoice} from './peer_choice';
import {PlatformList} from './platform_list';

/** Interval at which deadlines are checked. */
const sweepIntervalMs = 250;

/** Time beyond the expected one after which this process assumes that it was paused itself. */
const pauseSlackMs = 1_000;

/** Shortest time between immediate rounds, so that a burst of suspicions costs one round. */
const immediateRoundGapMs = 100;

/** The view of the instances, kept up by heartbeats. */
export class Membership {
  private readonly settings: MembershipSettings;
  private readonly table: MemberTable;
  private readonly observations = new Observations();
  private readonly exchange: MessageExchange;
  private readonly peers: PeerChoice;
  private readonly platformList: PlatformList;
  private readonly listeners = new Set<MembershipListener>();
  private readonly monitors = new Map<string, Fiber.RuntimeFiber<void>>();
  private lastAnswerMs: number;
  private sweptAtMs: number;

  private constructor(
    private readonly options: MembershipOptions,
    private readonly clock: Clock.Clock,
    private readonly immediateRounds: Queue.Queue<void>,
  ) {
    this.settings = {...defaultMembershipSettings, ...options.settings};
    const notify = (change: MembershipChange) => this.notify(change);
    // The wall clock makes incarnations grow over restarts; if it was set back, a peer's record of the former
    // process is refuted with a higher one.
    this.table = new MemberTable(options.self, clock.unsafeCurrentTimeMillis(), notify);
    this.exchange = new MessageExchange({
      table: this.table,
      observations: this.observations,
      settings: this.settings,
      random: options.random,
      metrics: options.metrics,
      notify,
      onNewSuspicion: () => this.requestImmediateRound(),
    });
    this.peers = new PeerChoice(this.table, options.random, this.settings.ringPeers);
    this.platformList = new PlatformList(options, this.table);
    this.lastAnswerMs = this.now().monotonicMs;
    this.sweptAtMs = this.lastAnswerMs;
  }

  /** Starts the heartbeats; they end with the scope. */
  static start(options: MembershipOptions): Effect.Effect<Membership, never, Scope.Scope> {
    return Effect.gen(function* () {
      const clock = yield* Effect.clock;
      // One pending round covers all requests that arrive before it starts.
      const rounds = yield* Queue.dropping<void>(1);
      const membership = new Membership(options, clock, rounds);
      yield* Effect.forkScoped(membership.superviseRing());
      for (let slot = 0; slot < membership.settings.remotePeers; slot += 1) {
        yield* Effect.forkScoped(membership.heartbeatRemote());
      }
      yield* Effect.forkScoped(membership.discover());
      yield* Effect.forkScoped(membership.sweep());
      yield* Effect.forkScoped(membership.runImmediateRounds());
      return membership;
    });
  }

  /** All known instances, the own one first. */
  members(): readonly Member[] {
    return this.table.members();
  }

  /** One known instance; undefined when it is not known. */
  member(instanceId: string): Member | undefined {
    const self = this.table.self();
    return instanceId === self.instance.id ? self : this.table.get(instanceId)?.member;
  }

  /** Newest report of each target that is at most 10 s old. */
  targetReports(): readonly TargetReport[] {
    return this.observations.currentReports();
  }

  /** Poison suspicions that have not ended. */
  suspicions(): readonly PoisonSuspicion[] {
    return this.observations.currentSuspicions();
  }

  /** Milliseconds since any peer answered, or since the start when none did. */
  contactAgeMs(): number {
    return Math.max(0, this.now().monotonicMs - this.lastAnswerMs);
  }

  /** Received messages and message parts that were ignored because a field was invalid. */
  invalidParts(): number {
    return this.exchange.invalidParts;
  }

  /** Calls the listener for every change; returns a function that ends this. */
  onChange(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  /** Changes the own state. Peers hear that the instance is leaving at once. */
  setOwnState(state: InstanceState): void {
    if (state === this.table.self().state) return;
    this.table.setOwnState(state);
    if (state === 'leaving') this.requestImmediateRound();
  }

  /** Sets the configuration version that the own heartbeats carry. */
  setOwnConfigVersion(configVersion: number): void {
    this.table.setOwnConfigVersion(configVersion);
  }

  /** Adds target reports of this instance's own entry; newer observations win. */
  addTargetReports(reports: readonly TargetReport[]): void {
    const now = this.now();
    for (const report of reports) this.exchange.addReport(report, now);
  }

  /** Adds suspicions of this instance's own entry and sends them at once. */
  addSuspicions(suspicions: readonly PoisonSuspicion[]): void {
    const now = this.now();
    for (const suspicion of suspicions) this.exchange.addSuspicion(suspicion, now);
  }

  /** Handles a peer's heartbeat. An invalid one is counted and answered without any updates. */
  receive(request: HeartbeatRequest): HeartbeatReply {
    const now = this.now();
    const sender = this.exchange.takeUp(request.sender, request, now);
    return this.exchange.reply(sender, now);
  }

  private superviseRing(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen(this, function* () {
      for (;;) {
        const wanted = new Set(this.peers.ring());
        for (const [id, fiber] of this.monitors) {
          if (wanted.has(id)) continue;
          this.monitors.delete(id);
          yield* Fiber.interruptFork(fiber);
        }
        for (const id of wanted) {
          if (!this.monitors.has(id)) {
            this.monitors.set(id, yield* Effect.forkScoped(this.monitor(id)));
          }
        }
        yield* this.sleep(sweepIntervalMs);
      }
    });
  }

  private monitor(instanceId: string): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* this.sleepRandom();
      for (;;) {
        yield* this.paced(this.heartbeat(instanceId));
      }
    });
  }

  private heartbeatRemote(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* this.sleepRandom();
      let current: string | undefined;
      for (;;) {
        // A peer that missed a heartbeat is kept until it answers or is suspected; otherwise a lost region would
        // not be noticed, because the same random peer is rarely chosen three times in a row.
        const peerId = current ?? this.peers.randomRemote();
        current = undefined;
        if (peerId === undefined) {
          yield* this.sleep(this.settings.heartbeatIntervalMs);
          continue;
        }
        const answered = yield* this.paced(this.heartbeat(peerId));
        const reachable = this.table.get(peerId)?.member.reachability === 'reachable';
        if (!answered && reachable) current = peerId;
      }
    });
  }

  private paced<A>(work: Effect.Effect<A>): Effect.Effect<A> {
    return Effect.gen(this, function* () {
      const startedMs = this.now().monotonicMs;
      const result = yield* work;
      const elapsedMs = this.now().monotonicMs - startedMs;
      yield* this.sleep(Math.max(0, this.settings.heartbeatIntervalMs - elapsedMs));
      return result;
    });
  }

  /** Sends one heartbeat to a member, counts a miss, and returns whether the member answered. */
  private heartbeat(instanceId: string): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const entry = this.table.get(instanceId);
      if (entry === undefined) return false;
      const startedMs = this.now().monotonicMs;
      const answered = yield* this.send(entry.member.instance.controlPeerAddress, entry.member);
      if (answered) return true;
      const elapsedMs = this.now().monotonicMs - startedMs;
      const ownPause = elapsedMs > this.settings.heartbeatTimeoutMs + pauseSlackMs;
      if (!ownPause) {
        this.table.recordMiss(instanceId, this.settings.missesToSuspect, this.now().monotonicMs);
      }
      return false;
    });
  }

  private send(address: SocketAddress, peer: Member | undefined): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const request = this.exchange.request(peer, this.now());
      const result = yield* this.options.transport
        .heartbeat(address, request)
        .pipe(Effect.timeout(Duration.millis(this.settings.heartbeatTimeoutMs)), Effect.either);
      if (Either.isLeft(result)) return false;
      const reply = result.right;
      const now = this.now();
      const responder = this.exchange.takeUp(reply.responder, reply, now);
      if (responder === undefined) return false;
      this.lastAnswerMs = now.monotonicMs;
      this.table.recordAnswer(responder.instance.id);
      // Another instance may have taken over the address of one that was replaced.
      return peer === undefined || responder.instance.id === peer.instance.id;
    });
  }

  private discover(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* this.sleepRandom();
      for (;;) {
        const known = this.peers.randomUnreachable();
        const entry = known === undefined ? undefined : this.table.get(known);
        const candidates = this.platformList.unknownAddresses();
        const chosen = candidates[randomBelow(this.options.random, candidates.length)];
        if (chosen !== undefined) yield* this.send(chosen, undefined);
        if (entry !== undefined) {
          yield* this.send(entry.member.instance.controlPeerAddress, entry.member);
        }
        yield* this.sleep(this.settings.discoveryIntervalMs);
      }
    });
  }

  private sweep(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      for (;;) {
        yield* this.sleep(sweepIntervalMs);
        const now = this.now();
        const pausedMs = now.monotonicMs - this.sweptAtMs - sweepIntervalMs;
        this.sweptAtMs = now.monotonicMs;
        // While this process was paused it could not hear a refutation.
        if (pausedMs > pauseSlackMs) this.table.shiftDeadlines(pausedMs);
        this.checkDeadlines(now);
        this.observations.expire(now.wallMs);
      }
    });
  }

  private checkDeadlines(now: Now): void {
    const listed = this.platformList.leavingById();
    for (const entry of [...this.table.others()]) {
      const {reachability, state, instance} = entry.member;
      if (reachability === 'reachable') continue;
      if (listed.get(instance.id) === true && state !== 'leaving') this.table.confirmLeaving(entry);
      if (reachability === 'suspect') {
        if (this.suspicionEnded(entry, now)) this.table.declareUnreachable(entry, now.monotonicMs);
      } else if (
        now.monotonicMs - entry.sinceMs >= this.settings.forgetMs &&
        !listed.has(instance.id)
      ) {
        this.table.forget(instance.id);
      }
    }
  }

  private suspicionEnded(entry: MemberEntry, now: Now): boolean {
    // Only those who missed the answers themselves decide early. Others would decide before a refutation
    // reaches them; they wait in case that all who monitored the instance failed with it.
    const limitMs =
      entry.suspicionOrigin === 'own-misses'
        ? this.settings.suspicionMs
        : this.settings.heardSuspicionMs;
    return now.monotonicMs - entry.sinceMs >= limitMs;
  }

  private runImmediateRounds(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen(this, function* () {
      for (;;) {
        yield* Queue.take(this.immediateRounds);
        const remote = Array.from({length: this.settings.remotePeers}, () =>
          this.peers.randomRemote(),
        );
        for (const id of new Set([...this.peers.ring(), ...remote])) {
          const entry = id === undefined ? undefined : this.table.get(id);
          if (entry === undefined) continue;
          const {controlPeerAddress} = entry.member.instance;
          yield* Effect.forkScoped(this.send(controlPeerAddress, entry.member));
        }
        yield* this.sleep(immediateRoundGapMs);
      }
    });
  }

  private requestImmediateRound(): void {
    Queue.unsafeOffer(this.immediateRounds, undefined);
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

  private now(): Now {
    return {
      wallMs: this.clock.unsafeCurrentTimeMillis(),
      monotonicMs: Number(this.clock.unsafeCurrentTimeNanos() / 1_000n) / 1_000,
    };
  }

  private sleepRandom(): Effect.Effect<void> {
    return Effect.suspend(() =>
      this.sleep(this.options.random.next() * this.settings.heartbeatIntervalMs),
    );
  }

  private sleep(durationMs: number): Effect.Effect<void> {
    return Effect.sleep(Duration.millis(Math.floor(durationMs)));
  }
}
