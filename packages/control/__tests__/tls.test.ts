import {readFileSync, rmSync} from 'node:fs';
import type {Logger} from '@cuminsill/logger';
import {PeerClients, StatusService} from '@cuminsill/protocol';
import {processLoopbackAddress} from '@cuminsill/standins';
import {
  makeAuthority,
  makeTlsDirectory,
  writeCertificate,
  writeText,
} from '../../validation/__fixtures__/tls_files';
import type {CertificateFiles} from '../../validation/__fixtures__/tls_files';
import {ControlFixture, peerKey, tokens} from '../__fixtures__/control_fixture';

const directory = makeTlsDirectory();
const control = new ControlFixture();
const logRecords: string[] = [];
const logger: Logger = {stateChange: (...record) => void logRecords.push(JSON.stringify(record))};
const errorTexts: string[] = [];
let caFile: string;
let otherCaFile: string;
let ownFiles: CertificateFiles;
let peerFiles: CertificateFiles;
let foreignFiles: CertificateFiles;

beforeAll(async () => {
  const [authority, otherAuthority] = await Promise.all([
    makeAuthority('own'),
    makeAuthority('other'),
  ]);
  caFile = writeText(directory, 'ca.pem', authority.cert);
  otherCaFile = writeText(directory, 'other-ca.pem', otherAuthority.cert);
  const ip = processLoopbackAddress();
  ownFiles = await writeCertificate(directory, 'instance', authority, ip);
  peerFiles = await writeCertificate(directory, 'peer', authority, ip);
  foreignFiles = await writeCertificate(directory, 'stranger', otherAuthority, ip);
  await control.start({peerTls: {...ownFiles, caFile}, operatorTls: ownFiles}, logger);
});

afterAll(async () => {
  await control.stop();
  rmSync(directory, {recursive: true});
});

/** Fetches the status over the peer port; returns the configuration version, or undefined if the call fails. */
async function getStatusAsPeer(tls: ConstructorParameters<typeof PeerClients>[0]['tls']) {
  const clients = new PeerClients({peerKey, tls, timeoutMs: 20_000});
  try {
    const reply = await clients.clientFor(StatusService, control.settings.peers).getStatus({});
    return reply.configVersion;
  } catch (error) {
    errorTexts.push(String(error));
    return undefined;
  } finally {
    clients.close();
  }
}

// Guards against a peer port that accepts everyone who knows the key, with or without a certificate.
it.each<[string, () => ConstructorParameters<typeof PeerClients>[0]['tls'], bigint | undefined]>([
  ['a certificate of the authority', () => ({...peerFiles, caFile}), 0n],
  ['a certificate of another authority', () => ({...foreignFiles, caFile}), undefined],
  ['no TLS', () => undefined, undefined],
  ['trust in another authority only', () => ({...peerFiles, caFile: otherCaFile}), undefined],
])('accepts a peer only with a certificate of its authority: %s', async (_name, tls, expected) => {
  expect(await getStatusAsPeer(tls())).toBe(expected);
});

it('refuses a peer without a certificate', async () => {
  const http2 = await import('node:http2');
  const {host, port} = control.settings.peers;
  const session = http2.connect(`https://${host}:${port}`, {ca: readFileSync(caFile)});
  const error = await new Promise<Error>(resolve => {
    session.on('error', resolve);
    const stream = session.request({':method': 'POST', ':path': '/'});
    stream.on('error', resolve);
    stream.on('response', () => resolve(new Error('answered')));
    stream.end();
  });
  session.destroy();
  expect(error.message).not.toBe('answered');
});

// Guards against operator tokens that are sent unencrypted.
it('answers operators over TLS only', async () => {
  const request = {path: '/v1/status', token: tokens.viewer};
  expect((await control.sendRequest(request, {ca: readFileSync(caFile)})).status).toBe(200);
  const untrustedCalls = [
    control.sendRequest(request),
    control.sendRequest(request, {ca: readFileSync(otherCaFile)}),
  ];
  for (const call of untrustedCalls) {
    errorTexts.push(
      String(
        await call.then(
          () => 'answered',
          (error: unknown) => error,
        ),
      ),
    );
  }
  expect(errorTexts).not.toContain('answered');
});

// Guards against secrets in logs and error messages.
it('writes no key and no token to logs and error messages', () => {
  expect(errorTexts.length).toBeGreaterThan(0);
  const written = [...logRecords, ...errorTexts].join('\n');
  const keys = [ownFiles, peerFiles, foreignFiles].flatMap(({keyFile}) =>
    readFileSync(keyFile, 'utf8').trim().split('\n').slice(1, -1),
  );
  for (const secret of [peerKey, tokens.viewer, tokens.operator, ...keys]) {
    expect(written).not.toContain(secret);
  }
});
