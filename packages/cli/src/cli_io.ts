/** Input and output of commands, behind an interface that tests replace. */
import {createInterface} from 'node:readline/promises';

/** Output streams, terminal input, delays and environment variables. */
export interface CliIo {
  /** Writes to standard output. */
  print(text: string): void;
  /** Writes to standard error. */
  printError(text: string): void;
  /** Asks a question on the terminal and returns the answer; undefined when there is no terminal. */
  ask(question: string): Promise<string | undefined>;
  /** Waits for the duration; returns false when the command should end instead of continuing. */
  sleep(durationMs: number): Promise<boolean>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Streams and environment of the process. Questions go to standard error, so that standard output stays parseable. */
export const processIo: CliIo = {
  print: text => void process.stdout.write(text),
  printError: text => void process.stderr.write(text),
  ask: async question => {
    if (!process.stdin.isTTY) return undefined;
    const terminal = createInterface({input: process.stdin, output: process.stderr});
    try {
      return await terminal.question(question);
    } finally {
      terminal.close();
    }
  },
  sleep: durationMs => new Promise(resolve => setTimeout(() => resolve(true), durationMs)),
  environment: process.env,
};
