/**
 * One gateway: creates its parts, starts them and stops them gracefully.
 *
 * Graceful stop after SIGTERM: the gateway reports not ready and leaves the look-up answers at once, and its answers
 * ask callers to close their connections. Later it refuses new requests, so that callers use another gateway. The
 * process exits when the last request is answered, and at the latest shortly before it would be killed.
 */
import * as net from 'node:net';
import {PoisonGuard} from '@cuminsill/steering';
import type {TimeSource} from '@cuminsill/utils';
import {systemTime} from '@cuminsill/utils';
import {Effect, Fiber} from 'effect';
import {ServiceAdmissions} from './admission';
import {BoundedLogStream} from './logs/bounded_log_stream';
import {buildVersion} from './logs/build_version';
import {CallerServer} from './requests/caller_server';
import {coldSenderTiming} from './targets/cold_target_limiter';
import {ConnectionHistory} from './targets/connection_history';
import {ConfigurationView} from './store/configuration_view';
import type {LogOutput} from './logs/decision_log';
import {DecisionLog} from './logs/decision_log';
import {Defects} from './logs/defects';
import type {Dial} from './targets/dial';
import {EvacuationView} from './targets/evacuation_view';
import type {RunningStoreFreshness} from './freshness';
import {makeStoreFreshness} from './freshness';
import {makeFeeds} from './store/gateway_feeds';
import {GatewayMetrics} from './logs/gateway_metrics';
import type {GatewayPages} from './pages/gateway_pages';
import {makePages} from './pages/gateway_pages';
import type {GatewayParts} from './gateway_parts';
import type {GatewayPorts} from './gateway_ports';
import {gatewayRecordOf} from './gateway_record';
import {CurrentSettings} from './gateway_settings';
import type {GatewayRecord, GatewaySettings} from './gateway_types';
import {CoordinationChannel} from './peers/coordination_channel';
import type {RunningKeyLease} from './key_lease';
import {makeKeyLease} from './key_lease';
import type {Quotas} from './quota';
import {SharedQuotas, unlimitedQuotas} from './quota';
import {HeartbeatReceiver} from './peers/heartbeat_receiver';
import {BodyMemory, bodyRoomOf} from './memory/body_memory';
import {MembershipLog} from './peers/membership_log';
import type {FeedState} from './store/feed_progress';
import type {ObjectFeed} from './store/object_feed';
import {RegionalShares} from './regional_shares';
import {RoundTripTimes} from './targets/round_trip_times';
import {PeerExchange} from './peers/peer_exchange';
import {chooseReceivers} from './peers/peer_gossip';
import type {PeerMessage} from './peers/peer_message';
import type {PeerState} from './peers/peer_table';
import {PeerTable} from './peers/peer_table';
import {PendingLosses} from './poison/pending_losses';
import {PoisonTracker} from './poison/poison_tracker';
import {RelayPeers} from './forwarding/relay_peers';
import type {RetryLimit} from './forwarding/retry_budget';
import {RetryBudget} from './forwarding/retry_budget';
import {SenderFleet} from './peers/sender_fleet';
import {SelfRegistration} from './peers/self_registration';
import {ServiceSelector} from './requests/service_selector';
import {ServiceTimeEstimators} from './targets/service_time_estimator';
import {SuspectTargets} from './targets/suspect_targets';
import {TargetConnections} from './targets/target_connections';
import {TargetDirectory} from './targets/target_directory';
import type {PathState} from './targets/target_paths';
import {TargetPaths} from './targets/target_paths';
import {TargetProber} from './targets/target_prober';

/** New requests are refused after this fraction of the grace time, so that long requests can still end. */
const refuseAfterFraction = 0.45;
/** The process exits this long before it would be killed. */
const exitMarginMs = 250;
/** Answers are ready this long before the process exits, so that they reach their callers. */
const answerMarginMs = 150;
const idlePollIntervalMs = 25;
const logFlushTimeoutMs = 100;

/** One running gateway. */
export class Gateway {
  private readonly settings: CurrentSettings;
  private readonly parts: GatewayParts;
  private readonly callerServer: CallerServer;
  private readonly targetProber: TargetProber;
  private readonly peerExchange: PeerExchange;
  private readonly membershipLog: MembershipLog;
  private readonly pages: GatewayPages;
  private readonly feeds: readonly ObjectFeed<unknown>[];
  private readonly ownRecord: GatewayRecord;
  private readonly registration: SelfRegistration;
  private readonly keyLease: RunningKeyLease;
  private readonly freshness: RunningStoreFreshness;
  private fibers: readonly Fiber.RuntimeFiber<unknown, unknown>[] = [];
  private peerState: PeerState = 'starting';
  private heartbeatSequence = 0;
  private readonly startedAtMs: number;

  constructor(
    settings: GatewaySettings,
    private readonly ports: GatewayPorts,
    private readonly logOutput: LogOutput = new BoundedLogStream(),
    private readonly time: TimeSource = systemTime,
    private readonly dial: Dial = net.connect,
  ) {
    this.startedAtMs = time.nowMs();
    this.settings = new CurrentSettings(settings);
    this.ownRecord = gatewayRecordOf(settings);
    this.keyLease = makeKeyLease(
      time,
      () => this.parts,
      () => this.feeds.find(feed => feed.state().kind === ports.configurations.kind),
    );
    this.parts = this.makeParts();
    const {metrics} = this.parts;
    ports.observeCalls((kind, result) => metrics.storeCallEnded(kind, result));
    ports.observeEras((formerEra, era) => {
      this.parts.log.event('store', {event: 'came back from an older copy', formerEra, era});
      this.keyLease.startEra(era);
      this.resyncFeeds();
    });
    this.parts.paths.onChange((state, formerState) => this.onPathsChanged(state, formerState));
    this.callerServer = new CallerServer(this.parts);
    this.targetProber = new TargetProber(this.parts);
    this.peerExchange = this.makePeerExchange();
    this.membershipLog = new MembershipLog(this.parts.peers, this.parts.log);
    this.registration = new SelfRegistration(ports.registry, this.ownRecord, this.parts.log);
    const feeds = makeFeeds(this.parts, ports, isListed => this.registration.onList(isListed));
    this.feeds = feeds.all;
    this.freshness = makeStoreFreshness(this.parts, this.ownRecord, feeds, this.startedAtMs);
    this.pages = makePages(this.parts, ports.lookupWire, {
      isReady: () => this.isReady(),
      feedStates: () => this.feedStates(),
      freshnessAgeMs: () => this.freshness.ageMs(),
    });
  }

  /** Starts all servers and feeds. Fails when an address is in use. */
  start(): Effect.Effect<void, Error> {
    const {listen, region, failureDomain} = this.settings.value;
    return Effect.gen(this, function* () {
      yield* toEffect(() => this.callerServer.listen(listen.callers, listen.peers));
      yield* toEffect(() => this.pages.lookups.listen(listen.lookups));
      yield* toEffect(() => this.pages.readiness.listen(listen.readiness));
      yield* toEffect(() => this.pages.metrics.listen(listen.metrics));
      yield* toEffect(() => this.peerExchange.start());
      this.targetProber.start();
      this.parts.quotas.start();
      this.fibers = this.feeds.map(feed => Effect.runFork(feed.run()));
      this.keyLease.start();
      this.freshness.start();
      this.parts.log.event('start', {region, failureDomain, build: buildVersion});
    });
  }

  /** Stops gracefully; completes when the process may exit. */
  stop(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const startedAtMs = this.time.monotonicMs();
      const graceMs = this.settings.value.bounds.stopGraceMs;
      const endMs = startedAtMs + graceMs - exitMarginMs;
      this.peerState = 'leaving';
      this.peerExchange.sendHeartbeat();
      this.callerServer.startLeaving(endMs - answerMarginMs);
      const inFlight = this.callerServer.requestsInFlight;
      this.parts.log.event('stop', {phase: 'leaving', inFlight, graceMs});
      yield* Effect.forkDaemon(this.registration.remove());
      yield* Effect.sleep(graceMs * refuseAfterFraction);
      this.callerServer.refuseNewRequests();
      yield* this.waitUntilIdle(endMs);
      this.parts.log.event('stop', {
        phase: 'end',
        inFlight: this.callerServer.requestsInFlight,
      });
      yield* Effect.promise(() => this.parts.log.flush(logFlushTimeoutMs));
      yield* this.closeAll();
    });
  }

  /** Applies the settings that may change at run time from a settings file that was read again. */
  reload(settings: GatewaySettings): void {
    const waitingForStart = this.settings.reload(settings);
    this.parts.log.event('reload', {outcome: 'bounds taken over', waitingForStart});
  }

  /** Logs that the settings file is invalid; the previous settings stay in force. */
  reloadFailed(reason: string): void {
    this.parts.log.event('reload', {outcome: 'settings not used', reason});
  }

  /** Records an exception that no part of the gateway has caught. The gateway goes on: ending it would end all its requests. */
  recordDefect(error: unknown): void {
    this.parts.defects.record('process', error);
  }

  private waitUntilIdle(endMs: number): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      while (!this.callerServer.isDrained && this.time.monotonicMs() < endMs) {
        yield* Effect.sleep(idlePollIntervalMs);
      }
    });
  }

  private closeAll(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* Fiber.interruptAll(this.fibers);
      this.keyLease.stop();
      this.freshness.stop();
      this.callerServer.close();
      this.targetProber.close();
      this.parts.quotas.close();
      this.peerExchange.close();
      for (const page of Object.values(this.pages)) page.close();
      this.parts.connections.destroy();
      this.parts.relayConnections.destroy();
    });
  }

  private makeParts(): GatewayParts {
    const {settings, time} = this;
    const {name, region, regions, failureDomain, listen} = settings.value;
    const log = new DecisionLog(name, time, this.logOutput);
    const metrics = new GatewayMetrics();
    const peers = new PeerTable(this.ownRecord, time, new Set(regions.values()).size);
    const poison = new PoisonTracker(new PoisonGuard(time), log, metrics);
    const paths = new TargetPaths(time);
    const connectionHistory = new ConnectionHistory(time);
    const pendingLosses = new PendingLosses(poison, connectionHistory, time);
    const coordination = this.makeCoordination(peers, metrics);
    return {
      settings,
      requestWire: this.ports.requestWire,
      time,
      configuration: new ConfigurationView(
        this.ports.configurationName,
        (event, version, problems) => {
          if (event === 'applied') this.applyLimits();
          log.event('configuration', {event, version, problems});
        },
      ),
      targets: new TargetDirectory(regions, time, (event, targetId, record) => {
        log.event('target', {event, targetId, service: record?.service});
        const isNewProcess = event === 'added' || event === 'restarted';
        if (isNewProcess && record !== undefined) pendingLosses.onProcessRegistered(record);
      }),
      evacuations: new EvacuationView((failureDomain, evacuated) => {
        log.event('evacuation', {failureDomain, evacuated});
        if (!evacuated) this.onEvacuationEnded(failureDomain);
      }),
      peers,
      senderFleet: new SenderFleet(peers, time, coldSenderTiming),
      serviceSelector: new ServiceSelector(),
      serviceTimes: new ServiceTimeEstimators(),
      roundTripTimes: new RoundTripTimes(failureDomain, regions),
      regionalShares: new RegionalShares(),
      retryBudget: new RetryBudget(
        () => retryLimit(settings.value),
        time,
        () => peers.fleetSize(settings.value.bounds.retryWindowMs),
      ),
      dial: this.dial,
      connections: new TargetConnections(this.dial),
      paths,
      suspects: new SuspectTargets(),
      relays: new RelayPeers(region, () => peers.servingPeers(), time),
      relayConnections: new TargetConnections(options =>
        // The relay recognizes a gateway by its address.
        net.connect({...options, localAddress: listen.peers.host}),
      ),
      connectionHistory,
      poison,
      pendingLosses,
      coordination,
      keyLease: this.keyLease,
      quotas: this.makeQuotas({peers, coordination, log, metrics}),
      admissions: new ServiceAdmissions(),
      bodyMemory: new BodyMemory(bodyRoomOf(settings.value.memoryLimitMb)),
      log,
      defects: new Defects(log, metrics),
      metrics,
      storeAgeMs: () => this.storeAgeMs(),
    };
  }

  private makeCoordination(peers: PeerTable, metrics: GatewayMetrics): CoordinationChannel {
    return new CoordinationChannel(this.ownRecord.name, {
      send: (data, receiver) => this.peerExchange.sendDatagram(data, receiver),
      findGateway: name => peers.findGateway(name),
      onDropped: reason => metrics.coordinationDropped(reason),
    });
  }

  private makeQuotas(
    shared: Pick<GatewayParts, 'peers' | 'coordination' | 'log' | 'metrics'>,
  ): Quotas {
    if (this.settings.value.bounds.quota === undefined) return unlimitedQuotas;
    return new SharedQuotas({
      ...shared,
      startedAtMs: this.startedAtMs,
      time: this.time,
      configuration: () => this.parts.configuration,
      bounds: () => this.settings.value.bounds.quota,
      isLeaving: () => this.peerState === 'leaving',
    });
  }

  private applyLimits(): void {
    const limits = this.parts.configuration.routes?.configuration.limits;
    if (limits !== undefined) {
      this.callerServer.applyLimits(limits.headerTimeoutMs, limits.idleTimeoutMs);
    }
  }

  private resyncFeeds(): void {
    const nowMs = this.time.monotonicMs();
    for (const feed of this.feeds) feed.resync(nowMs);
  }

  private feedStates(): readonly FeedState[] {
    return this.feeds.map(feed => feed.state());
  }

  /** Targets may become cold when their evacuation ends, which only their records say. They are read later than the end. */
  private onEvacuationEnded(failureDomain: string): void {
    const {configuration, targets} = this.parts;
    const services = configuration.routes?.configuration.services;
    targets.markDomainCold(failureDomain, service => services?.get(service)?.coldStartMs ?? 0);
  }

  private targetFeedState(): FeedState | undefined {
    return this.feedStates().find(({kind}) => kind === this.ports.targets.kind);
  }

  /** Age of the target list, the stored data that requests depend on most. */
  private storeAgeMs(): number | undefined {
    const ageMs = this.targetFeedState()?.ageMs;
    return ageMs === undefined ? undefined : Math.round(ageMs);
  }

  private makePeerExchange(): PeerExchange {
    const {parts} = this;
    const receiver = new HeartbeatReceiver(parts, () => this.peerExchange.spreadAllAgain());
    return new PeerExchange(this.settings.value.listen.peers, {
      nextHeartbeat: () => this.nextHeartbeat(),
      nextReceivers: () =>
        chooseReceivers(parts.peers.otherGateways(), this.ownRecord, Math.random).map(
          ({peerAddress}) => peerAddress,
        ),
      onHeartbeat: message => receiver.receive(message),
      onSuspicionsLeftOut: count => parts.metrics.addSuspicionsLeftOut(count),
      onCoordination: (fields, from) => parts.coordination.receive(fields, from),
      onUnreadable: from => parts.log.event('peer', {event: 'unreadable heartbeat', from}),
    });
  }

  private nextHeartbeat(): PeerMessage {
    this.membershipLog.report();
    if (this.peerState === 'starting' && this.isReady()) this.peerState = 'serving';
    this.heartbeatSequence += 1;
    return {
      name: this.ownRecord.name,
      startedAtMs: this.startedAtMs,
      sequence: this.heartbeatSequence,
      state: this.stateForPeers(),
      relayed: this.parts.peers.takeHeardHeartbeats(),
      suspicions: this.parts.poison.suspicions(),
      answers: this.parts.poison.takeSharedAnswers(),
    };
  }

  private stateForPeers(): PeerState {
    return this.peerState === 'serving' && this.parts.paths.isIsolated
      ? 'isolated'
      : this.peerState;
  }

  private onPathsChanged(state: PathState, formerState: PathState): void {
    const {log, metrics, paths, targets} = this.parts;
    const isIsolated = state === 'isolated';
    if (!isIsolated && formerState !== 'isolated') return;
    log.event('paths', {state});
    metrics.setIsolated(isIsolated);
    if (!isIsolated) targets.restoreReachability(sinceMs => paths.explains(sinceMs));
    this.peerExchange.sendHeartbeat();
  }

  private isReady(): boolean {
    return this.peerState !== 'leaving' && this.parts.configuration.routes !== undefined;
  }
}

function toEffect(run: () => Promise<void>): Effect.Effect<void, Error> {
  return Effect.tryPromise({try: run, catch: error => error as Error});
}

function retryLimit({bounds}: GatewaySettings): RetryLimit {
  return {ratio: bounds.retryRatio, windowMs: bounds.retryWindowMs, slack: bounds.retrySlack};
}
