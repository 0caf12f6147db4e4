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
const commonSettings = {
  instance: {id: 'instance-1', regionId: 'north', failureDomainId: 'north-1'},
  callers: address,
  peers: address,
  peerKey: secret,
};
const validSettings = {
  entry: {...commonSettings, control: address},
  control: {...commonSettings, entryPeers: address, operators: address, store: address},
};
const tls = {certFile: '/missing/cert.pem', keyFile: '/missing/key.pem'};

// Guards against a daemon that starts listening with invalid settings, or that prints a secret.
it.each<[DaemonName, string, object, string, string, string]>([
  ['entry', 'missing TLS files', {peerTls: tls}, 'peerTls.certFile', tls.certFile, 'name a file'],
  [
    'control',
    'missing TLS files',
    {operatorTls: tls},
    'operatorTls.keyFile',
    tls.keyFile,
    'name a file',
  ],
  [
    'entry',
    'an invalid port',
    {callers: {...address, port: 0}},
    'callers.port',
    '0',
    'whole number from 1',
  ],
  ['control', 'a short key', {peerKey: 'short-key'}, 'peerKey', '***', 'at least 16 characters'],
])(
  '%s exits before it listens when its settings contain %s',
  async (name, _what, override, field, value, fix) => {
    const file = join(directory, `${name}.json`);
    writeFileSync(file, JSON.stringify({...validSettings[name], ...override}));
    const daemonProcess = new DaemonProcess(name, file);
    expect(await daemonProcess.waitUntilExited()).toMatchObject({code: 2});
    const line = daemonProcess
      .output()
      .split('\n')
      .find(candidate => candidate.includes(`${field}: `));
    expect(line).toContain(value);
    expect(line).toContain(fix);
    expect(daemonProcess.output()).not.toMatch(/"ready"|short-key|a-secret/);
  },
);
