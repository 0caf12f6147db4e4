import {readFileSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import type {CertificateFiles} from '../__fixtures__/tls_files';
import {
  makeAuthority,
  makeTlsDirectory,
  writeCertificate,
  writeText,
} from '../__fixtures__/tls_files';
import type {TlsSettings} from '../src';
import {checkTlsFiles, InvalidDataError} from '../src';

const directory = makeTlsDirectory();
let caFile: string;
let own: CertificateFiles;
let other: CertificateFiles;

beforeAll(async () => {
  const authority = await makeAuthority('authority');
  caFile = writeText(directory, 'ca.pem', authority.cert);
  own = await writeCertificate(directory, 'own', authority);
  other = await writeCertificate(directory, 'other', authority);
  writeText(directory, 'text.pem', 'no certificate');
});

afterAll(() => rmSync(directory, {recursive: true}));

function problemsOf(field: 'peerTls' | 'operatorTls', tls: TlsSettings) {
  try {
    checkTlsFiles('settings.json', {[field]: tls});
    return {problems: [], text: ''};
  } catch (error) {
    if (!(error instanceof InvalidDataError)) throw error;
    return {problems: error.problems, text: error.message};
  }
}

// Guards against a daemon that starts to listen and then cannot take part in the system.
describe.each(['peerTls', 'operatorTls'] as const)('%s', field => {
  it.each<[string, () => Partial<TlsSettings>, string | undefined, string]>([
    ['right files', () => ({}), undefined, ''],
    ['right files with an authority', () => ({caFile}), undefined, ''],
    ['a missing certificate', () => ({certFile: missing()}), 'certFile', 'can be read (ENOENT)'],
    ['a missing key', () => ({keyFile: missing()}), 'keyFile', 'can be read (ENOENT)'],
    ['a missing authority', () => ({caFile: missing()}), 'caFile', 'can be read (ENOENT)'],
    ['a directory', () => ({certFile: directory}), 'certFile', 'can be read (EISDIR)'],
    ['text as certificate', () => ({certFile: text()}), 'certFile', 'PEM file with a certificate'],
    ['text as key', () => ({keyFile: text()}), 'keyFile', 'PEM file with a private key'],
    ['text as authority', () => ({caFile: text()}), 'caFile', 'PEM file with the certificate'],
    ['a certificate as key', () => ({keyFile: own.certFile}), 'keyFile', 'a private key'],
    ['a key as certificate', () => ({certFile: own.keyFile}), 'certFile', 'a certificate'],
    ['the key of another', () => ({keyFile: other.keyFile}), 'keyFile', 'name the key of'],
  ])('with %s', (_name, change, name, fix) => {
    const tls: TlsSettings = {...own, ...change()};
    const {problems, text: message} = problemsOf(field, tls);
    if (name === undefined) return expect(problems).toEqual([]);
    const expected = {
      field: `${field}.${name}`,
      value: tls[name as keyof TlsSettings],
      fix: expect.stringContaining(fix),
    };
    expect(problems).toEqual([expected]);
    for (const line of readFileSync(own.keyFile, 'utf8').trim().split('\n').slice(1, -1)) {
      expect(message).not.toContain(line);
    }
  });
});

function missing(): string {
  return join(directory, 'missing.pem');
}

function text(): string {
  return join(directory, 'text.pem');
}
