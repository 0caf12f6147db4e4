/**
 * The control daemon: store access, configuration, membership, claims and the operators' API of one instance. It starts
 * without the store and without peers, and says in its status what it lacks.
 */
import {ShardedClaimAuthority} from '@cuminsill/claims';
import {ConfigSync} from '@cuminsill/config_sync';
import type {Logger, Metrics} from '@cuminsill/logger';
import {Membership} from '@cuminsill/membership';
import {applyChange} from '@cuminsill/planner';
import {PeerClients, startPeerServer} from '@cuminsill/protocol';
import {HttpStore} from '@cuminsill/store';
import type {Instance} from '@cuminsill/types';
import {ownerByRendezvous, seededRandom, systemTime} from '@cuminsill/utils';
import type {ControlSettings} from '@cuminsill/validation';
import type {Scope} from 'effect';
import {Duration, Effect} from 'effect';
import {meteredClaims, reportControlGauges} from './control_metrics';
import {InstanceListClient, isListReader} from './instance_list_client';
import {meteredStore} from './metered_store';
import {operatorRoutes} from './operator_routes';
import type {ControlHealth} from './operator_server';
import {OperatorServer} from './operator_server';
import {OwnEntry} from './own_entry';
import {PeerLinks} from './peer_links';
import {addPeerServices} from './peer_services';
import {SnapshotFeed} from './snapshot_feed';
import {StatusView} from './status_view';

/** What the daemon gets from outside. */
export interface ControlDaemonOptions {
  readonly settings: ControlSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A running control daemon. */
export interface ControlDaemon {
  /** Tells the peers that this instance leaves and stops. */
  readonly stop: Effect.Effect<void>;
}

const peerCallTimeoutMs = 3000;
const stateIntervalMs = 500;
/** The store counts as reachable while it has answered within this time; watches wait up to 30 s. */
const storeReachableMs = 40_000;

/** Starts the daemon. Fails when a port is taken or a TLS file cannot be read. */
export function startControl(
  options: ControlDaemonOptions,
): Effect.Effect<ControlDaemon, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const parts = yield* makeParts(options);
    yield* Effect.forkScoped(parts.instanceList.run());
    yield* Effect.forkScoped(keepStateTrue(parts));
    yield* Effect.forkScoped(reportControlGauges(parts));
    yield* listenForPeers(options.settings, parts);
    const operatorServer = yield* listenForOperators(options.settings, parts);
    return {stop: stop(options, parts, operatorServer)};
  });
}

type Parts = Effect.Effect.Success<ReturnType<typeof makeParts>>;

function makeParts({settings, logger, metrics}: ControlDaemonOptions) {
  return Effect.gen(function* () {
    const time = systemTime;
    const self = instanceOf(settings);
    const random = seededRandom(Math.floor(time.nowMs()) % 0x7fffffff);
    const clients = yield* openPeerClients(settings);
    const links = new PeerLinks(clients);
    const store = meteredStore(yield* openStore(settings), metrics, time);
    const instanceList = new InstanceListClient(
      settings.instanceList,
      settings.instanceListIntervalS,
      () => isListReader(self, membership.members()),
    );
    const membership: Membership = yield* Membership.start({
      self,
      transport: links,
      seedPeers: settings.seeds,
      listedInstances: () => instanceList.current(),
      random,
      logger,
      metrics,
      settings: {heartbeatIntervalMs: settings.heartbeatIntervalS * 1000},
    });
    const configSync = yield* ConfigSync.start({
      self,
      store,
      transport: links,
      members: () => membership.members(),
      applyChange,
      time,
      random,
      logger,
      metrics,
    });
    configSync.onAdopt(configuration => membership.setOwnConfigVersion(configuration.version));
    const shards = yield* ShardedClaimAuthority.make({
      instanceId: self.id,
      store,
      time,
      random,
      ownerOf: shard => ownerByRendezvous(`claims/${shard}`, claimOwners(membership)),
      shardCount: settings.claimShards,
      logger,
    });
    const storeAgeMs = () => configSync.storeContactAgeMs() ?? Number.POSITIVE_INFINITY;
    const storeReachable = () => storeAgeMs() < storeReachableMs;
    const contactAgeMs = () => Math.min(membership.contactAgeMs(), storeAgeMs());
    const feed = new SnapshotFeed({
      membership,
      configSync,
      claimShards: settings.claimShards,
      contactAgeMs,
    });
    const ownEntry = new OwnEntry(membership, time);
    const statusView = new StatusView({
      instanceId: self.id,
      membership,
      configSync,
      links,
      time,
      storeReachable,
    });
    return {
      time,
      membership,
      configSync,
      claims: meteredClaims(shards, metrics),
      claimCounts: () => shards.counts(),
      metrics,
      feed,
      ownEntry,
      statusView,
      instanceList,
      storeReachable,
    };
  });
}

function instanceOf(settings: ControlSettings): Instance {
  return {
    ...settings.instance,
    callerAddress: settings.callers,
    entryPeerAddress: settings.entryPeers,
    controlPeerAddress: settings.peers,
  };
}

function openPeerClients(
  settings: ControlSettings,
): Effect.Effect<PeerClients, never, Scope.Scope> {
  const {peerKey, peerTls} = settings;
  return Effect.acquireRelease(
    Effect.sync(() => new PeerClients({peerKey, tls: peerTls, timeoutMs: peerCallTimeoutMs})),
    clients => Effect.sync(() => clients.close()),
  );
}

function openStore(settings: ControlSettings): Effect.Effect<HttpStore, never, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.sync(() => new HttpStore({...settings.store, timeoutMs: settings.storeTimeoutMs})),
    store => Effect.sync(() => store.close()),
  );
}

/** Entries choose owners by the same rule; see `ownerOfKey` in the entry package. */
function claimOwners(membership: Membership): readonly string[] {
  return membership
    .members()
    .filter(member => member.reachability === 'reachable' && member.state === 'serving')
    .map(member => member.instance.id);
}

function keepStateTrue(parts: Parts): Effect.Effect<never> {
  return Effect.sync(() => parts.ownEntry.updateState()).pipe(
    Effect.zipRight(Effect.sleep(Duration.millis(stateIntervalMs))),
    Effect.forever,
  );
}

function listenForPeers(
  settings: ControlSettings,
  parts: Parts,
): Effect.Effect<void, Error, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.tryPromise({
      try: () =>
        startPeerServer({
          address: settings.peers,
          peerKey: settings.peerKey,
          tls: settings.peerTls,
          routes: router => addPeerServices(router, parts),
        }),
      catch: error => error as Error,
    }),
    server => Effect.promise(() => server.close()),
  ).pipe(Effect.asVoid);
}

function listenForOperators(
  settings: ControlSettings,
  parts: Parts,
): Effect.Effect<OperatorServer, Error> {
  const routes = operatorRoutes({...parts, signingKey: settings.peerKey});
  return Effect.tryPromise({
    try: async () => {
      const server = new OperatorServer(settings, routes, () => healthOf(parts));
      await server.listen();
      return server;
    },
    catch: error => error as Error,
  });
}

function healthOf(parts: Parts): ControlHealth {
  const configVersion = parts.configSync.current().version;
  const leaving = parts.ownEntry.isLeaving();
  const state = leaving ? 'leaving' : configVersion > 0 ? 'serving' : 'starting';
  const [, ...others] = parts.membership.members();
  return {
    ready: state === 'serving',
    state,
    configVersion,
    storeReachable: parts.storeReachable(),
    reachablePeers: others.filter(member => member.reachability === 'reachable').length,
  };
}

function stop(
  {settings, logger}: ControlDaemonOptions,
  parts: Parts,
  operatorServer: OperatorServer,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    parts.ownEntry.leave();
    logger.stateChange('info', {component: 'control', state: 'leaving'}, 'stopping');
    yield* Effect.promise(() => operatorServer.close());
    yield* Effect.sleep(Duration.seconds(settings.stopMarginS));
    logger.stateChange('info', {component: 'control', state: 'stopped'}, 'stopped');
  });
}
