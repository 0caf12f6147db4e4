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
import console from 'node:console';
import {readdirSync, readFileSync} from 'node:fs';
import * as http from 'node:http';
import {createRequire} from 'node:module';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {sendRequest, startGateway} from './gateway_on_standins.mjs';
import {deployedRuntimeFlags} from './runtime_flags.mjs';

const require = createRequire(import.meta.url);
const standins = require('../packages/standins/dist/index.js');

const checkpoints = [1, 100, 200, 1_000, 3_000];
const objectCount = 120;
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
    const call = sendRequest(port, {path: '/read/x', headers, agent}).then(status => {
      if (status !== 200) return;
      answered += 1;
      onAnswered(answered);
    });
    calls.push(call);
  }
  await Promise.all(calls);
  agent.destroy();
}

function command(program) {
  const flags = options.flags === undefined ? deployedRuntimeFlags() : options.flags.split(' ');
  const profile =
    options.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${options.profile}`];
  return [...flags, ...profile, program];
}

async function measure(program) {
  const startedAtMs = performance.now();
  const gateway = await startGateway(standins, command(program));
  const {processId} = gateway;
  const row = {program, readyMs: performance.now() - startedAtMs, ready: cpuTimeMs(processId)};
  await sendLoad(gateway.ports.front, checkpoints.at(-1), answered => {
    if (checkpoints.includes(answered)) row[answered] = cpuTimeMs(processId);
  });
  row.peakMb = peakMemoryMb(processId);
  await gateway.stop();
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
