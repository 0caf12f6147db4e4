/** Exit codes of `cuminsill`, and errors that carry one. `docs/cli.md` lists them. */
import type {ErrorBody} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';

/** Exit codes by name. */
export const exitCodes = {
  done: 0,
  /** The system refused the request, or the operator did not confirm. Nothing was changed. */
  refused: 1,
  /** Invalid arguments, or a missing or invalid file. Nothing was sent. */
  usage: 2,
  /** No server was reached. Nothing was changed. */
  unreachable: 3,
  /** The configuration has changed since the plan was made. Nothing was changed. */
  conflict: 4,
  /** The change may or may not be in force; confirming the same plan again is safe. */
  unknown: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Error that ends the command with an exit code and a message. */
export class CliError extends Error {
  override readonly name = 'CliError';

  /**
   * @param exitCode Exit code of the process.
   * @param message Text for standard error.
   * @param body Error body of the answer, if there was one.
   */
  constructor(
    readonly exitCode: ExitCode,
    message: string,
    readonly body?: ErrorBody,
  ) {
    super(message);
  }
}

/** Returns the exit code for an error body; `changesState` is true for requests that can change the configuration. */
export function exitCodeOf(body: ErrorBody, changesState: boolean): ExitCode {
  if (body.code === resultCodes.planConflict.code) return exitCodes.conflict;
  if (changesState && body.outcome === 'unknown') return exitCodes.unknown;
  return exitCodes.refused;
}
