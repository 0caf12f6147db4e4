/** What the programs of this package share. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {InvalidDataError} from '@cuminsill/validation';

/** Version of this package. */
export function packageVersion(): string {
  const file = join(__dirname, '../package.json');
  return (JSON.parse(readFileSync(file, 'utf8')) as {readonly version: string}).version;
}

/** Prints an error; the exit code is 2 for a file that is not valid, otherwise 1. */
export function failProgram(error: unknown): void {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = error instanceof InvalidDataError ? 2 : 1;
}
