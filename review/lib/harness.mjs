/**
 * Starts what a case needs: the stand-in store, and gateway processes with the command and the settings template of the
 * deploy file. Everything listens on loopback addresses. Kills each process that it has started when the case ends.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import * as http from 'node:http';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const require = createRequire(import.meta.url);
export const root = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
export const standins = require(join(root, 'review/dist/standins.js'));

export const exitCodes = {held: 0, broken: 1, couldNotRun: 2};

/** False when the case runs without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Bounds of `bpp-cuminsill`, as far as the template of the settings uses them. */
const bounds = {
  stabilityMs: 4_000,
  graceS: 6,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 60,
  coldOvershoot: 1.5,
  coldSlack: 5,
  ttl_max_s: 5,
};

const startTimeoutMs = 15_000;
const pollIntervalMs = 20;

/** Words of the `run` line of the deploy file. */
function deployedCommand() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const [, line = ''] = /^run = "(.*)"$/m.exec(text) ?? [];
  return line.split(' ');
}

/** The processes, the directory and the log of one case. */
export class Case {
  records = [];
  children = new Set();
  stops = [];
  startedAtMs = performance.now();
  directory = mkdtempSync(join(tmpdir(), 'review-'));

  constructor(folder) {
    this.recordFile = join(root, folder, 'record.txt');
  }

  /** Adds a line to the record. */
  note(text) {
    const seconds = ((performance.now() - this.startedAtMs) / 1000).toFixed(3);
    this.records.push(`${seconds} ${text}`);
  }

  /** Starts the store with a configuration. */
  async startStore(configuration) {
    this.store = new standins.ObjectStoreServer();
    this.storePort = await this.store.start();
    this.store.table.create('config', 'main', {spec: configuration});
    this.stops.push(() => this.store.stop());
  }

  /** Registers an endpoint in the store. */
  register(id, address, changes = {}) {
    const spec = {...standins.wireEndpoint(0, changes), address};
    this.store.table.create('servers', id, {spec});
  }

  /** Starts a gateway process on a loopback address of its own and waits until it is ready. */
  async startGateway(name, host, options = {}) {
    const {zone = 'a-1', zones = {'a-1': 'a'}, boundChanges = {}} = options;
    /** A proxy of the case may stand before the store. */
    const {storePort = this.storePort} = options;
    const ports = await standins.findFreePorts(host, 4);
    const [front, ready, directory, peer] = ports;
    const fields = {
      nodeName: name,
      ip: host,
      zone,
      region: zones[zone],
      internalPorts: [peer, peer],
      zones,
      listen: {
        front: `${host}:${front}`,
        ready: `${host}:${ready}`,
        directory: `${host}:${directory}`,
      },
      bounds: {...bounds, ...boundChanges},
      platform: {address: `127.0.0.1:${storePort}`},
    };
    const template = readFileSync(join(root, 'platform/gateway_settings.json.template'), 'utf8');
    const settingsFile = join(this.directory, `${name}.json`);
    writeFileSync(settingsFile, standins.renderTemplate(template, fields));
    const gateway = {name, host, front, ready, directory, peer, settingsFile};
    await this.launch(gateway);
    return gateway;
  }

  /** Starts the process of a gateway, or starts it again. */
  async launch(gateway) {
    const [program, ...words] = deployedCommand();
    gateway.output = '';
    gateway.exit = undefined;
    const child = spawn(program, words, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        CUMINSILL_SETTINGS: gateway.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.children.add(child);
    gateway.child = child;
    const collect = data => (gateway.output = (gateway.output + data).slice(-400_000));
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    gateway.exited = new Promise(done =>
      child.once('exit', (code, signal) => {
        this.children.delete(child);
        gateway.exit = {code, signal};
        this.note(`${gateway.name} (process ${child.pid}) ended: code ${code}, signal ${signal}`);
        done(gateway.exit);
      }),
    );
    this.note(`${gateway.name} started as process ${child.pid}`);
    const endMs = performance.now() + startTimeoutMs;
    while ((await getStatus(gateway.host, gateway.ready, '/cuminsill/ready')) !== 200) {
      if (gateway.exit !== undefined || performance.now() > endMs) {
        throw new Error(`${gateway.name} did not become ready: ${gateway.output.slice(-2000)}`);
      }
      await wait(pollIntervalMs);
    }
  }

  /** Ends everything and writes the record. */
  async end() {
    for (const child of this.children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    for (const stop of this.stops) await stop();
    rmSync(this.directory, {recursive: true, force: true});
    writeFileSync(this.recordFile, `${this.records.join('\n')}\n`);
  }
}

/** Runs a case: `body` returns whether the rule was broken. */
export async function runCase(folder, body) {
  const current = new Case(folder);
  let code = exitCodes.couldNotRun;
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => {
      current.note(`ended by ${signal}`);
      void current.end().then(() => process.exit(exitCodes.couldNotRun));
    });
  }
  try {
    const isBroken = await body(current);
    current.note(isBroken ? 'verdict: the rule was broken' : 'verdict: the rule held');
    code = isBroken ? exitCodes.broken : exitCodes.held;
  } catch (error) {
    current.note(`could not run: ${error.stack}`);
  }
  await current.end();
  console.log(current.records.at(-1));
  process.exit(code);
}

/** Status of a page; 0 without an answer. */
export function getStatus(host, port, path) {
  return new Promise(done => {
    const request = http.get({host, port, path, agent: false, timeout: 1_000}, response => {
      response.resume();
      done(response.statusCode);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => done(0));
  });
}
