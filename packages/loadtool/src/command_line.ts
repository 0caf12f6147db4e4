/** Version and error handling of the command-line programs of this package. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {InvalidDataError} from '@cuminsill/validation';

/** Returns the version of this package from its `package.json`. */
export function packageVersion(): string {
  const file = join(__dirname, '../package.json');
  return (JSON.parse(readFileSync(file, 'utf8')) as {readonly version: string}).version;
}

/** Prints an error to standard error and sets the exit code: 2 for an invalid file, otherwise 1. */
export function reportFailure(error: unknown): void {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = error instanceof InvalidDataError ? 2 : 1;
}
