import {readFileSync, rmSync} from 'node:fs';
import type {Logger} from '@cuminsill/logger';
import {PeerClients, StatusService} from '@cuminsill/protocol';
import {ownLoopbackAddress} from '@cuminsill/standins';
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
const lines: string[] = [];
const logger: Logger = {stateChange: (...line) => void lines.push(JSON.stringify(line))};
const errors: string[] = [];
let caFile: string;
let otherCaFile: string;
let own: CertificateFiles;
let peer: CertificateFiles;
let stranger: CertificateFiles;

beforeAll(async () => {
  const [authority, other] = await Promise.all([makeAuthority('own'), makeAuthority('other')]);
  caFile = writeText(directory, 'ca.pem', authority.cert);
  otherCaFile = writeText(directory, 'other-ca.pem', other.cert);
  const ip = ownLoopbackAddress();
  own = await writeCertificate(directory, 'instance', authority, ip);
  peer = await writeCertificate(directory, 'peer', authority, ip);
  stranger = await writeCertificate(directory, 'stranger', other, ip);
  await control.start({peerTls: {...own, caFile}, operatorTls: own}, logger);
});

afterAll(async () => {
  await control.stop();
  rmSync(directory, {recursive: true});
});

/** Asks for the status over the peer port; returns the version, or undefined when the call fails. */
async function askAsPeer(tls: ConstructorParameters<typeof PeerClients>[0]['tls']) {
  const clients = new PeerClients({peerKey, tls, timeoutMs: 20_000});
  try {
    const reply = await clients.of(StatusService, control.settings.peers).getStatus({});
    return reply.configVersion;
  } catch (error) {
    errors.push(String(error));
    return undefined;
  } finally {
    clients.close();
  }
}

// Guards against a peer port that answers whoever knows the key, with or without a certificate.
it.each<[string, () => ConstructorParameters<typeof PeerClients>[0]['tls'], bigint | undefined]>([
  ['a certificate of the authority', () => ({...peer, caFile}), 0n],
  ['a certificate of another authority', () => ({...stranger, caFile}), undefined],
  ['no TLS', () => undefined, undefined],
  ['trust in another authority only', () => ({...peer, caFile: otherCaFile}), undefined],
])('treats a peer with %s', async (_name, tls, expected) => {
  expect(await askAsPeer(tls())).toBe(expected);
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

// Guards against operators' tokens that travel in the clear.
it('answers operators over TLS only', async () => {
  const request = {path: '/v1/status', token: tokens.viewer};
  expect((await control.ask(request, {ca: readFileSync(caFile)})).status).toBe(200);
  const refused = [control.ask(request), control.ask(request, {ca: readFileSync(otherCaFile)})];
  for (const answer of refused) {
    errors.push(
      String(
        await answer.then(
          () => 'answered',
          (error: unknown) => error,
        ),
      ),
    );
  }
  expect(errors).not.toContain('answered');
});

// Guards against secrets in logs and error texts.
it('writes no key and no token', () => {
  expect(errors.length).toBeGreaterThan(0);
  const written = [...lines, ...errors].join('\n');
  const keys = [own, peer, stranger].flatMap(({keyFile}) =>
    readFileSync(keyFile, 'utf8').trim().split('\n').slice(1, -1),
  );
  for (const secret of [peerKey, tokens.viewer, tokens.operator, ...keys]) {
    expect(written).not.toContain(secret);
  }
});
