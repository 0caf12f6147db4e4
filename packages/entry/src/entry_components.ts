/** Creates the components of an entry process and connects them. */
import {ClaimSession, shardOfKey} from '@cuminsill/claims';
import type {Logger, Metrics} from '@cuminsill/logger';
import {limitTagValues} from '@cuminsill/logger';
import type {PeerServer} from '@cuminsill/protocol';
import {PeerClients, SlotService, startPeerServer} from '@cuminsill/protocol';
import {HedgeBudget, PoisonGuard, RetryBudget, Steering} from '@cuminsill/steering';
import type {InstanceState} from '@cuminsill/types';
import {ownerByRendezvous, seededRandom, systemTime} from '@cuminsill/utils';
import type {EntrySettings} from '@cuminsill/validation';
import type {Scope} from 'effect';
import {Effect, FiberSet} from 'effect';
import {CallerServer} from './caller_server';
import {PeerClaimTransport} from './peer_claim_transport';
import {ControlLink} from './control_link';
import {EntryView} from './entry_view';
import {Forwarder} from './forwarder';
import {RefusalResponder} from './refusal_responder';
import {SlotExchange} from './slot_exchange';
import {TargetConnections} from './target_connections';
import {TargetProber} from './target_prober';

/** Settings of the entry process, with its logger and metrics. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** State of the process; changes once, from serving to leaving. */
export interface Lifecycle {
  state: InstanceState;
}

/** The components that the daemon starts, runs and stops. */
export interface EntryComponents {
  readonly lifecycle: Lifecycle;
  readonly view: EntryView;
  readonly steering: Steering;
  readonly controlLink: ControlLink;
  readonly prober: TargetProber;
  readonly callerServer: CallerServer;
  readonly backgroundFibers: FiberSet.FiberSet;
  readonly metrics: Metrics;
}

/** Components that several others use. */
interface SharedComponents extends EntryDaemonOptions {
  readonly lifecycle: Lifecycle;
  readonly view: EntryView;
  readonly peerClients: PeerClients;
  readonly steering: Steering;
  readonly poisonGuard: PoisonGuard;
  readonly refusalResponder: RefusalResponder;
}

const peerCallTimeoutMs = 3000;
const lateResponseTimeoutMs = 60_000;
/** Limits the number of time series: tenant names come from callers, and each has a time series of its own. */
const maxTenantTags = 200;
const maxReportedRefusals = 64;
const time = systemTime;

/** Creates and connects all components, and listens for peers. Fails when the peer port is in use. */
export function makeEntryComponents(
  options: EntryDaemonOptions,
): Effect.Effect<EntryComponents, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const shared = yield* makeSharedComponents(options);
    const slotExchange = connectSlotExchange(shared);
    const {controlLink, prober} = makeControlLink(shared);
    const claims = yield* makeClaimSession(shared);
    const backgroundFibers = yield* FiberSet.make();
    const forwarder = yield* makeForwarder(shared, claims, backgroundFibers, controlLink);
    const callerServer = new CallerServer({
      ...shared,
      forwarder,
      claims,
      time,
      state: () => shared.lifecycle.state,
    });
    yield* listenForPeers(options.settings, slotExchange);
    return {...shared, controlLink, prober, callerServer, backgroundFibers};
  });
}

function makeSharedComponents(
  options: EntryDaemonOptions,
): Effect.Effect<SharedComponents, never, Scope.Scope> {
  const {settings} = options;
  const {peerKey, peerTls} = settings;
  return Effect.acquireRelease(
    Effect.sync(() => new PeerClients({peerKey, tls: peerTls, timeoutMs: peerCallTimeoutMs})),
    peerClients => Effect.sync(() => peerClients.close()),
  ).pipe(
    Effect.map(peerClients => ({
      ...options,
      metrics: limitTagValues(options.metrics, 'tenant', maxTenantTags),
      peerClients,
      lifecycle: {state: 'serving' as const},
      view: new EntryView(settings.instance.regionId, settings.lookupTtlS),
      steering: new Steering(steeringOptions(settings), time),
      poisonGuard: new PoisonGuard(time),
      refusalResponder: new RefusalResponder(peerKey),
    })),
  );
}

function connectSlotExchange({
  settings,
  view,
  peerClients,
  steering,
  metrics,
}: SharedComponents): SlotExchange {
  const instanceId = settings.instance.id;
  const slotExchange = new SlotExchange({instanceId, view, peerClients, time, steering, metrics});
  steering.connectPeers({
    borrow: (serviceId, regionId, wantedSlots) =>
      slotExchange.borrow(serviceId, regionId, wantedSlots),
    returnLoans: (lenderId, loanIds) => slotExchange.returnLoans(lenderId, loanIds),
  });
  return slotExchange;
}

function makeControlLink(shared: SharedComponents) {
  const {settings, steering, refusalResponder, lifecycle} = shared;
  const prober = new TargetProber({
    steering,
    time,
    intervalMs: settings.probeIntervalS * 1000,
    onHealthChange: () => controlLink.reportSoon(),
  });
  const controlLink: ControlLink = new ControlLink({
    ...shared,
    time,
    state: () => lifecycle.state,
    takeTargetReports: () => prober.takeReports(),
    recentRefusals: () => refusalResponder.recent(maxReportedRefusals),
  });
  return {controlLink, prober};
}

function makeClaimSession({
  peerClients,
  view,
}: SharedComponents): Effect.Effect<ClaimSession, never, Scope.Scope> {
  return ClaimSession.make({
    transport: new PeerClaimTransport(peerClients, view),
    ownerOf: key => ownerOfKey(key, view),
    time,
    random: seededRandom(Math.floor(time.nowMs()) % 0x7fffffff),
  });
}

function makeForwarder(
  shared: SharedComponents,
  claims: ClaimSession,
  backgroundFibers: FiberSet.FiberSet,
  controlLink: ControlLink,
): Effect.Effect<Forwarder, never, Scope.Scope> {
  const {replayBufferBytes, maxBodyBytes, maxAttempts} = shared.settings;
  return Effect.acquireRelease(
    Effect.sync(() => new TargetConnections()),
    connections => Effect.sync(() => connections.close()),
  ).pipe(
    Effect.map(
      connections =>
        new Forwarder({
          ...shared,
          retryBudget: new RetryBudget(),
          hedgeBudget: new HedgeBudget(),
          hedging: shared.settings.hedging,
          latencyToRegionMs: regionId => shared.view.latencyToRegionMs(regionId),
          claims,
          backgroundFibers,
          connections,
          time,
          reportSoon: () => controlLink.reportSoon(),
          replayBufferBytes,
          maxBodyBytes,
          maxAttempts,
          lateResponseTimeoutMs,
        }),
    ),
  );
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
  slotExchange: SlotExchange,
): Effect.Effect<PeerServer, Error, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.tryPromise({
      try: () =>
        startPeerServer({
          address: settings.peers,
          peerKey: settings.peerKey,
          tls: settings.peerTls,
          routes: router => router.service(SlotService, slotExchange.service()),
        }),
      catch: error => error as Error,
    }),
    server => Effect.promise(() => server.close()),
  );
}

/** The control process that owns the claim shard of a key, according to the members that this entry knows. */
function ownerOfKey(key: string, view: EntryView): string | undefined {
  const shard = shardOfKey(key, view.claimShards);
  const owners = view.members
    .filter(member => member.reachability === 'reachable' && member.state === 'serving')
    .map(member => member.instance.id);
  return ownerByRendezvous(`claims/${shard}`, owners);
}
