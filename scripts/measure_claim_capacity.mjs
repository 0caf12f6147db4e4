/**
 * Measures the cost of the claims of one shard: store writes and bytes per operation, the largest object, and the time,
 * reads and memory of a takeover. Prints JSON; `--claims <n>` measures one number of claims, `--rate <n>` sets the
 * operations a second. Needs `node --expose-gc`.
 */
import {Buffer} from 'node:buffer';
import {createRequire} from 'node:module';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setImmediate} from 'node:timers/promises';

const require = createRequire(import.meta.url);
const {Effect, Scope} = require('effect');
const {digest, seededRandom} = require('../packages/utils/dist/index.js');
const {MemoryStore, VirtualTime} = require('../packages/standins/dist/index.js');
const {ShardedClaimAuthority} = require('../packages/claims/dist/index.js');

const storeLatencyMs = 5;
const operationMs = 20;
const sampledKeyCount = 200;
const takeoverCount = 5;

function numberOption(name, fallback) {
  const at = process.argv.indexOf(`--${name}`);
  return at < 0 ? fallback : Number(process.argv[at + 1]);
}

/** Wraps a store and adds the bytes of each write to `bytes`, by kind of object. */
function countWrittenBytes(store, bytes) {
  const count = (key, value) => {
    const kind = key.split('/')[2] ?? 'shards';
    bytes[kind] = (bytes[kind] ?? 0) + value.byteLength;
    bytes.largest = Math.max(bytes.largest, value.byteLength);
  };
  return {
    get: key => store.get(key),
    create: (key, value) => (count(key, value), store.create(key, value)),
    update: (key, value, version) => (count(key, value), store.update(key, value, version)),
    remove: (key, version) => store.remove(key, version),
    list: (prefix, afterKey, limit) => store.list(prefix, afterKey, limit),
    watch: (prefix, afterKey, waitMs) => store.watch(prefix, afterKey, waitMs),
  };
}

function startAuthority(time, store, instanceId, ownerOf) {
  const options = {instanceId, store, time, random: seededRandom(1), ownerOf, shardCount: 1};
  const scope = Effect.runSync(Scope.make());
  return time.run(Scope.extend(ShardedClaimAuthority.make(options), scope));
}

const keyOf = index => digest(`key ${index}`).slice(0, 36);

function runOperation(authority, time, index) {
  const request = {
    key: keyOf(index),
    requestDigest: digest(`request ${index}`),
    attemptToken: `entry#${index}`,
    sendDeadlineAtMs: time.nowMs() + 30_000,
  };
  const body = {confirmation: digest(`confirmation ${index}`), amount: index, currency: 'UYU'};
  return Effect.gen(function* () {
    const claim = yield* authority.claim(request);
    if (claim.state !== 'granted') throw new Error(`claim ${index} was answered ${claim.state}`);
    yield* Effect.sleep(operationMs);
    yield* authority.complete(request.key, claim.claimId, {
      outcome: 'run',
      answer: {
        status: 201,
        contentType: 'application/json',
        body: Buffer.from(JSON.stringify(body)),
      },
    });
  });
}

async function usedMemoryBytes() {
  // Finalizers run between collections, so a single collection does not free everything.
  for (let round = 0; round < 4; round += 1) {
    globalThis.gc();
    await setImmediate();
  }
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function runTimed(time, effect) {
  const start = {wall: performance.now(), virtual: time.nowMs()};
  const value = time.run(effect);
  return {value, wallMs: performance.now() - start.wall, virtualMs: time.nowMs() - start.virtual};
}

function runTakeover(time, store, instanceId) {
  const authority = startAuthority(time, store, instanceId, () => instanceId);
  return {authority, ...runTimed(time, authority.outcomeOf('no such key'))};
}

async function measure(claims, rate) {
  const time = new VirtualTime();
  const store = new MemoryStore();
  store.setLatency(storeLatencyMs);
  const bytes = {largest: 0};
  let owner = 'a';
  const formerOwner = startAuthority(time, countWrittenBytes(store, bytes), 'a', () => owner);
  for (let index = 0; index < claims; index += 1) {
    time.fork(runOperation(formerOwner, time, index));
    time.advance(1_000 / rate);
  }
  time.advance(1_000);
  const {writes} = store.callCounts();
  const [counts] = formerOwner.counts();
  owner = 'b';
  time.advance(125_000);
  // The first takeover is a warm-up. The later owners stay in memory, so that the mean memory per owner can be computed.
  const owners = [runTakeover(time, store, 'warm-up')];
  const memoryBefore = await usedMemoryBytes();
  const readsBefore = store.callCounts().reads;
  for (let index = 0; index < takeoverCount; index += 1) {
    owners.push(runTakeover(time, store, `b${index}`));
  }
  const takeoverReads = (store.callCounts().reads - readsBefore) / takeoverCount;
  const memory = ((await usedMemoryBytes()) - memoryBefore) / takeoverCount;
  const {authority: lastOwner, ...takeover} = owners[owners.length - 1];
  const lookupTimesMs = [];
  for (let sample = 0; sample < sampledKeyCount; sample += 1) {
    const index = Math.floor((sample * claims) / sampledKeyCount);
    const lookup = runTimed(time, lastOwner.outcomeOf(keyOf(index)));
    if (lookup.value.state !== 'run') throw new Error(`key ${index} is ${lookup.value.state}`);
    lookupTimesMs.push(lookup.wallMs);
  }
  const perOperation = value => Math.round(((value ?? 0) / claims) * 10) / 10;
  return {
    claims,
    'operations/s': rate,
    segments: counts.segments,
    checkpoints: counts.checkpoints,
    'writes/operation': Math.round((writes / claims) * 100) / 100,
    'record B/operation': perOperation(bytes.log),
    'checkpoint B/operation': perOperation(bytes.checkpoint),
    'segment B/operation': perOperation((bytes.segments ?? 0) + (bytes.segment_index ?? 0)),
    'largest object B': bytes.largest,
    'takeover reads': takeoverReads,
    'takeover CPU ms': Math.round(takeover.wallMs),
    'takeover at 5 ms a call, ms': takeover.virtualMs,
    'owner memory B': Math.round(memory),
    'memory B/claim': perOperation(memory),
    'lookup CPU p50 ms':
      Math.round(lookupTimesMs.sort((a, b) => a - b)[sampledKeyCount / 2] * 10) / 10,
  };
}

const sizes = process.argv.includes('--claims')
  ? [numberOption('claims')]
  : [1_000, 10_000, 100_000];
for (const size of sizes) {
  console.log(JSON.stringify(await measure(size, numberOption('rate', 10)), null, 2));
}
