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
let ownFiles: CertificateFiles;
let otherFiles: CertificateFiles;

beforeAll(async () => {
  const authority = await makeAuthority('authority');
  caFile = writeText(directory, 'ca.pem', authority.cert);
  ownFiles = await writeCertificate(directory, 'own', authority);
  otherFiles = await writeCertificate(directory, 'other', authority);
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

// Guards against a daemon that listens although its TLS files are unusable, so that peers cannot connect to it.
describe.each(['peerTls', 'operatorTls'] as const)('%s', field => {
  it.each<[string, () => Partial<TlsSettings>, string | undefined, string]>([
    ['valid files', () => ({}), undefined, ''],
    ['valid files with an authority', () => ({caFile}), undefined, ''],
    [
      'a missing certificate',
      () => ({certFile: missingFile()}),
      'certFile',
      'can be read (ENOENT)',
    ],
    ['a missing key', () => ({keyFile: missingFile()}), 'keyFile', 'can be read (ENOENT)'],
    ['a missing authority', () => ({caFile: missingFile()}), 'caFile', 'can be read (ENOENT)'],
    ['a directory', () => ({certFile: directory}), 'certFile', 'can be read (EISDIR)'],
    [
      'text as certificate',
      () => ({certFile: textFile()}),
      'certFile',
      'PEM file with a certificate',
    ],
    ['text as key', () => ({keyFile: textFile()}), 'keyFile', 'PEM file with a private key'],
    ['text as authority', () => ({caFile: textFile()}), 'caFile', 'PEM file with the certificate'],
    ['a certificate as key', () => ({keyFile: ownFiles.certFile}), 'keyFile', 'a private key'],
    ['a key as certificate', () => ({certFile: ownFiles.keyFile}), 'certFile', 'a certificate'],
    [
      'the key of another certificate',
      () => ({keyFile: otherFiles.keyFile}),
      'keyFile',
      'name the key of',
    ],
  ])('with %s', (_name, change, name, fix) => {
    const tls: TlsSettings = {...ownFiles, ...change()};
    const {problems, text: message} = problemsOf(field, tls);
    if (name === undefined) return expect(problems).toEqual([]);
    const expected = {
      field: `${field}.${name}`,
      value: tls[name as keyof TlsSettings],
      fix: expect.stringContaining(fix),
    };
    expect(problems).toEqual([expected]);
    for (const line of readFileSync(ownFiles.keyFile, 'utf8').trim().split('\n').slice(1, -1)) {
      expect(message).not.toContain(line);
    }
  });
});

function missingFile(): string {
  return join(directory, 'missing.pem');
}

function textFile(): string {
  return join(directory, 'text.pem');
}
