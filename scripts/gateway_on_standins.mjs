/** Runs a gateway process against stand-ins of the platform, for the build of the code cache and for measurements. */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import * as http from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';

const host = '127.0.0.1';
const targetCount = 24;
const workMs = 20;
const readinessPollMs = 2;

async function startPlatform(standins, configurationChanges) {
  const store = new standins.ObjectStoreServer();
  const storePort = await store.start();
  store.table.create('config', 'main', {
    spec: standins.wireConfiguration(1, configurationChanges),
  });
  const endpoints = [];
  for (let number = 0; number < targetCount; number += 1) {
    const id = `i-${number}`;
    const endpoint = new standins.EndpointServer({
      id,
      slots: 6,
      queueLength: 18,
      workMs,
      script: [],
    });
    const port = await endpoint.start();
    store.table.create('servers', id, {spec: standins.wireEndpoint(port, {})});
    endpoints.push(endpoint);
  }
  return {storePort, endpoints, stop: () => [store, ...endpoints].forEach(server => server.stop())};
}

/** Sends one request and returns its status; 0 if it got no answer. */
export function sendRequest(port, {path, method = 'GET', headers = {}, body, agent}) {
  return new Promise(resolve => {
    const request = http.request({host, port, path, method, headers, agent}, response => {
      response.resume();
      response.on('end', () => resolve(response.statusCode ?? 0));
      response.on('error', () => resolve(0));
    });
    request.on('error', () => resolve(0));
    request.end(body);
  });
}

/**
 * Starts the platform and a gateway, and waits until the gateway is ready.
 * @param standins Module with the stand-ins.
 * @param command Arguments of Node.js, up to the program and its options.
 * @param configurationChanges Fields of the configuration that differ from the default.
 */
export async function startGateway(standins, command, configurationChanges = {}) {
  const platform = await startPlatform(standins, configurationChanges);
  const [front, ready, directory, peer, metrics] = await standins.findFreePorts(host, 5);
  const ports = {front, ready, directory, peer, metrics, store: platform.storePort};
  const directoryName = mkdtempSync(join(tmpdir(), 'cuminsill-'));
  const settingsFile = join(directoryName, 'settings.json');
  const template = readFileSync(standins.settingsTemplateFile, 'utf8');
  writeFileSync(
    settingsFile,
    standins.renderGatewaySettings(template, host, ports, standins.defaultPlacement),
  );
  const child = spawn(process.execPath, [...command, '--settings', settingsFile], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  const exited = new Promise(resolve => child.once('exit', resolve));
  const stop = async () => {
    child.kill('SIGTERM');
    await exited;
    platform.stop();
    rmSync(directoryName, {recursive: true});
  };
  while ((await sendRequest(ready, {path: '/cuminsill/ready'})) !== 200) {
    if (child.exitCode !== null) throw new Error(`the gateway exited with code ${child.exitCode}`);
    await wait(readinessPollMs);
  }
  return {processId: child.pid, ports, endpoints: platform.endpoints, stop};
}
