/** The parts of an entry process and how they are connected. */
import {ClaimSession, shardOfKey} from '@cuminsill/claims';
import type {Logger, Metrics} from '@cuminsill/logger';
import {boundTag} from '@cuminsill/logger';
import type {PeerServer} from '@cuminsill/protocol';
import {PeerClients, SlotService, startPeerServer} from '@cuminsill/protocol';
import {HedgeBudget, PoisonGuard, RetryBudget, Steering} from '@cuminsill/steering';
import type {InstanceState} from '@cuminsill/types';
import {ownerByRendezvous, seededRandom, systemTime} from '@cuminsill/utils';
import type {EntrySettings} from '@cuminsill/validation';
import type {Scope} from 'effect';
import {Effect, FiberSet} from 'effect';
import {CallerServer} from './caller_server';
import {ClaimLinks} from './peer_claim_transport';
import {ControlLink} from './control_link';
import {EntryView} from './entry_view';
import {Forwarder} from './forwarder';
import {Refusals} from './refusal_responder';
import {SlotExchange} from './slot_exchange';
import {TargetConnections} from './target_connections';
import {TargetProber} from './target_prober';

/** What the daemon gets from outside. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** State of the process; changes once, from serving to leaving. */
export interface Lifecycle {
  state: InstanceState;
}

/** The parts of a running entry process. */
export interface EntryParts {
  readonly lifecycle: Lifecycle;
  readonly view: EntryView;
  readonly steering: Steering;
  readonly controlLink: ControlLink;
  readonly prober: TargetProber;
  readonly callerServer: CallerServer;
  readonly background: FiberSet.FiberSet;
  readonly metrics: Metrics;
}

/** Shared by all parts. */
interface Basis extends EntryDaemonOptions {
  readonly lifecycle: Lifecycle;
  readonly view: EntryView;
  readonly clients: PeerClients;
  readonly steering: Steering;
  readonly poison: PoisonGuard;
  readonly refusals: Refusals;
}

const peerCallTimeoutMs = 3000;
const lateWaitMs = 60_000;
/** Tenant names come from callers; each is a series at the receiver of the metrics. */
const maxTenantTags = 200;
const recentRefusalsReported = 64;
const time = systemTime;

/** Makes and connects all parts, and listens for peers. Fails when the peer port is taken. */
export function makeEntryParts(
  options: EntryDaemonOptions,
): Effect.Effect<EntryParts, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const basis = yield* makeBasis(options);
    const exchange = connectSlotExchange(basis);
    const {controlLink, prober} = makeControlLink(basis);
    const claims = yield* makeClaimSession(basis);
    const background = yield* FiberSet.make();
    const forwarder = yield* makeForwarder(basis, claims, background, controlLink);
    const callerServer = new CallerServer({
      ...basis,
      forwarder,
      claims,
      time,
      state: () => basis.lifecycle.state,
    });
    yield* listenForPeers(options.settings, exchange);
    return {...basis, controlLink, prober, callerServer, background};
  });
}

function makeBasis(options: EntryDaemonOptions): Effect.Effect<Basis, never, Scope.Scope> {
  const {settings} = options;
  const {peerKey, peerTls} = settings;
  return Effect.acquireRelease(
    Effect.sync(() => new PeerClients({peerKey, tls: peerTls, timeoutMs: peerCallTimeoutMs})),
    clients => Effect.sync(() => clients.close()),
  ).pipe(
    Effect.map(clients => ({
      ...options,
      metrics: boundTag(options.metrics, 'tenant', maxTenantTags),
      clients,
      lifecycle: {state: 'serving' as const},
      view: new EntryView(settings.instance.regionId, settings.lookupTtlS),
      steering: new Steering(steeringOptions(settings), time),
      poison: new PoisonGuard(time),
      refusals: new Refusals(peerKey),
    })),
  );
}

function connectSlotExchange({settings, view, clients, steering, metrics}: Basis): SlotExchange {
  const instanceId = settings.instance.id;
  const exchange = new SlotExchange({instanceId, view, clients, time, steering, metrics});
  steering.connectPeers({
    borrow: (serviceId, regionId, wanted) => exchange.borrow(serviceId, regionId, wanted),
    returnLoans: (lenderId, loanIds) => exchange.giveBack(lenderId, loanIds),
  });
  return exchange;
}

function makeControlLink(basis: Basis) {
  const {settings, steering, refusals, lifecycle} = basis;
  const prober = new TargetProber({
    steering,
    time,
    intervalMs: settings.probeIntervalS * 1000,
    onChange: () => controlLink.reportSoon(),
  });
  const controlLink: ControlLink = new ControlLink({
    ...basis,
    time,
    state: () => lifecycle.state,
    takeTargetReports: () => prober.takeReports(),
    recentRefusals: () => refusals.recent(recentRefusalsReported),
  });
  return {controlLink, prober};
}

function makeClaimSession({clients, view}: Basis): Effect.Effect<ClaimSession, never, Scope.Scope> {
  return ClaimSession.make({
    transport: new ClaimLinks(clients, view),
    ownerOf: key => ownerOfKey(key, view),
    time,
    random: seededRandom(Math.floor(time.nowMs()) % 0x7fffffff),
  });
}

function makeForwarder(
  basis: Basis,
  claims: ClaimSession,
  background: FiberSet.FiberSet,
  controlLink: ControlLink,
): Effect.Effect<Forwarder, never, Scope.Scope> {
  const {replayBufferBytes, maxBodyBytes, maxAttempts} = basis.settings;
  return Effect.acquireRelease(
    Effect.sync(() => new TargetConnections()),
    connections => Effect.sync(() => connections.close()),
  ).pipe(
    Effect.map(
      connections =>
        new Forwarder({
          ...basis,
          retryBudget: new RetryBudget(),
          hedgeBudget: new HedgeBudget(),
          hedging: basis.settings.hedging,
          latencyToMs: regionId => basis.view.latencyToMs(regionId),
          claims,
          background,
          connections,
          time,
          spreadNow: () => controlLink.reportSoon(),
          replayBufferBytes,
          maxBodyBytes,
          maxAttempts,
          lateWaitMs,
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
