/**
 * Measures the store writes per claimed operation and the latency that group commit adds, in virtual time, and compares
 * them with the baselines in `packages/claims/__fixtures__/write_baselines.json`. Prints a table; with `--json`, JSON.
 *
 * One instance owns all shards. Arrivals are random with a fixed seed; an operation takes 20 ms after its grant.
 */
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';

const require = createRequire(import.meta.url);
const {Effect, Scope} = require('effect');
const {digest, seededRandom} = require('../packages/utils/dist/index.js');
const {MemoryStore, VirtualTime} = require('../packages/standins/dist/index.js');
const {ShardedClaimAuthority, defaultShardCount} = require('../packages/claims/dist/index.js');

const baselinesFile = new URL(
  '../packages/claims/__fixtures__/write_baselines.json',
  import.meta.url,
);
const baselines = JSON.parse(readFileSync(baselinesFile, 'utf8'));
const storeLatencyMs = 5;
const operationMs = 20;
const warmUpS = 5;
const measuredS = 65;

function answerOf(index) {
  const body = {
    confirmation: digest(`confirmation ${index}`),
    amount: index % 9_973,
    currency: 'UYU',
  };
  return {status: 201, contentType: 'application/json', body: Buffer.from(JSON.stringify(body))};
}

function startAuthority(time, store) {
  const options = {
    instanceId: 'a',
    store,
    time,
    random: seededRandom(1),
    ownerOf: () => 'a',
    shardCount: defaultShardCount,
  };
  const scope = Effect.runSync(Scope.make());
  return time.run(Scope.extend(ShardedClaimAuthority.make(options), scope));
}

function runOperation(authority, time, index, latenciesMs) {
  const request = {
    key: digest(`key ${index}`).slice(0, 36),
    requestDigest: digest(`request ${index}`),
    attemptToken: `entry#${index}`,
    sendDeadlineAtMs: time.nowMs() + 30_000,
  };
  return Effect.gen(function* () {
    const startedAtMs = time.nowMs();
    const claim = yield* authority.claim(request);
    if (claim.state !== 'granted') throw new Error(`claim ${index} was answered ${claim.state}`);
    latenciesMs.push(time.nowMs() - startedAtMs);
    yield* Effect.sleep(operationMs);
    yield* authority.complete(request.key, claim.claimId, {
      outcome: 'run',
      answer: answerOf(index),
    });
  });
}

function generateLoad(authority, time, operationsPerS, durationS, state) {
  const endMs = time.nowMs() + durationS * 1_000;
  while (time.nowMs() < endMs) {
    time.advance((-Math.log(1 - state.random.next()) * 1_000) / operationsPerS);
    state.index += 1;
    time.fork(runOperation(authority, time, state.index, state.latenciesMs));
  }
}

function measure(operationsPerS) {
  const time = new VirtualTime();
  const store = new MemoryStore();
  store.setLatency(storeLatencyMs);
  const authority = startAuthority(time, store);
  const state = {random: seededRandom(7), index: 0, latenciesMs: []};
  generateLoad(authority, time, operationsPerS, warmUpS, state);
  const sumOf = name => authority.counts().reduce((sum, counts) => sum + counts[name], 0);
  const before = {operations: state.index, writes: store.callCounts().writes};
  const [appendsBefore, checkpointsBefore] = [sumOf('appends'), sumOf('checkpoints')];
  state.latenciesMs.length = 0;
  generateLoad(authority, time, operationsPerS, measuredS, state);
  const operations = state.index - before.operations;
  const appends = sumOf('appends') - appendsBefore;
  const writes = store.callCounts().writes - before.writes;
  const sorted = [...state.latenciesMs].sort((a, b) => a - b);
  const addedMs = quantile => sorted[Math.floor(quantile * (sorted.length - 1))] - storeLatencyMs;
  const checkpoints = sumOf('checkpoints') - checkpointsBefore;
  const checkpointFailures = sumOf('checkpointFailures');
  return {
    operationsPerS,
    operations,
    writesPerOperation: round(writes / operations),
    writesPerS: round(writes / measuredS),
    appendsPerS: round(appends / measuredS),
    checkpoints,
    checkpointFailures,
    // Each log record is removed by a separate write, at least an hour after it was written.
    laterRemovalsPerS: round(appends / measuredS),
    addedLatencyMs: {p50: round(addedMs(0.5)), p99: round(addedMs(0.99)), max: round(addedMs(1))},
    baselines: baselines.map(({name, writesPerOperation, removalsPerOperation}) => ({
      name,
      writesPerOperation,
      writesPerS: writesPerOperation * operationsPerS,
      laterRemovalsPerS: removalsPerOperation * operationsPerS,
    })),
  };
}

function round(value) {
  return Math.round(value * 100) / 100;
}

function tableRows(result) {
  const claimsRow = {
    'operations/s': result.operationsPerS,
    variant: 'claims',
    'writes/operation': result.writesPerOperation,
    'writes/s': result.writesPerS,
    'later removals/s': result.laterRemovalsPerS,
    'added p50 ms': result.addedLatencyMs.p50,
    'added p99 ms': result.addedLatencyMs.p99,
  };
  const baselineRows = result.baselines.map(baseline => ({
    'operations/s': result.operationsPerS,
    variant: baseline.name,
    'writes/operation': baseline.writesPerOperation,
    'writes/s': baseline.writesPerS,
    'later removals/s': baseline.laterRemovalsPerS,
  }));
  return [claimsRow, ...baselineRows];
}

const results = [10, 100, 1_000].map(measure);
if (process.argv.includes('--json')) {
  console.log(
    JSON.stringify({storeLatencyMs, operationMs, shards: defaultShardCount, results}, null, 2),
  );
} else {
  console.table(results.flatMap(tableRows));
}
