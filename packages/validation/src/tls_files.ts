/** Checks the files that TLS settings name, so that a daemon with a wrong one stops before it listens. */
import {createPrivateKey, X509Certificate} from 'node:crypto';
import type {KeyObject} from 'node:crypto';
import {readFileSync} from 'node:fs';
import type {FieldProblem} from './decode';
import {InvalidDataError} from './decode';
import type {TlsSettings} from './settings';

/** Settings of a daemon that name TLS files. */
export interface SettingsWithTls {
  readonly peerTls?: TlsSettings;
  readonly operatorTls?: TlsSettings;
}

/**
 * Throws InvalidDataError unless every certificate and key can be read and each key fits its certificate. No part
 * of a file's content appears in the error.
 * @param source What was checked, for example a file name.
 */
export function checkTlsFiles(source: string, settings: SettingsWithTls): void {
  const problems = (['peerTls', 'operatorTls'] as const).flatMap(field => {
    const tls = settings[field];
    return tls === undefined ? [] : problemsOf(field, tls);
  });
  if (problems.length > 0) throw new InvalidDataError(source, problems);
}

function problemsOf(field: string, tls: TlsSettings): readonly FieldProblem[] {
  const certificate = load(`${field}.certFile`, tls.certFile, certificateIn, 'a certificate');
  const key = load(`${field}.keyFile`, tls.keyFile, createPrivateKey, 'a private key');
  const authority =
    tls.caFile === undefined
      ? undefined
      : load(`${field}.caFile`, tls.caFile, certificateIn, 'the certificate of an authority');
  const found = [certificate, key, authority].flatMap(one =>
    one === undefined || one.problem === undefined ? [] : [one.problem],
  );
  if (found.length > 0 || fits(certificate.content, key.content)) return found;
  const fix = `name the key of the certificate in ${field}.certFile`;
  return [{field: `${field}.keyFile`, value: tls.keyFile, fix}];
}

interface Loaded<A> {
  readonly content?: A;
  readonly problem?: FieldProblem;
}

function load<A>(
  field: string,
  file: string,
  parse: (content: Buffer) => A,
  what: string,
): Loaded<A> {
  let content: Buffer;
  try {
    content = readFileSync(file);
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? 'unknown error';
    return {problem: {field, value: file, fix: `name a file that can be read (${reason})`}};
  }
  try {
    return {content: parse(content)};
  } catch {
    return {problem: {field, value: file, fix: `name a PEM file with ${what}`}};
  }
}

function certificateIn(content: Buffer): X509Certificate {
  return new X509Certificate(content);
}

function fits(certificate: X509Certificate | undefined, key: KeyObject | undefined): boolean {
  return certificate === undefined || key === undefined || certificate.checkPrivateKey(key);
}
