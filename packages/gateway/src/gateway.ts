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
import {GatewayMetrics} from './gateway_metrics';
import type {GatewayParts} from './gateway_parts';
import type {GatewayPorts} from './gateway_ports';
import {CurrentSettings} from './gateway_settings';
import type {GatewayRecord, GatewaySettings} from './gateway_types';
import {answerLookup} from './lookup_answers';
import type {FeedPace, FeedSink, FeedState} from './object_feed';
import {ObjectFeed} from './object_feed';
import type {ObjectSource} from './object_source';
import {PageServer} from './page_server';
import {PathLatency} from './path_latency';
import {PeerExchange} from './peer_exchange';
import type {PeerMessage} from './peer_message';
import type {PeerState} from './peer_table';
import {PeerTable} from './peer_table';
import type {RetryLimit} from './retry_allowance';
import {RetryAllowance} from './retry_allowance';
import {ServiceSplit} from './service_split';
import {ServiceTimings} from './service_timing';
import {countTargets, statusPage} from './status_page';
import {TargetConnections} from './target_connections';
import {TargetDirectory} from './target_directory';
import {TargetProber} from './target_prober';

/** A silent connection to the store is noticed within the wait and the time-out of a call. */
const watchWaitMs = 3_000;
/** Configurations and evacuations change seldom and count at once. */
const rarePace: FeedPace = {waitMs: watchWaitMs, gapMs: 50};
/** Targets change often; several changes are fetched together. */
const targetPace: FeedPace = {waitMs: watchWaitMs, gapMs: 600};
/** Other gateways are told apart by their heartbeats, so their list may lag. */
const gatewayPace: FeedPace = {waitMs: 20_000, gapMs: 500};

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
  private readonly pages: readonly PageServer[];
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
    this.pages = [this.lookupPages(), this.readinessPages(), this.metricsPages()];
    this.feeds = this.makeFeeds();
  }

  /** Starts everything. Fails when an address is taken. */
  start(): Effect.Effect<void, Error> {
    const {listen, region, failureDomain} = this.settings.value;
    const addresses = [listen.lookups, listen.readiness, listen.metrics];
    return Effect.gen(this, function* () {
      yield* attempt(() => this.callers.listen(listen.callers));
      for (const [index, page] of this.pages.entries()) {
        const address = addresses[index];
        if (address !== undefined) yield* attempt(() => page.listen(address));
      }
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
      for (const page of this.pages) page.close();
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

  private makeFeeds(): readonly ObjectFeed<unknown>[] {
    const {configuration, targets, evacuations, peers} = this.parts;
    const targetSink = {
      replace: targets.replace.bind(targets),
      apply: targets.apply.bind(targets),
      regained: (outageMs: number) => targets.storeRegained(outageMs),
    };
    return [
      this.feed(this.ports.configurations, rarePace, sinkOf(configuration)),
      this.feed(this.ports.evacuations, rarePace, sinkOf(evacuations)),
      this.feed(this.ports.targets, targetPace, targetSink),
      this.feed(this.ports.gateways, gatewayPace, sinkOf(peers)),
    ];
  }

  private feed<Content>(
    source: ObjectSource<Content>,
    pace: FeedPace,
    sink: Omit<FeedSink<Content>, 'lost'>,
  ): ObjectFeed<unknown> {
    const {log} = this.parts;
    const logged: FeedSink<Content> = {
      ...sink,
      regained: outageMs => {
        sink.regained(outageMs);
        log.belief('store', {kind: source.kind, connected: true, outageMs: Math.round(outageMs)});
      },
      lost: error =>
        log.belief('store', {kind: source.kind, connected: false, reason: error.message}),
    };
    return new ObjectFeed(source, pace, logged, this.time) as ObjectFeed<unknown>;
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

  private lookupPages(): PageServer {
    const {lookupWire} = this.ports;
    const handler = (query: URLSearchParams) => {
      const serving = this.parts.peers.servingOthers();
      const named = this.isReady() ? [this.ownRecord, ...serving] : serving;
      const answer = answerLookup(
        lookupWire.readQuery(query),
        named,
        this.settings.value.bounds.maxLookupTtlMs,
      );
      const status = answer.addresses.length > 0 ? 200 : 503;
      return {status, contentType: 'application/json', body: lookupWire.writeAnswer(answer)};
    };
    return new PageServer(new Map([[lookupWire.lookupPath, handler]]));
  }

  private readinessPages(): PageServer {
    const handler = () => ({
      status: this.isReady() ? 200 : 503,
      contentType: 'text/plain',
      body: this.isReady() ? 'ready\n' : 'not ready\n',
    });
    return new PageServer(new Map([[this.ports.lookupWire.readinessPath, handler]]));
  }

  private metricsPages(): PageServer {
    const metrics = async () => {
      this.parts.metrics.setTargets(countTargets(this.parts));
      const body = await this.parts.metrics.text();
      return {status: 200, contentType: 'text/plain; version=0.0.4', body};
    };
    const status = () => ({
      status: 200,
      contentType: 'application/json',
      body: statusPage(this.parts, this.feedStates()),
    });
    return new PageServer(
      new Map<string, () => ReturnType<typeof status> | ReturnType<typeof metrics>>([
        ['/metrics', metrics],
        ['/status', status],
      ]),
    );
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

/** A view that takes lists and changes and does not care about outages. */
type View<Content> = Pick<FeedSink<Content>, 'replace' | 'apply'>;

function sinkOf<Content>(view: View<Content>): Omit<FeedSink<Content>, 'lost'> {
  return {
    replace: list => view.replace(list),
    apply: changes => view.apply(changes),
    regained: () => undefined,
  };
}
