/**
 * Measures what the claims of one shard cost: store writes and bytes for each operation, the largest object, and the
 * time, reads and memory of a takeover. Prints a table; `--claims <n>` runs one size and `--rate <n>` sets the
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
const sampledKeys = 200;
const takeovers = 5;

function option(name, fallback) {
  const at = process.argv.indexOf(`--${name}`);
  return at < 0 ? fallback : Number(process.argv[at + 1]);
}

/** Counts the bytes of writes by the kind of object. */
function countingStore(store, bytes) {
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

function operation(authority, time, index) {
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

async function memoryBytes() {
  // Finalizers run between two collections, so one collection does not free everything.
  for (let round = 0; round < 4; round += 1) {
    globalThis.gc();
    await setImmediate();
  }
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function timed(time, effect) {
  const from = {wall: performance.now(), virtual: time.nowMs()};
  const value = time.run(effect);
  return {value, wallMs: performance.now() - from.wall, virtualMs: time.nowMs() - from.virtual};
}

function takeOver(time, store, instanceId) {
  const authority = startAuthority(time, store, instanceId, () => instanceId);
  return {authority, ...timed(time, authority.outcomeOf('no such key'))};
}

async function measure(claims, rate) {
  const time = new VirtualTime();
  const store = new MemoryStore();
  store.setLatency(storeLatencyMs);
  const bytes = {largest: 0};
  let owner = 'a';
  const former = startAuthority(time, countingStore(store, bytes), 'a', () => owner);
  for (let index = 0; index < claims; index += 1) {
    time.fork(operation(former, time, index));
    time.advance(1_000 / rate);
  }
  time.advance(1_000);
  const {writes} = store.callCounts();
  const [counts] = former.counts();
  owner = 'b';
  time.advance(125_000);
  // A first takeover warms up; the state of each later owner stays in memory, so that their mean can be taken.
  const owners = [takeOver(time, store, 'warm-up')];
  const memoryBefore = await memoryBytes();
  const readsBefore = store.callCounts().reads;
  for (let index = 0; index < takeovers; index += 1) {
    owners.push(takeOver(time, store, `b${index}`));
  }
  const takeoverReads = (store.callCounts().reads - readsBefore) / takeovers;
  const memory = ((await memoryBytes()) - memoryBefore) / takeovers;
  const {authority: next, ...takeover} = owners[owners.length - 1];
  const lookups = [];
  for (let sample = 0; sample < sampledKeys; sample += 1) {
    const index = Math.floor((sample * claims) / sampledKeys);
    const lookup = timed(time, next.outcomeOf(keyOf(index)));
    if (lookup.value.state !== 'run') throw new Error(`key ${index} is ${lookup.value.state}`);
    lookups.push(lookup.wallMs);
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
    'lookup CPU p50 ms': Math.round(lookups.sort((a, b) => a - b)[sampledKeys / 2] * 10) / 10,
  };
}

const sizes = process.argv.includes('--claims') ? [option('claims')] : [1_000, 10_000, 100_000];
for (const size of sizes) {
  console.log(JSON.stringify(await measure(size, option('rate', 10)), null, 2));
}
