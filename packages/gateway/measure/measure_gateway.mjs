/**
 * Measures costs of the gateway for docs/CAPACITY.md: processor time of one placement and memory of one target by the
 * number of targets, processor time of one look-up answer and of one heartbeat by the number of gateways. Run with
 * `npm run measure:gateway`.
 */
import console from 'node:console';
import {createRequire} from 'node:module';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

const require = createRequire(import.meta.url);
const {placeRequest} = require('../dist/targets/placement.js');
const {Target} = require('../dist/targets/target.js');
const {ServiceTimeEstimator} = require('../dist/targets/service_time_estimator.js');
const {RegionalShare} = require('../dist/regional_shares');
const {RoundTripTimes} = require('../dist/targets/round_trip_times.js');
const {answerLookup} = require('../dist/pages/lookup_answers.js');
const {decodePeerMessage} = require('../dist/peers/peer_message.js');

const regions = new Map([
  ['a-1', 'a'],
  ['b-1', 'b'],
  ['c-1', 'c'],
]);
const domains = [...regions.keys()];

function usedHeapBytes() {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function record(index) {
  return {
    id: `i-${index.toString(16).padStart(10, '0')}`,
    service: 's',
    address: {host: '10.0.0.1', port: 1 + (index % 60_000)},
    failureDomain: domains[index % domains.length],
    slots: 4,
    draining: false,
    coldForMs: 0,
    startedAtMs: 1,
  };
}

/** Returns the processor time of one call in microseconds. */
function cpuTimeUs(run, minMs = 300) {
  run(0);
  const start = process.cpuUsage();
  const startMs = performance.now();
  let calls = 0;
  while (performance.now() - startMs < minMs) {
    run(calls);
    calls += 1;
  }
  const {user, system} = process.cpuUsage(start);
  return (user + system) / calls;
}

console.log('targets  placement us  bytes/target');
for (const count of [14, 176, 1_000, 10_000]) {
  const before = usedHeapBytes();
  const targets = Array.from({length: count}, (_value, index) => {
    const target = new Target(record(index), regions.get(domains[index % domains.length]), 0);
    for (let key = 0; key < 25; key += 1) target.recentObjects.recordUse(String(key), 0);
    return target;
  });
  const bytes = (usedHeapBytes() - before) / count;
  const view = {
    nowMs: 1,
    ownName: 'g',
    ownRegion: 'a',
    ownCallerFraction: 1 / 3,
    gatewayNames: ['g'],
    evacuatedDomains: new Set(),
    coldLimit: {requestsPerS: 10},
    serviceTime: new ServiceTimeEstimator(),
    roundTripTimes: new RoundTripTimes('a-1', regions),
    regionalShare: new RegionalShare(),
  };
  const request = {
    homeRegions: [],
    bodyBytes: 0,
    attemptedTargetIds: new Set(),
    latencyObjectiveMs: 400,
  };
  const cpuTimePerCallUs = cpuTimeUs(call =>
    placeRequest({...request, objectKey: String(call % 300)}, targets, view),
  );
  console.log(
    `${String(count).padStart(7)}  ${cpuTimePerCallUs.toFixed(1).padStart(12)}  ${bytes.toFixed(0)}`,
  );
}

console.log('gateways  look-up us');
for (const count of [10, 87, 1_000, 3_500]) {
  const gateways = Array.from({length: count}, (_value, index) => ({
    name: `front-${index}`,
    region: regions.get(domains[index % domains.length]),
    failureDomain: domains[index % domains.length],
    callerAddress: {host: '10.0.0.1', port: 1 + index},
    peerAddress: {host: '10.0.0.1', port: 1 + index},
  }));
  const cpuTimePerCallUs = cpuTimeUs(() =>
    answerLookup({region: 'a', failureDomain: 'a-1'}, {serving: gateways, isolated: []}, 5_000),
  );
  console.log(`${String(count).padStart(8)}  ${cpuTimePerCallUs.toFixed(1)}`);
}

const heartbeat = JSON.stringify({
  name: 'front-mvd-cordon-1',
  startedAtMs: 1_700_000_000_000,
  sequence: 100,
  state: 'serving',
  suspicions: [],
});
console.log(
  `heartbeat: ${heartbeat.length} bytes, ${cpuTimeUs(() => decodePeerMessage(heartbeat)).toFixed(1)} us to read`,
);
