/**
 * Measures the distribution of configuration changes by fleet size, in virtual time: time from acceptance to adoption,
 * and messages, bytes, CPU time and store calls per change. Also measures the size of a large configuration and the
 * cost of one change to it. Run with `npm run measure:config`.
 */
import console from 'node:console';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import configSync from '@cuminsill/config_sync';
import logger from '@cuminsill/logger';
import standins from '@cuminsill/standins';
import utils from '@cuminsill/utils';
import {Duration, Effect, Exit, Scope} from 'effect';
import configState from '../dist/config_state.js';
import largeValueStore from '../dist/large_value_store.js';

const fleets = [
  {instances: 10, regions: 3, changes: 20},
  {instances: 100, regions: 10, changes: 5},
  {instances: 1_000, regions: 21, changes: 2},
];
const changesPerDay = 12_000;
const oneWayLatenciesMs = {sameRegion: 1, otherRegion: 55};

function applyChange(configuration, change) {
  const {body, version} = change;
  if (body.kind === 'put-catalog') return {...configuration, version, catalog: body.catalog};
  const intents = configuration.intents.filter(entry => entry.intent.id !== body.intent.id);
  const confirmed = {
    intent: body.intent,
    version,
    confirmedBy: change.author,
    confirmedAtMs: change.acceptedAtMs,
    previousShares: [],
  };
  return {...configuration, version, intents: [...intents, confirmed]};
}

function intentChange(version) {
  const shares = Array.from({length: 20}, (_, index) => ({
    regionId: `region-${index}`,
    share: 0.05,
  }));
  const route = {id: `intent-${version % 50}`, serviceId: 'proofs', callerRegionId: 'region-0'};
  return {
    version,
    author: 'operator@example.org',
    acceptedAtMs: 1_700_000_000_000 + version,
    planDigest: utils.digest(`plan-${version}`),
    body: {
      kind: 'put-intent',
      intent: {kind: 'route', ...route, shares, maxMovedShare: 0.1, windowS: 60},
      previousShares: shares,
    },
  };
}

class Fleet {
  constructor({instances, regions}) {
    this.time = new standins.VirtualTime();
    this.store = new standins.MemoryStore();
    this.store.setLatency(5);
    this.nodes = new Map();
    this.random = utils.seededRandom(5);
    this.lossRate = 0;
    this.counts = {messages: 0, bytes: 0};
    this.members = Array.from({length: instances}, (_, index) => createMember(index, regions));
    this.scope = Effect.runSync(Scope.make());
    for (const [index, {instance}] of this.members.entries()) this.start(instance, index);
  }

  start(self, index) {
    const options = {
      self,
      store: this.store,
      transport: {
        push: (peer, request) =>
          this.call(self, peer, request.changesJson, sync => sync.receivePush(request)),
        pull: (peer, request) =>
          this.call(self, peer, [], sync => Effect.sync(() => sync.receivePull(request))),
      },
      members: () => this.members,
      applyChange,
      time: this.time,
      random: utils.seededRandom(1_000 + index),
      logger: logger.silentLogger,
      metrics: logger.silentMetrics,
    };
    const fiber = this.time.fork(
      configSync.ConfigSync.start(options).pipe(Scope.extend(this.scope)),
    );
    const sync = Exit.getOrElse(fiber.unsafePoll(), () => undefined);
    const adoptedAtMs = new Map();
    sync.onAdopt(({version}) => adoptedAtMs.set(version, this.time.nowMs()));
    this.nodes.set(self.id, {sync, adoptedAtMs});
  }

  call(from, to, content, handle) {
    const delay =
      from.regionId === to.regionId ? oneWayLatenciesMs.sameRegion : oneWayLatenciesMs.otherRegion;
    const oneWayDelay = Effect.sleep(Duration.millis(delay));
    this.counts.messages += 1;
    for (const part of content) this.counts.bytes += part.byteLength;
    // A lost message is never answered; the timeout of the caller ends the call.
    if (this.random.next() < 1 - (1 - this.lossRate) ** 2) return Effect.async(() => undefined);
    const handled = Effect.suspend(() => handle(this.nodes.get(to.id).sync));
    return oneWayDelay.pipe(Effect.zipRight(handled), Effect.zipLeft(oneWayDelay));
  }

  submit(version) {
    const {sync} = this.nodes.get(this.members[version % this.members.length].instance.id);
    const fiber = this.time.fork(sync.submit(intentChange(version)));
    let acceptedAtMs;
    fiber.addObserver(() => (acceptedAtMs = this.time.nowMs()));
    return () => acceptedAtMs;
  }

  close() {
    this.time.fork(Scope.close(this.scope, Exit.void));
  }
}

function createMember(index, regions) {
  const regionId = `region-${index % regions}`;
  const address = {host: `10.0.${index >> 8}.${index & 255}`, port: 7000};
  const instance = {
    id: `instance-${index}`,
    regionId,
    failureDomainId: `${regionId}-${Math.floor(index / regions) % 3}`,
    callerAddress: address,
    entryPeerAddress: address,
    controlPeerAddress: address,
  };
  return {instance, state: 'serving', reachability: 'reachable', incarnation: 1, configVersion: 0};
}

function countStoreCalls(fleet) {
  const {reads, writes, watches} = fleet.store.callCounts();
  return reads + writes + watches;
}

function measureFleet(options) {
  const fleet = new Fleet(options);
  const {changes, instances, regions} = options;
  fleet.time.advance(5_000);
  const idle = {messages: fleet.counts.messages, cpu: process.cpuUsage()};
  fleet.time.advance(10_000);
  const idleCpuMs = cpuMsSince(idle.cpu);
  const idleMessages = fleet.counts.messages - idle.messages;
  const before = {...fleet.counts, calls: countStoreCalls(fleet), cpu: process.cpuUsage()};
  const adoptionTimes = measureAdoptionTimes(fleet, changes);
  // Each change ends all pending watches, so no watch call times out during the measurement.
  const callsPerChange = (countStoreCalls(fleet) - before.calls) / changes;
  const result = {
    instances,
    regions,
    ...adoptionTimes,
    messagesPerChange: Math.round(
      (fleet.counts.messages - before.messages) / changes - idleMessages,
    ),
    bytesPerChangeAndNode: Math.round((fleet.counts.bytes - before.bytes) / changes / instances),
    cpuMsPerChangeAndNode: round((cpuMsSince(before.cpu) / changes - idleCpuMs) / instances),
    idleMessagesPerSAndNode: round(idleMessages / 10 / instances),
    idleCpuMsPerSAndNode: round(idleCpuMs / 10 / instances),
    storeCallsPerChange: round(callsPerChange),
  };
  fleet.close();
  return result;
}

/**
 * Times from the durable append, right after which the submitting instance adopts the change, to the adoption by each
 * instance.
 */
function measureAdoptionTimes(fleet, changes, windowMs = 10_000) {
  const adoptionTimes = [];
  const accepted = [];
  for (let version = 1; version <= changes; version += 1) {
    const acceptedAtMs = fleet.submit(version);
    fleet.time.advance(windowMs);
    const adopted = [...fleet.nodes.values()].map(
      ({adoptedAtMs}) => adoptedAtMs.get(version) ?? Number.POSITIVE_INFINITY,
    );
    const durableAtMs = Math.min(...adopted);
    accepted.push(acceptedAtMs() - durableAtMs);
    adoptionTimes.push(...adopted.map(atMs => atMs - durableAtMs));
  }
  adoptionTimes.sort((a, b) => a - b);
  const quantile = fraction =>
    adoptionTimes[Math.min(adoptionTimes.length - 1, Math.floor(fraction * adoptionTimes.length))];
  return {
    acceptedMs: Math.max(...accepted),
    p50Ms: quantile(0.5),
    p90Ms: quantile(0.9),
    p99Ms: quantile(0.99),
    maxMs: quantile(1),
  };
}

/** Adoption times with 20% message loss and a store that answers no reads, so that no watcher sees the log. */
function measureWithFaults(options) {
  const fleet = new Fleet(options);
  fleet.time.advance(5_000);
  fleet.lossRate = 0.2;
  fleet.store.setFaultPlan(kind => (kind === 'write' ? 'none' : 'unavailable'));
  fleet.time.advance(31_000);
  const result = {
    instances: options.instances,
    ...measureAdoptionTimes(fleet, options.changes, 20_000),
  };
  fleet.close();
  return result;
}

/** Estimates the store calls per second at 12,000 changes a day from the measured calls per watcher. */
function estimateStoreCallsBySize(fleetResults) {
  const largest = fleetResults.at(-1);
  const perWatcher = (largest.storeCallsPerChange - 1) / (2 * largest.regions);
  const sizes = [
    [10, 3],
    [100, 10],
    [1_000, 21],
    [3_500, 21],
  ];
  return sizes.map(([instances, regions]) => {
    const idle = (2 * regions) / 30;
    const changes = (changesPerDay / 86_400) * (1 + 2 * regions * perWatcher);
    return {instances, regions, callsPerS: round(idle + changes)};
  });
}

function createLargeCatalog() {
  const regions = Array.from({length: 21}, (_, index) => ({id: `region-${index}`, name: 'Region'}));
  const targets = Array.from({length: 8_000}, (_, index) => ({
    id: `target-${index}`,
    serviceId: `service-${index % 4}`,
    siteId: `site-${index % 2_000}`,
    regionId: `region-${index % 21}`,
    failureDomainId: `region-${index % 21}-${index % 3}`,
    address: {host: `10.${index >> 8}.${index & 255}.1`, port: 8080},
    slots: 4,
    maxConnections: 360,
  }));
  const clientBlocks = Array.from({length: 130_000}, (_, index) => ({
    prefix: `${20 + (index >> 14)}.${(index >> 6) & 255}.${(index & 63) << 2}.0/22`,
    regionId: `region-${index % 21}`,
  }));
  const empty = {failureDomains: [], links: [], services: [], demands: []};
  return {regions, targets, clientBlocks, ...empty};
}

async function measureLargeConfiguration() {
  globalThis.gc();
  const heapBefore = process.memoryUsage().heapUsed;
  const state = new configState.ConfigState(
    applyChange,
    {maxChanges: 512, maxBytes: 2_000_000},
    () => undefined,
  );
  const body = {kind: 'put-catalog', catalog: createLargeCatalog()};
  const catalogChange = configState.encodeChange({...intentChange(1), body});
  const decodeCatalogMs = timed(() => configState.decodeChange(catalogChange.json));
  state.adoptChanges([catalogChange]);
  const encodeWholeMs = timed(() => state.encodeCurrent());
  const snapshot = state.encodedSnapshot();
  const decodeWholeMs = timed(() => configState.decodeSnapshot(snapshot.json));
  const changes = Array.from({length: 200}, (_, index) =>
    configState.encodeChange(intentChange(index + 2)),
  );
  const adoptMs = timed(() => {
    for (const {json} of changes) state.adoptChanges([configState.decodeChange(json)]);
  });
  const unchanged = state.encodedSnapshot() === snapshot;
  const store = new standins.MemoryStore();
  const values = new largeValueStore.LargeValueStore(store, 'config/parts/');
  const start = performance.now();
  await Effect.runPromise(values.write(1, snapshot.json));
  const storeMs = performance.now() - start;
  globalThis.gc();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  return {
    configurationBytes: snapshot.json.byteLength,
    changeBytes: changes[0].json.byteLength,
    parts: store.keys().length,
    encodeWholeMs: round(encodeWholeMs),
    decodeWholeMs: round(decodeWholeMs),
    decodeCatalogMs: round(decodeCatalogMs),
    compressAndStoreMs: round(storeMs),
    oneChangeMs: round(adoptMs / changes.length),
    snapshotEncodedAgain: !unchanged,
    heapBytes,
  };
}

function timed(run) {
  const start = performance.now();
  run();
  return performance.now() - start;
}

function cpuMsSince(start) {
  const cpu = process.cpuUsage(start);
  return (cpu.user + cpu.system) / 1_000;
}

function round(value) {
  return Math.round(value * 1_000) / 1_000;
}

const spread = fleets.map(measureFleet);
const impaired = [fleets[0], fleets[1], {...fleets[2], changes: 1}].map(measureWithFaults);
const storeCallsPerS = estimateStoreCallsBySize(spread);
const large = await measureLargeConfiguration();
console.table(spread);
console.table(impaired);
console.table(storeCallsPerS);
console.table([large]);
console.log(
  JSON.stringify({
    measurement: 'config',
    node: process.version,
    spread,
    impaired,
    storeCallsPerS,
    large,
  }),
);
