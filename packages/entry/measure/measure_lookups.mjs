/**
 * Measures what look-ups cost an entry: the client-block table by number of blocks, the prepared answers by number of
 * members, and the resident memory of idle processes. Run with `npm run measure:lookups`.
 */
import {spawn} from 'node:child_process';
import console from 'node:console';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';
import entry from '@cuminsill/entry';
import utils from '@cuminsill/utils';

const blockCounts = [130, 1_300, 13_000, 130_000];
const memberCounts = [10, 100, 1_000, 3_500];
const regionCount = 21;
const serviceCount = 4;
const lookups = 1_000_000;
const rebuilds = 15;
const idleS = 5;

function heapBytes() {
  globalThis.gc();
  return process.memoryUsage().heapUsed;
}

function median(values) {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

function cpuMs(run) {
  const start = process.cpuUsage();
  run();
  const used = process.cpuUsage(start);
  return (used.user + used.system) / 1000;
}

function addressOf(value) {
  return [24, 16, 8, 0].map(shift => (value >>> shift) & 255).join('.');
}

/** Blocks of 16 to 24 bits, as allocations to networks have them. */
function makeBlocks(count, random) {
  return Array.from({length: count}, () => ({
    prefix: `${addressOf(Math.floor(random.next() * 0x1_0000_0000))}/${16 + Math.floor(random.next() * 9)}`,
    regionId: `region-${Math.floor(random.next() * regionCount)}`,
  }));
}

function measureBlocks(count) {
  const random = utils.seededRandom(1);
  const blocks = makeBlocks(count, random);
  const addresses = Array.from({length: 4096}, (_, index) =>
    index % 2 === 0
      ? addressOf(Math.floor(random.next() * 0x1_0000_0000))
      : blocks[Math.floor(random.next() * count)].prefix.split('/')[0],
  );
  new entry.ClientBlockTable(blocks);
  const before = heapBytes();
  let table;
  const buildMs = cpuMs(() => (table = new entry.ClientBlockTable(blocks)));
  const tableBytes = heapBytes() - before;
  let found = 0;
  const run = () => {
    for (let index = 0; index < lookups; index += 1) {
      if (table.regionOf(addresses[index & 4095]) !== undefined) found += 1;
    }
  };
  run();
  const lookupNs = (cpuMs(run) * 1e6) / lookups;
  return {
    blocks: count,
    buildMs: round(buildMs),
    tableBytes,
    lookupNs: Math.round(lookupNs),
    foundPercent: Math.round((50 * found) / lookups),
  };
}

function makeMembers(count) {
  return Array.from({length: count}, (_, index) => {
    const address = port => ({host: `10.0.${index >> 8}.${index & 255}`, port});
    const regionId = `region-${index % regionCount}`;
    return {
      instance: {
        id: `instance-${index}`,
        regionId,
        failureDomainId: `${regionId}-${index % 3}`,
        callerAddress: address(7000),
        entryPeerAddress: address(7001),
        controlPeerAddress: address(7002),
      },
      state: 'serving',
      reachability: 'reachable',
      incarnation: 1,
      configVersion: 1,
    };
  });
}

function makeConfiguration() {
  const regions = Array.from({length: regionCount}, (_, index) => ({id: `region-${index}`}));
  const links = regions.flatMap((from, a) =>
    regions
      .filter((_, b) => a !== b)
      .map((to, b) => ({
        fromRegionId: from.id,
        toRegionId: to.id,
        oneWayLatencyMs: 5 + ((a + b) % 17) * 5,
      })),
  );
  const services = Array.from({length: serviceCount}, (_, index) => ({id: `service-${index}`}));
  return {version: 1, catalog: {regions, links, services}, intents: []};
}

function measureAnswers(count) {
  const members = makeMembers(count);
  const configuration = makeConfiguration();
  const answers = new entry.LookupAnswers(5);
  const before = heapBytes() + process.memoryUsage().arrayBuffers;
  answers.rebuild(configuration, members);
  const answerBytes = heapBytes() + process.memoryUsage().arrayBuffers - before;
  const rebuildMs = [];
  for (let run = 0; run < rebuilds; run += 1) {
    rebuildMs.push(cpuMs(() => answers.rebuild(configuration, members)));
  }
  const run = () => {
    for (let index = 0; index < lookups; index += 1)
      answers.answerFor(`region-${index % regionCount}`);
  };
  run();
  return {
    members: count,
    rebuildMs: round(median(rebuildMs)),
    rebuildMaxMs: round(Math.max(...rebuildMs)),
    answerBytes,
    answerNs: Math.round((cpuMs(run) * 1e6) / lookups),
  };
}

function round(value) {
  return Math.round(value * 100) / 100;
}

function residentBytes(pid) {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) * 1024;
}

/** Memory of a daemon without a configuration and without peers, a few seconds after its start. */
async function measureIdle(name, settings) {
  const directory = mkdtempSync(join(tmpdir(), 'cuminsill-idle-'));
  const file = join(directory, `${name}.json`);
  writeFileSync(file, JSON.stringify(settings));
  const program = fileURLToPath(new URL(`../../${name}/dist/bin/${name}.js`, import.meta.url));
  const child = spawn(process.execPath, [program, '--settings', file], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  try {
    await new Promise(resolve => child.stdout.once('data', resolve));
    await sleep(idleS * 1000);
    return {process: name, residentBytes: residentBytes(child.pid)};
  } finally {
    child.kill('SIGKILL');
    rmSync(directory, {recursive: true});
  }
}

async function measureBareNode() {
  const child = spawn(process.execPath, ['-e', 'setInterval(() => 0, 1000)'], {stdio: 'ignore'});
  try {
    await sleep(idleS * 1000);
    return {process: 'node without a program', residentBytes: residentBytes(child.pid)};
  } finally {
    child.kill('SIGKILL');
  }
}

async function measureIdleProcesses() {
  const address = port => ({host: '127.0.0.1', port});
  const instance = {id: 'idle', regionId: 'region-0', failureDomainId: 'region-0-a'};
  const peerKey = 'measure-key-0123456789';
  const control = {
    instance,
    peerKey,
    callers: address(23_900),
    entryPeers: address(23_901),
    peers: address(23_902),
    operators: address(23_903),
    store: address(23_904),
  };
  const entrySettings = {
    instance,
    peerKey,
    callers: address(23_900),
    peers: address(23_901),
    control: address(23_902),
  };
  return [
    await measureBareNode(),
    await measureIdle('control', control),
    await measureIdle('entry', entrySettings),
  ];
}

const blocks = blockCounts.map(measureBlocks);
console.table(blocks);
const answers = memberCounts.map(measureAnswers);
console.table(answers);
const idle = await measureIdleProcesses();
console.table(idle);
console.log(JSON.stringify({measurement: 'lookups', node: process.version, blocks, answers, idle}));
