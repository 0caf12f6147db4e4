/** Certificates and keys in files of a directory of their own. */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {generate} from 'selfsigned';

/** A certificate with its key, in PEM format. */
export interface KeyPair {
  readonly cert: string;
  readonly key: string;
}

/** Files of one certificate. */
export interface CertificateFiles {
  readonly certFile: string;
  readonly keyFile: string;
}

/** Makes the directory of a test. */
export function makeTlsDirectory(): string {
  return mkdtempSync(join(tmpdir(), 'cuminsill-tls-'));
}

/** Makes an authority. */
export async function makeAuthority(name: string): Promise<KeyPair> {
  const made = await generate([{name: 'commonName', value: name}], {
    keyType: 'ec',
    algorithm: 'sha256',
    extensions: [
      {name: 'basicConstraints', cA: true, critical: true},
      {name: 'keyUsage', keyCertSign: true, digitalSignature: true, critical: true},
    ],
  });
  return {cert: made.cert, key: made.private};
}

/** Makes a certificate of the authority for a loopback address and writes it with its key. */
export async function writeCertificate(
  directory: string,
  name: string,
  authority: KeyPair,
  ip = '127.0.0.1',
): Promise<CertificateFiles> {
  const made = await generate([{name: 'commonName', value: name}], {
    keyType: 'ec',
    algorithm: 'sha256',
    ca: authority,
    extensions: [
      {name: 'basicConstraints', cA: false},
      {name: 'subjectAltName', altNames: [{type: 7, ip}]},
    ],
  });
  return {
    certFile: writeText(directory, `${name}.cert.pem`, made.cert),
    keyFile: writeText(directory, `${name}.key.pem`, made.private),
  };
}

/** Writes a file and returns its path. */
export function writeText(directory: string, name: string, text: string): string {
  const file = join(directory, name);
  writeFileSync(file, text);
  return file;
}
