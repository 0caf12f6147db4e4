/**
 * The control daemon of one instance: store access, configuration, membership, claims and the operator API. It also
 * starts while the store and all peers are unreachable; its status then reports what is missing.
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
import {instrumentedClaims, reportControlGauges} from './control_metrics';
import {InstanceListClient, isListReader} from './instance_list_client';
import {LocalEntry} from './local_entry';
import {instrumentedStore} from './metered_store';
import {operatorRoutes} from './operator_routes';
import type {ControlHealth} from './operator_server';
import {OperatorServer} from './operator_server';
import {addPeerServices} from './peer_services';
import {PeerTransport} from './peer_transport';
import {SnapshotFeed} from './snapshot_feed';
import {StatusCollector} from './status_collector';

/** Settings of the daemon, and the logger and metrics that it writes to. */
export interface ControlDaemonOptions {
  readonly settings: ControlSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A running control daemon. */
export interface ControlDaemon {
  /**
   * Announces to the peers that this instance is leaving, closes the operator API and completes after the stop margin.
   * Closing the scope releases the rest.
   */
  readonly stop: Effect.Effect<void>;
}

const peerCallTimeoutMs = 3000;
const stateUpdateIntervalMs = 500;
/** The store counts as reachable if it has answered within this time. A watch may take 30 s to answer. */
const maxStoreContactAgeMs = 40_000;

/** Starts the daemon. Fails if a port is in use or a TLS file cannot be read. */
export function startControlDaemon(
  options: ControlDaemonOptions,
): Effect.Effect<ControlDaemon, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const components = yield* makeComponents(options);
    yield* Effect.forkScoped(components.instanceList.run());
    yield* Effect.forkScoped(updateStatePeriodically(components));
    yield* Effect.forkScoped(reportControlGauges(components));
    yield* listenForPeers(options.settings, components);
    const operatorServer = yield* listenForOperators(options.settings, components);
    return {stop: stopDaemon(options, components, operatorServer)};
  });
}

type ControlComponents = Effect.Effect.Success<ReturnType<typeof makeComponents>>;

function makeComponents({settings, logger, metrics}: ControlDaemonOptions) {
  return Effect.gen(function* () {
    const time = systemTime;
    const self = instanceFromSettings(settings);
    const random = seededRandom(Math.floor(time.nowMs()) % 0x7fffffff);
    const clients = yield* openPeerClients(settings);
    const peerTransport = new PeerTransport(clients);
    const store = instrumentedStore(yield* openStore(settings), metrics, time);
    const instanceList = new InstanceListClient(
      settings.instanceList,
      settings.instanceListIntervalS,
      () => isListReader(self, membership.members()),
    );
    const membership: Membership = yield* Membership.start({
      self,
      transport: peerTransport,
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
      transport: peerTransport,
      members: () => membership.members(),
      applyChange,
      time,
      random,
      logger,
      metrics,
    });
    configSync.onAdopt(configuration => membership.setOwnConfigVersion(configuration.version));
    const claimAuthority = yield* ShardedClaimAuthority.make({
      instanceId: self.id,
      store,
      time,
      random,
      ownerOf: shard => ownerByRendezvous(`claims/${shard}`, eligibleClaimOwners(membership)),
      shardCount: settings.claimShards,
      logger,
    });
    const storeContactAgeMs = () => configSync.storeContactAgeMs() ?? Number.POSITIVE_INFINITY;
    const isStoreReachable = () => storeContactAgeMs() < maxStoreContactAgeMs;
    const contactAgeMs = () => Math.min(membership.contactAgeMs(), storeContactAgeMs());
    const snapshotFeed = new SnapshotFeed({
      membership,
      configSync,
      claimShards: settings.claimShards,
      contactAgeMs,
    });
    const localEntry = new LocalEntry(membership, time);
    const statusCollector = new StatusCollector({
      instanceId: self.id,
      membership,
      configSync,
      peerTransport,
      time,
      isStoreReachable,
    });
    return {
      time,
      membership,
      configSync,
      claims: instrumentedClaims(claimAuthority, metrics),
      claimShardCounts: () => claimAuthority.counts(),
      metrics,
      snapshotFeed,
      localEntry,
      statusCollector,
      instanceList,
      isStoreReachable,
    };
  });
}

function instanceFromSettings(settings: ControlSettings): Instance {
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

/**
 * Ids of the instances that may own a claim shard. Must select the same members as `ownerOfKey` in
 * packages/entry/src/entry_components.ts, by which entry processes find the owner of a key.
 */
function eligibleClaimOwners(membership: Membership): readonly string[] {
  return membership
    .members()
    .filter(member => member.reachability === 'reachable' && member.state === 'serving')
    .map(member => member.instance.id);
}

function updateStatePeriodically(components: ControlComponents): Effect.Effect<never> {
  return Effect.sync(() => components.localEntry.updateState()).pipe(
    Effect.zipRight(Effect.sleep(Duration.millis(stateUpdateIntervalMs))),
    Effect.forever,
  );
}

function listenForPeers(
  settings: ControlSettings,
  components: ControlComponents,
): Effect.Effect<void, Error, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.tryPromise({
      try: () =>
        startPeerServer({
          address: settings.peers,
          peerKey: settings.peerKey,
          tls: settings.peerTls,
          routes: router => addPeerServices(router, components),
        }),
      catch: error => error as Error,
    }),
    server => Effect.promise(() => server.close()),
  ).pipe(Effect.asVoid);
}

function listenForOperators(
  settings: ControlSettings,
  components: ControlComponents,
): Effect.Effect<OperatorServer, Error> {
  const routes = operatorRoutes({...components, signingKey: settings.peerKey});
  return Effect.tryPromise({
    try: async () => {
      const server = new OperatorServer(settings, routes, () => currentHealth(components));
      await server.listen();
      return server;
    },
    catch: error => error as Error,
  });
}

function currentHealth(components: ControlComponents): ControlHealth {
  const configVersion = components.configSync.current().version;
  const isLeaving = components.localEntry.isLeaving();
  const state = isLeaving ? 'leaving' : configVersion > 0 ? 'serving' : 'starting';
  // The own instance is always the first member.
  const [, ...otherMembers] = components.membership.members();
  return {
    ready: state === 'serving',
    state,
    configVersion,
    storeReachable: components.isStoreReachable(),
    reachablePeers: otherMembers.filter(member => member.reachability === 'reachable').length,
  };
}

function stopDaemon(
  {settings, logger}: ControlDaemonOptions,
  components: ControlComponents,
  operatorServer: OperatorServer,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    components.localEntry.startLeaving();
    logger.stateChange('info', {component: 'control', state: 'leaving'}, 'stopping');
    yield* Effect.promise(() => operatorServer.close());
    yield* Effect.sleep(Duration.seconds(settings.stopMarginS));
    logger.stateChange('info', {component: 'control', state: 'stopped'}, 'stopped');
  });
}
