/**
 * The entry daemon: puts its parts together, runs them, and stops gracefully. A stop takes the instance out of look-up answers,
 * serves on while callers still hold old answers, and ends when the last request has been answered.
 */
import {ClaimSession, shardOfKey} from '@cuminsill/claims';
import type {Logger, Metrics} from '@cuminsill/logger';
import type {PeerServer} from '@cuminsill/protocol';
import {PeerClients, SlotService, startPeerServer} from '@cuminsill/protocol';
import {PoisonGuard, RetryBudget, Steering} from '@cuminsill/steering';
import type {InstanceState} from '@cuminsill/types';
import {ownerByRendezvous, seededRandom, systemTime} from '@cuminsill/utils';
import type {EntrySettings} from '@cuminsill/validation';
import type {Scope} from 'effect';
import {Duration, Effect, FiberSet} from 'effect';
import {CallerServer} from './caller_server';
import {ClaimLinks} from './claim_links';
import {ControlLink} from './control_link';
import {EntryView} from './entry_view';
import {Forwarder} from './forwarder';
import {Refusals} from './refusals';
import {SlotExchange} from './slot_exchange';
import {TargetConnections} from './target_connections';
import {TargetProber} from './target_prober';

/** A running entry daemon. */
export interface EntryDaemon {
  /** Stops gracefully; ends when no request is in flight. */
  readonly stop: Effect.Effect<void>;
}

/** What the daemon gets from outside. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const tickIntervalMs = 50;
const peerCallTimeoutMs = 3000;
const lateWaitMs = 60_000;
/** Longest wait at a stop for reports of outcomes that are still on their way. */
const reportDrainMs = 5000;
const recentRefusalsReported = 64;

/** Starts the daemon. Fails when a port is taken or a TLS file cannot be read. */
export function startEntry(
  options: EntryDaemonOptions,
): Effect.Effect<EntryDaemon, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const parts = yield* makeParts(options);
    yield* Effect.tryPromise({
      try: () => parts.callerServer.listen(),
      catch: error => error as Error,
    });
    yield* Effect.forkScoped(parts.controlLink.receive());
    yield* Effect.forkScoped(parts.controlLink.report());
    yield* Effect.forkScoped(parts.prober.run());
    yield* Effect.forkScoped(tick(parts));
    return {stop: stop(options, parts)};
  });
}

type Parts = Effect.Effect.Success<ReturnType<typeof makeParts>>;

interface Lifecycle {
  state: InstanceState;
}

function makeParts({settings, logger, metrics}: EntryDaemonOptions) {
  return Effect.gen(function* () {
    const lifecycle: Lifecycle = {state: 'serving'};
    const instanceId = settings.instance.id;
    const time = systemTime;
    const view = new EntryView(settings.lookupTtlS);
    const clients = yield* Effect.acquireRelease(
      Effect.sync(
        () =>
          new PeerClients({
            peerKey: settings.peerKey,
            tls: settings.peerTls,
            timeoutMs: peerCallTimeoutMs,
          }),
      ),
      links => Effect.sync(() => links.close()),
    );
    const connections = yield* Effect.acquireRelease(
      Effect.sync(() => new TargetConnections()),
      held => Effect.sync(() => held.close()),
    );
    const background = yield* FiberSet.make();
    const steering = new Steering(steeringOptions(settings), time);
    const exchange = new SlotExchange({instanceId, view, clients, time, steering: () => steering});
    steering.connectPeers({
      borrow: (serviceId, regionId, wanted) => exchange.borrow(serviceId, regionId, wanted),
      returnLoans: (lenderId, loanIds) => exchange.giveBack(lenderId, loanIds),
    });
    const poison = new PoisonGuard(time);
    const claims = yield* ClaimSession.make({
      instanceId,
      transport: new ClaimLinks(clients, view),
      ownerOf: key => ownerOfKey(key, view),
      time,
      random: seededRandom(Math.floor(time.nowMs())),
    });
    const refusals = new Refusals(settings.peerKey);
    const prober = new TargetProber({
      steering,
      time,
      intervalMs: settings.probeIntervalS * 1000,
      onChange: () => controlLink.reportSoon(),
    });
    const controlLink = new ControlLink({
      settings,
      clients,
      view,
      steering,
      poison,
      logger,
      time,
      state: () => lifecycle.state,
      takeTargetReports: () => prober.takeReports(),
      recentRefusals: () => refusals.recent(recentRefusalsReported),
    });
    const forwarder = new Forwarder({
      steering,
      poison,
      retryBudget: new RetryBudget(),
      claims,
      background,
      connections,
      metrics,
      time,
      spreadNow: () => controlLink.reportSoon(),
      replayBufferBytes: settings.replayBufferBytes,
      maxBodyBytes: settings.maxBodyBytes,
      maxAttempts: settings.maxAttempts,
      lateWaitMs,
    });
    const callerServer = new CallerServer({
      settings,
      view,
      forwarder,
      refusals,
      claims,
      metrics,
      time,
      state: () => lifecycle.state,
    });
    const peerServer = yield* listenForPeers(settings, exchange);
    return {
      lifecycle,
      view,
      steering,
      controlLink,
      prober,
      callerServer,
      peerServer,
      background,
      connections,
      metrics,
    };
  });
}

function steeringOptions(settings: EntrySettings) {
  return {
    instanceId: settings.instance.id,
    regionId: settings.instance.regionId,
    freezeAfterMs: settings.freezeAfterS * 1000,
    slowStartStepMs: settings.slowStartStepS * 1000,
    queuePerSlot: settings.queuePerSlot,
    reportMaxAgeMs: settings.reportMaxAgeS * 1000,
    seed: Math.floor(systemTime.nowMs()) % 0x7fffffff,
  };
}

function listenForPeers(
  settings: EntrySettings,
  exchange: SlotExchange,
): Effect.Effect<PeerServer, Error, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.tryPromise({
      try: () =>
        startPeerServer({
          address: settings.peers,
          peerKey: settings.peerKey,
          tls: settings.peerTls,
          routes: router => router.service(SlotService, exchange.service()),
        }),
      catch: error => error as Error,
    }),
    server => Effect.promise(() => server.close()),
  );
}

/** The control process that owns the claim shard of a key, in this entry's view of the members. */
function ownerOfKey(key: string, view: EntryView): string | undefined {
  const shard = shardOfKey(key, view.claimShards);
  const owners = view.members
    .filter(member => member.reachability === 'reachable' && member.state === 'serving')
    .map(member => member.instance.id);
  return ownerByRendezvous(`claims/${shard}`, owners);
}

function tick(parts: Parts): Effect.Effect<never> {
  return Effect.sync(() => {
    parts.steering.updateContactAge(parts.controlLink.currentContactAgeMs());
    parts.steering.tick();
    for (const load of parts.steering.loads()) {
      const tags = {service: load.serviceId, region: load.targetRegionId};
      parts.metrics.gauge('slots.in_flight', load.inFlight, tags);
      parts.metrics.gauge('queue.waiting', load.queued, tags);
    }
  }).pipe(Effect.zipRight(Effect.sleep(Duration.millis(tickIntervalMs))), Effect.forever);
}

function stop(options: EntryDaemonOptions, parts: Parts): Effect.Effect<void> {
  const {settings, logger} = options;
  const logState = (state: string, message: string) =>
    Effect.sync(() => logger.stateChange('info', {component: 'entry', state}, message));
  return Effect.gen(function* () {
    parts.lifecycle.state = 'leaving';
    yield* logState('leaving', 'stopping; look-up answers no longer name this instance');
    yield* parts.controlLink.sendReport();
    yield* Effect.sleep(Duration.seconds(settings.lookupTtlS + settings.stopMarginS));
    yield* logState('closing', 'no longer listening; waiting for requests in flight');
    yield* Effect.promise(() => parts.callerServer.close());
    yield* FiberSet.awaitEmpty(parts.background).pipe(
      Effect.timeoutOption(Duration.millis(reportDrainMs)),
    );
    parts.prober.close();
    yield* logState('stopped', 'stopped');
  });
}
