/**
 * One gateway: puts its parts together, starts them and stops them gracefully.
 *
 * Stop, after SIGTERM: at once the gateway is not ready and no look-up names it, and its answers ask callers to close their
 * connections; then new requests are refused, which tells callers to go elsewhere; the process ends when the last request
 * has its answer, and at the latest shortly before it would be killed.
 */
import {PoisonGuard} from '@cuminsill/steering';
import type {TimeSource} from '@cuminsill/utils';
import {systemTime} from '@cuminsill/utils';
import {Effect, Fiber, Schedule} from 'effect';
import {BoundedLogStream} from './bounded_log_stream';
import {CallerServer} from './caller_server';
import {ConfigurationView} from './configuration_view';
import type {LogOutput} from './decision_log';
import {DecisionLog} from './decision_log';
import {EvacuationView} from './evacuation_view';
import {makeFeeds} from './gateway_feeds';
import {GatewayMetrics} from './gateway_metrics';
import type {GatewayPages} from './gateway_pages';
import {makePages} from './gateway_pages';
import type {GatewayParts} from './gateway_parts';
import type {GatewayPorts} from './gateway_ports';
import {CurrentSettings} from './gateway_settings';
import type {GatewayRecord, GatewaySettings} from './gateway_types';
import type {FeedState, ObjectFeed} from './object_feed';
import {PathLatency} from './path_latency';
import {PeerExchange} from './peer_exchange';
import type {PeerMessage} from './peer_message';
import type {PeerState} from './peer_table';
import {PeerTable} from './peer_table';
import type {RetryLimit} from './retry_allowance';
import {RetryAllowance} from './retry_allowance';
import {ServiceSplit} from './service_split';
import {ServiceTimings} from './service_timing';
import {TargetConnections} from './target_connections';
import {TargetDirectory} from './target_directory';
import {TargetProber} from './target_prober';

/** New requests are refused after this part of the grace time, so that long ones can still end. */
const refuseAfterShare = 0.45;
/** The process ends this long before it would be killed, in milliseconds. */
const endBeforeKillMs = 250;
const stopPollMs = 25;
const registerRetryMs = 500;
const flushMs = 100;

/** One running gateway. */
export class Gateway {
  private readonly settings: CurrentSettings;
  private readonly parts: GatewayParts;
  private readonly callers: CallerServer;
  private readonly prober: TargetProber;
  private readonly peers: PeerExchange;
  private readonly pages: GatewayPages;
  private readonly feeds: readonly ObjectFeed<unknown>[];
  private readonly ownRecord: GatewayRecord;
  private fibers: readonly Fiber.RuntimeFiber<unknown, unknown>[] = [];
  private state: PeerState = 'starting';
  private sequence = 0;
  private readonly startedAtMs: number;

  constructor(
    settings: GatewaySettings,
    private readonly ports: GatewayPorts,
    private readonly logOutput: LogOutput = new BoundedLogStream(),
    private readonly time: TimeSource = systemTime,
  ) {
    this.startedAtMs = time.nowMs();
    this.settings = new CurrentSettings(settings);
    this.ownRecord = recordOf(settings);
    this.parts = this.makeParts();
    const {metrics} = this.parts;
    ports.observeCalls((kind, result) => metrics.storeCall(kind, result));
    this.callers = new CallerServer(this.parts);
    this.prober = new TargetProber(this.parts);
    this.peers = this.makePeers();
    this.feeds = makeFeeds(this.parts, ports);
    this.pages = makePages(this.parts, ports.lookupWire, {
      isReady: () => this.isReady(),
      feedStates: () => this.feedStates(),
    });
  }

  /** Starts everything. Fails when an address is taken. */
  start(): Effect.Effect<void, Error> {
    const {listen, region, failureDomain} = this.settings.value;
    return Effect.gen(this, function* () {
      yield* attempt(() => this.callers.listen(listen.callers));
      yield* attempt(() => this.pages.lookups.listen(listen.lookups));
      yield* attempt(() => this.pages.readiness.listen(listen.readiness));
      yield* attempt(() => this.pages.metrics.listen(listen.metrics));
      yield* attempt(() => this.peers.start());
      this.prober.start();
      const feeds = this.feeds.map(feed => feed.run());
      this.fibers = [...feeds, this.register()].map(task => Effect.runFork(task));
      this.parts.log.belief('start', {region, failureDomain});
    });
  }

  /** Stops gracefully; ends when the process may exit. */
  stop(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const startedAtMs = this.time.monotonicMs();
      const graceMs = this.settings.value.bounds.stopGraceMs;
      this.state = 'leaving';
      this.peers.sendNow();
      this.callers.startLeaving();
      const inFlight = this.callers.requestsInFlight;
      this.parts.log.belief('stop', {phase: 'leaving', inFlight, graceMs});
      yield* Effect.forkDaemon(Effect.ignore(this.ports.registry.remove(this.ownRecord.name)));
      yield* Effect.sleep(graceMs * refuseAfterShare);
      this.callers.refuseNewWork();
      const endMs = startedAtMs + graceMs - endBeforeKillMs;
      yield* this.untilIdle(endMs);
      this.parts.log.belief('stop', {phase: 'end', inFlight: this.callers.requestsInFlight});
      yield* Effect.promise(() => this.parts.log.flush(flushMs));
      yield* this.closeAll();
    });
  }

  /** Takes over what may change while running from settings that were read again. */
  reload(settings: GatewaySettings): void {
    const waitingForStart = this.settings.reload(settings);
    this.parts.log.belief('reload', {outcome: 'bounds taken over', waitingForStart});
  }

  /** Notes settings that cannot be used; the former ones stay in force. */
  reloadFailed(reason: string): void {
    this.parts.log.belief('reload', {outcome: 'settings not used', reason});
  }

  private untilIdle(endMs: number): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      while (this.callers.requestsInFlight > 0 && this.time.monotonicMs() < endMs) {
        yield* Effect.sleep(stopPollMs);
      }
    });
  }

  private closeAll(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* Fiber.interruptAll(this.fibers);
      this.prober.close();
      this.peers.close();
      for (const page of Object.values(this.pages)) page.close();
      this.parts.connections.destroy();
    });
  }

  private register(): Effect.Effect<void> {
    const {registry} = this.ports;
    const retried = Effect.retry(
      registry.register(this.ownRecord),
      Schedule.spaced(registerRetryMs),
    );
    return Effect.ignore(retried);
  }

  private makeParts(): GatewayParts {
    const {settings, time} = this;
    const {name, regions, failureDomain} = settings.value;
    const log = new DecisionLog(name, time, this.logOutput);
    const peers = new PeerTable(this.ownRecord, time);
    return {
      settings,
      wire: this.ports.requestWire,
      time,
      configuration: new ConfigurationView(this.ports.configurationName, (event, version) => {
        if (event === 'applied') this.applyLimits();
        log.belief('configuration', {event, version});
      }),
      targets: new TargetDirectory(regions, time, (event, targetId, record) => {
        log.belief('target', {event, targetId, service: record?.service});
      }),
      evacuations: new EvacuationView((failureDomain, evacuated) => {
        log.belief('evacuation', {failureDomain, evacuated});
      }),
      peers,
      split: new ServiceSplit(),
      timings: new ServiceTimings(),
      latency: new PathLatency(failureDomain, regions),
      retries: new RetryAllowance(
        () => retryLimit(settings.value),
        time,
        () => peers.listedCount(),
      ),
      connections: new TargetConnections(),
      poison: new PoisonGuard(time),
      log,
      metrics: new GatewayMetrics(),
      storeAgeMs: () => this.storeAgeMs(),
    };
  }

  private applyLimits(): void {
    const limits = this.parts.configuration.routes?.configuration.limits;
    if (limits !== undefined) {
      this.callers.applyLimits(limits.headerTimeoutMs, limits.idleTimeoutMs);
    }
  }

  private feedStates(): readonly FeedState[] {
    return this.feeds.map(feed => feed.state());
  }

  /** Age of the list of targets, which decides most about a request. */
  private storeAgeMs(): number | undefined {
    const feed = this.feedStates().find(({kind}) => kind === this.ports.targets.kind);
    return feed?.ageMs === undefined ? undefined : Math.round(feed.ageMs);
  }

  private makePeers(): PeerExchange {
    const {parts} = this;
    return new PeerExchange(this.settings.value.listen.peers, {
      heartbeat: () => this.heartbeat(),
      peers: () => parts.peers.others().map(({peerAddress}) => peerAddress),
      received: message => {
        parts.peers.heard(message);
        parts.poison.mergeSuspicions(message.suspicions);
      },
      unreadable: from => parts.log.belief('peer', {event: 'unreadable heartbeat', from}),
    });
  }

  private heartbeat(): PeerMessage {
    if (this.state === 'starting' && this.isReady()) this.state = 'serving';
    this.sequence += 1;
    return {
      name: this.ownRecord.name,
      startedAtMs: this.startedAtMs,
      sequence: this.sequence,
      state: this.state,
      suspicions: this.parts.poison.suspicions(),
    };
  }

  private isReady(): boolean {
    return this.state !== 'leaving' && this.parts.configuration.routes !== undefined;
  }
}

function attempt(run: () => Promise<void>): Effect.Effect<void, Error> {
  return Effect.tryPromise({try: run, catch: error => error as Error});
}

function recordOf(settings: GatewaySettings): GatewayRecord {
  return {
    name: settings.name,
    region: settings.region,
    failureDomain: settings.failureDomain,
    callerAddress: settings.listen.callers,
    peerAddress: settings.listen.peers,
  };
}

function retryLimit({bounds}: GatewaySettings): RetryLimit {
  return {ratio: bounds.retryRatio, windowMs: bounds.retryWindowMs, slack: bounds.retrySlack};
}
