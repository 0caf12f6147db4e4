/**
 * Measures the memory of a gateway process, and short requests at it, in three phases: quiet, beside large uploads at once,
 * and beside targets whose answers have no end. The short requests and the uploads are sent by threads of their own.
 *
 * Usage: npm run measure:bodies -- [--seconds N] [--uploads N] [--megabytes N] [--rate REQUESTS_PER_S] [--link-mbps N]
 */
import console from 'node:console';
import {readFileSync} from 'node:fs';
import * as http from 'node:http';
import {createRequire} from 'node:module';
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {URL} from 'node:url';
import {parseArgs} from 'node:util';
import {isMainThread, parentPort, Worker, workerData} from 'node:worker_threads';
import {sendRequest, startGateway} from './gateway_on_standins.mjs';
import {deployedRuntimeFlags} from './runtime_flags.mjs';

const maxBodyBytes = 67_108_864;
const shortDeadlineMs = 2_500;
const uploadDeadlineMs = 30_000;
const memoryPollMs = 20;
const host = '127.0.0.1';
const bytesPerMegabit = 125_000;
const pieceBytes = 100_000;

const threads = {shortRequests: sendShortRequests, uploads: sendUploads};

if (isMainThread) await measure();
else parentPort.postMessage(await threads[workerData.thread](workerData));

function headersOf(id, deadlineMs) {
  return {
    Host: 'one.example',
    'Request-Id': id,
    'Deadline-Ms': String(deadlineMs),
    Cookie: `Affinity-Key=${id}`,
  };
}

/** Sends reads at a steady rate. Returns the number of requests by status (0: no answer) and the median time. */
async function sendShortRequests({port, rate, seconds}) {
  const agent = new http.Agent({keepAlive: true});
  const statuses = {};
  const timesMs = [];
  const calls = [];
  const startMs = performance.now();
  for (let number = 0; number < rate * seconds; number += 1) {
    await wait(Math.max(0, startMs + (number * 1_000) / rate - performance.now()));
    const sentAtMs = performance.now();
    const headers = headersOf(`short-${number}`, shortDeadlineMs);
    const call = sendRequest(port, {path: `/read/${number}`, headers, agent}).then(status => {
      statuses[status] = (statuses[status] ?? 0) + 1;
      timesMs.push(performance.now() - sentAtMs);
    });
    calls.push(call);
  }
  await Promise.all(calls);
  agent.destroy();
  timesMs.sort((left, right) => left - right);
  return {statuses, medianMs: timesMs[Math.floor(timesMs.length / 2)]};
}

/** Sends uploads at once, again and again. Returns their number by status. */
async function sendUploads({port, uploads, bytes, seconds, linkMbps}) {
  const bytesPerMs = (linkMbps * bytesPerMegabit) / 1_000 / uploads;
  const statuses = {};
  const endMs = performance.now() + seconds * 1_000;
  for (let round = 0; performance.now() < endMs; round += 1) {
    const calls = Array.from({length: uploads}, async (_, number) => {
      const headers = {
        ...headersOf(`upload-${round}-${number}`, uploadDeadlineMs),
        'Content-Length': String(bytes),
      };
      const status = await sendUpload(port, headers, bytes, bytesPerMs);
      statuses[status] = (statuses[status] ?? 0) + 1;
    });
    await Promise.all(calls);
  }
  return {statuses};
}

/** Sends one upload in pieces at a steady rate, until it is answered. */
async function sendUpload(port, headers, bytes, bytesPerMs) {
  let isAnswered = false;
  const request = http.request({host, port, path: '/send/x', method: 'POST', headers});
  const status = new Promise(resolve => {
    request.on('response', response => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    request.on('error', () => resolve(0));
  }).finally(() => (isAnswered = true));
  const startMs = performance.now();
  for (let sent = 0; sent < bytes && !isAnswered; sent += pieceBytes) {
    request.write(new Uint8Array(Math.min(pieceBytes, bytes - sent)));
    const dueMs = startMs + sent / bytesPerMs;
    await wait(Math.max(0, dueMs - performance.now()));
    while (request.writableNeedDrain && !isAnswered) await wait(1);
  }
  if (!isAnswered) request.end();
  const result = await status;
  request.destroy();
  return result;
}

/** Large bodies are allowed, and uploads have no timeout but their deadline. */
function configurationChanges(standins) {
  const {limits, hosts} = standins.wireConfiguration(1);
  const withoutTimeout = path => (path.kind === 'upload' ? {...path, timeoutMs: undefined} : path);
  return {
    limits: {...limits, maxBodyBytes},
    hosts: hosts.map(({host: name, paths}) => ({host: name, paths: paths.map(withoutTimeout)})),
  };
}

function runThread(thread, parameters) {
  const worker = new Worker(new URL(import.meta.url), {workerData: {thread, ...parameters}});
  return new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}

function residentMb(processId) {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0) / 1024;
}

/** Runs the threads and returns their results and the peak of the gateway's memory meanwhile. */
async function observe(processId, runs) {
  let peakMb = 0;
  let isRunning = true;
  const watching = (async () => {
    while (isRunning) {
      peakMb = Math.max(peakMb, residentMb(processId));
      await wait(memoryPollMs);
    }
  })();
  const results = await Promise.all(runs);
  isRunning = false;
  await watching;
  return {peakMb: Math.round(peakMb), results};
}

async function measure() {
  const {values} = parseArgs({
    options: {
      seconds: {type: 'string', default: '15'},
      uploads: {type: 'string', default: '30'},
      megabytes: {type: 'string', default: '20'},
      rate: {type: 'string', default: '200'},
      'link-mbps': {type: 'string', default: '1000'},
    },
  });
  const [seconds, uploads, rate] = [values.seconds, values.uploads, values.rate].map(Number);
  const linkMbps = Number(values['link-mbps']);
  const bytes = Number(values.megabytes) * 1_000_000;
  const standins = createRequire(import.meta.url)('../packages/standins/dist/index.js');
  const command = [...deployedRuntimeFlags(), 'target/cuminsill-gateway.js'];
  const gateway = await startGateway(standins, command, configurationChanges(standins));
  const {processId, endpoints} = gateway;
  const port = gateway.ports.front;
  const short = () => runThread('shortRequests', {port, rate, seconds});
  await runThread('shortRequests', {port, rate, seconds: 3});
  const report = (phase, result) => console.log(phase, JSON.stringify(result));
  report('quiet', await observe(processId, [short()]));
  const upload = runThread('uploads', {port, uploads, bytes, seconds, linkMbps});
  report('uploads', await observe(processId, [short(), upload]));
  for (const endpoint of endpoints.slice(0, Math.ceil(endpoints.length / 3))) {
    endpoint.mode = 'endless-body';
  }
  report('answers without end', await observe(processId, [short()]));
  await gateway.stop();
}
