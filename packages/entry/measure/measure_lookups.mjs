/**
 * Measures the cost of look-ups at an entry: processor time and memory of the client block table by number of blocks, of
 * the look-up answers by number of members, and the resident memory of idle processes. Run it with
 * `npm run measure:lookups`.
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
const lookupsPerRun = 1_000_000;
const rebuildCount = 15;
const idleDelayS = 5;

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

/** Random blocks with prefixes of 16 to 24 bits, the usual lengths of allocations to networks. */
function makeBlocks(count, random) {
  return Array.from({length: count}, () => ({
    prefix: `${addressOf(Math.floor(random.next() * 0x1_0000_0000))}/${16 + Math.floor(random.next() * 9)}`,
    regionId: `region-${Math.floor(random.next() * regionCount)}`,
  }));
}

function measureClientBlockTable(count) {
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
  let foundCount = 0;
  const runLookups = () => {
    for (let index = 0; index < lookupsPerRun; index += 1) {
      if (table.regionOf(addresses[index & 4095]) !== undefined) foundCount += 1;
    }
  };
  runLookups();
  const lookupNs = (cpuMs(runLookups) * 1e6) / lookupsPerRun;
  return {
    blocks: count,
    buildMs: round(buildMs),
    tableBytes,
    lookupNs: Math.round(lookupNs),
    foundPercent: Math.round((50 * foundCount) / lookupsPerRun),
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

function measureLookupAnswers(count) {
  const members = makeMembers(count);
  const configuration = makeConfiguration();
  const answers = new entry.LookupAnswers(5);
  const before = heapBytes() + process.memoryUsage().arrayBuffers;
  answers.rebuild(configuration, members);
  const answerBytes = heapBytes() + process.memoryUsage().arrayBuffers - before;
  const rebuildMs = [];
  for (let run = 0; run < rebuildCount; run += 1) {
    rebuildMs.push(cpuMs(() => answers.rebuild(configuration, members)));
  }
  const runLookups = () => {
    for (let index = 0; index < lookupsPerRun; index += 1)
      answers.answerFor(`region-${index % regionCount}`);
  };
  runLookups();
  return {
    members: count,
    rebuildMs: round(median(rebuildMs)),
    rebuildMaxMs: round(Math.max(...rebuildMs)),
    answerBytes,
    answerNs: Math.round((cpuMs(runLookups) * 1e6) / lookupsPerRun),
  };
}

function round(value) {
  return Math.round(value * 100) / 100;
}

function residentBytes(pid) {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) * 1024;
}

/** Resident memory of a daemon that has no configuration and no peers, a few seconds after its start. */
async function measureIdleProcess(name, settings) {
  const directory = mkdtempSync(join(tmpdir(), 'cuminsill-idle-'));
  const file = join(directory, `${name}.json`);
  writeFileSync(file, JSON.stringify(settings));
  const program = fileURLToPath(new URL(`../../${name}/dist/bin/${name}.js`, import.meta.url));
  const child = spawn(process.execPath, [program, '--settings', file], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  try {
    await new Promise(resolve => child.stdout.once('data', resolve));
    await sleep(idleDelayS * 1000);
    return {process: name, residentBytes: residentBytes(child.pid)};
  } finally {
    child.kill('SIGKILL');
    rmSync(directory, {recursive: true});
  }
}

async function measureBareNode() {
  const child = spawn(process.execPath, ['-e', 'setInterval(() => 0, 1000)'], {stdio: 'ignore'});
  try {
    await sleep(idleDelayS * 1000);
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
    await measureIdleProcess('control', control),
    await measureIdleProcess('entry', entrySettings),
  ];
}

const blocks = blockCounts.map(measureClientBlockTable);
console.table(blocks);
const answers = memberCounts.map(measureLookupAnswers);
console.table(answers);
const idle = await measureIdleProcesses();
console.table(idle);
console.log(JSON.stringify({measurement: 'lookups', node: process.version, blocks, answers, idle}));
