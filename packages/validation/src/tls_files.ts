/** Checks the files that TLS settings name, so that a daemon with an invalid file exits before it listens. */
import {createPrivateKey, X509Certificate} from 'node:crypto';
import type {KeyObject} from 'node:crypto';
import {readFileSync} from 'node:fs';
import type {FieldProblem} from './decode';
import {InvalidDataError} from './decode';
import type {TlsSettings} from './settings';

/** The settings of a daemon that name TLS files. */
export interface SettingsWithTls {
  readonly peerTls?: TlsSettings;
  readonly operatorTls?: TlsSettings;
}

/**
 * Throws InvalidDataError unless every certificate and key can be read and each key matches its certificate. The
 * error contains no part of a file's content.
 * @param source Origin of the settings, for example a file name.
 */
export function checkTlsFiles(source: string, settings: SettingsWithTls): void {
  const problems = (['peerTls', 'operatorTls'] as const).flatMap(field => {
    const tls = settings[field];
    return tls === undefined ? [] : problemsOfTls(field, tls);
  });
  if (problems.length > 0) throw new InvalidDataError(source, problems);
}

function problemsOfTls(field: string, tls: TlsSettings): readonly FieldProblem[] {
  const certificate = loadFile(
    `${field}.certFile`,
    tls.certFile,
    parseCertificate,
    'a certificate',
  );
  const key = loadFile(`${field}.keyFile`, tls.keyFile, createPrivateKey, 'a private key');
  const authority =
    tls.caFile === undefined
      ? undefined
      : loadFile(
          `${field}.caFile`,
          tls.caFile,
          parseCertificate,
          'the certificate of an authority',
        );
  const problems = [certificate, key, authority].flatMap(loaded =>
    loaded === undefined || loaded.problem === undefined ? [] : [loaded.problem],
  );
  if (problems.length > 0 || isMatchingKey(certificate.content, key.content)) return problems;
  const fix = `name the key of the certificate in ${field}.certFile`;
  return [{field: `${field}.keyFile`, value: tls.keyFile, fix}];
}

interface LoadedFile<A> {
  readonly content?: A;
  readonly problem?: FieldProblem;
}

function loadFile<A>(
  field: string,
  file: string,
  parse: (content: Buffer) => A,
  expectedContent: string,
): LoadedFile<A> {
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
    return {problem: {field, value: file, fix: `name a PEM file with ${expectedContent}`}};
  }
}

function parseCertificate(content: Buffer): X509Certificate {
  return new X509Certificate(content);
}

function isMatchingKey(
  certificate: X509Certificate | undefined,
  key: KeyObject | undefined,
): boolean {
  return certificate === undefined || key === undefined || certificate.checkPrivateKey(key);
}
