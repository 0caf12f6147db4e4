/**
 * Measures the processor time of gateway processes from their start to the 1st, 100th, 200th, 1,000th and 3,000th
 * answered request, against stand-ins of the platform. Several programs are measured by turns, so that their ratio
 * does not depend on the machine's speed at the time.
 *
 * Usage: npm run measure:process -- [PROGRAM...] [--runs N] [--pace REQUESTS_PER_S] [--flags FLAGS] [--profile DIRECTORY]
 *
 * PROGRAM is a path of a bundled gateway; the default is `target/cuminsill-gateway.js`. `--profile` writes a V8 profile
 * of each process, `--flags` replaces the deployed flags of the runtime.
 */
import {spawn} from 'node:child_process';
import console from 'node:console';
import {mkdtempSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import * as http from 'node:http';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parseArgs} from 'node:util';

const require = createRequire(import.meta.url);
const standins = require('../packages/standins/dist/index.js');

const checkpoints = [1, 100, 200, 1_000, 3_000];
const targetCount = 24;
const objectCount = 120;
const workMs = 20;
const host = '127.0.0.1';
const nanosecondsPerMs = 1e6;

const {values: options, positionals: programs} = parseArgs({
  allowPositionals: true,
  options: {
    runs: {type: 'string', default: '3'},
    pace: {type: 'string', default: '100'},
    flags: {type: 'string'},
    profile: {type: 'string'},
  },
});
if (programs.length === 0) programs.push('target/cuminsill-gateway.js');

/** Flags of the runtime; by default those of the deployed program. */
function runtimeFlags() {
  if (options.flags !== undefined) return options.flags.split(' ');
  const [, flags = ''] =
    /^run = "node (.*) \S+"$/m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
  return flags.split(' ');
}

/** Processor time of all threads of a process, from its start, in milliseconds. */
function cpuTimeMs(processId) {
  const tasks = readdirSync(`/proc/${processId}/task`);
  const nanoseconds = tasks.map(task => {
    const [spent] = readFileSync(`/proc/${processId}/task/${task}/schedstat`, 'utf8').split(' ');
    return Number(spent);
  });
  return nanoseconds.reduce((sum, value) => sum + value, 0) / nanosecondsPerMs;
}

function peakMemoryMb(processId) {
  const [, kilobytes] =
    /^VmHWM:\s+(\d+)/m.exec(readFileSync(`/proc/${processId}/status`, 'utf8')) ?? [];
  return Number(kilobytes) / 1024;
}

async function startPlatform() {
  const store = new standins.ObjectStoreServer();
  const storePort = await store.start();
  store.table.create('config', 'main', {spec: standins.wireConfiguration(1)});
  const endpoints = [];
  for (let number = 0; number < targetCount; number += 1) {
    const endpoint = new standins.EndpointServer({
      id: `i-${number}`,
      slots: 6,
      queueLength: 18,
      workMs,
      script: [],
    });
    const port = await endpoint.start();
    store.table.create('servers', `i-${number}`, {spec: standins.wireEndpoint(port, {})});
    endpoints.push(endpoint);
  }
  return {storePort, stop: () => [store, ...endpoints].forEach(server => server.stop())};
}

function request(port, path, headers, agent) {
  return new Promise(resolve => {
    const call = http.get({host, port, path, headers, agent}, response => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
      response.on('error', () => resolve(0));
    });
    call.on('error', () => resolve(0));
  });
}

/** Sends requests at a steady pace, and calls `onAnswered` with the number of successful ones so far. */
async function sendLoad(port, count, onAnswered) {
  const agent = new http.Agent({keepAlive: true});
  const startMs = performance.now();
  const calls = [];
  let answered = 0;
  for (let number = 0; number < count; number += 1) {
    await wait(Math.max(0, startMs + (number * 1_000) / Number(options.pace) - performance.now()));
    const headers = {
      Host: 'one.example',
      'Request-Id': `r-${number}`,
      'Deadline-Ms': '2000',
      Cookie: `Affinity-Key=${(number * 7) % objectCount}`,
    };
    const call = request(port, '/read/x', headers, agent).then(status => {
      if (status !== 200) return;
      answered += 1;
      onAnswered(answered);
    });
    calls.push(call);
  }
  await Promise.all(calls);
  agent.destroy();
}

async function measure(program) {
  const platform = await startPlatform();
  const [front, ready, directory, peer, metrics] = await standins.findFreePorts(host, 5);
  const template = readFileSync(standins.settingsTemplateFile, 'utf8');
  const ports = {front, ready, directory, peer, metrics, store: platform.storePort};
  const settingsFile = join(mkdtempSync(join(tmpdir(), 'cuminsill-')), 'settings.json');
  writeFileSync(
    settingsFile,
    standins.renderGatewaySettings(template, host, ports, standins.defaultPlacement),
  );
  const profileFlags =
    options.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${options.profile}`];
  const startedAtMs = performance.now();
  const child = spawn(
    process.execPath,
    [...runtimeFlags(), ...profileFlags, program, '--settings', settingsFile],
    {stdio: ['ignore', 'ignore', 'inherit']},
  );
  const exited = new Promise(resolve => child.once('exit', resolve));
  while ((await request(ready, '/cuminsill/ready', {})) !== 200) await wait(2);
  const row = {program, readyMs: performance.now() - startedAtMs, ready: cpuTimeMs(child.pid)};
  await sendLoad(front, checkpoints.at(-1), answered => {
    if (checkpoints.includes(answered)) row[answered] = cpuTimeMs(child.pid);
  });
  row.peakMb = peakMemoryMb(child.pid);
  child.kill('SIGTERM');
  await exited;
  platform.stop();
  return row;
}

const rows = [];
for (let run = 0; run < Number(options.runs); run += 1) {
  for (const program of programs) rows.push(await measure(program));
}
const columns = ['readyMs', 'ready', ...checkpoints, 'peakMb'];
const medianOf = values => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)];
console.log(
  `median of ${options.runs} runs; processor time in ms, until ready and until the Nth answer`,
);
for (const program of programs) {
  const own = rows.filter(row => row.program === program);
  const cells = columns.map(
    column => `${column} ${medianOf(own.map(row => row[column])).toFixed(0)}`,
  );
  console.log(`${program}: ${cells.join(', ')}`);
}
process.exit(0);
