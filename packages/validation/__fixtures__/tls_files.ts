/** Generates certificates and keys, and writes them to files in a temporary directory. */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {generate} from 'selfsigned';

/** A certificate with its private key, in PEM format. */
export interface CertificateWithKey {
  readonly cert: string;
  readonly key: string;
}

/** Paths of a certificate and its private key. */
export interface CertificateFiles {
  readonly certFile: string;
  readonly keyFile: string;
}

/** Creates a temporary directory and returns its path. */
export function makeTlsDirectory(): string {
  return mkdtempSync(join(tmpdir(), 'cuminsill-tls-'));
}

/** Generates a self-signed certificate authority. */
export async function makeAuthority(name: string): Promise<CertificateWithKey> {
  const generated = await generate([{name: 'commonName', value: name}], {
    keyType: 'ec',
    algorithm: 'sha256',
    extensions: [
      {name: 'basicConstraints', cA: true, critical: true},
      {name: 'keyUsage', keyCertSign: true, digitalSignature: true, critical: true},
    ],
  });
  return {cert: generated.cert, key: generated.private};
}

/** Generates a certificate for a loopback address, signed by the authority, and writes it with its key to files. */
export async function writeCertificate(
  directory: string,
  name: string,
  authority: CertificateWithKey,
  ip = '127.0.0.1',
): Promise<CertificateFiles> {
  const generated = await generate([{name: 'commonName', value: name}], {
    keyType: 'ec',
    algorithm: 'sha256',
    ca: authority,
    extensions: [
      {name: 'basicConstraints', cA: false},
      {name: 'subjectAltName', altNames: [{type: 7, ip}]},
    ],
  });
  return {
    certFile: writeText(directory, `${name}.cert.pem`, generated.cert),
    keyFile: writeText(directory, `${name}.key.pem`, generated.private),
  };
}

/** Writes a file and returns its path. */
export function writeText(directory: string, name: string, text: string): string {
  const file = join(directory, name);
  writeFileSync(file, text);
  return file;
}
