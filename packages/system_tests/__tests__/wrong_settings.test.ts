import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {DaemonName} from '../src';
import {DaemonProcess} from '../src';

jest.setTimeout(60_000);

const directory = mkdtempSync(join(tmpdir(), 'cuminsill-wrong-settings-'));
const secret = 'a-secret-that-must-not-be-written';

afterAll(() => rmSync(directory, {recursive: true}));

const address = {host: '127.0.0.1', port: 1};
const common = {
  instance: {id: 'instance-1', regionId: 'north', failureDomainId: 'north-1'},
  callers: address,
  peers: address,
  peerKey: secret,
};
const right = {
  entry: {...common, control: address},
  control: {...common, entryPeers: address, operators: address, store: address},
};
const tls = {certFile: '/missing/cert.pem', keyFile: '/missing/key.pem'};

// Guards against a daemon that listens with settings it cannot work with, or that prints a secret.
it.each<[DaemonName, string, object, string, string, string]>([
  ['entry', 'TLS files', {peerTls: tls}, 'peerTls.certFile', tls.certFile, 'name a file'],
  ['control', 'TLS files', {operatorTls: tls}, 'operatorTls.keyFile', tls.keyFile, 'name a file'],
  ['entry', 'a port', {callers: {...address, port: 0}}, 'callers.port', '0', 'whole number from 1'],
  ['control', 'a short key', {peerKey: 'short-key'}, 'peerKey', '***', 'at least 16 characters'],
])('stops %s with wrong %s before it listens', async (name, _what, change, field, value, fix) => {
  const file = join(directory, `${name}.json`);
  writeFileSync(file, JSON.stringify({...right[name], ...change}));
  const started = new DaemonProcess(name, file);
  expect(await started.untilEnded()).toMatchObject({code: 2});
  const line = started
    .written()
    .split('\n')
    .find(one => one.includes(`${field}: `));
  expect(line).toContain(value);
  expect(line).toContain(fix);
  expect(started.written()).not.toMatch(/"ready"|short-key|a-secret/);
});
