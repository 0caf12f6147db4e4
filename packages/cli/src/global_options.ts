/** Options that every command takes, and what they lead to. */
import {readFileSync} from 'node:fs';
import {isIP} from 'node:net';
import type {SocketAddress} from '@cuminsill/types';
import {InvalidArgumentError} from 'commander';
import {ApiClient, formatAddress} from './api_client';
import type {CliIo} from './cli_io';
import {CliError, exitCodes} from './exit_codes';

/** Forms of output. */
export type OutputForm = 'json' | 'table';

/** Options of all commands, as commander gives them. */
export interface GlobalOptions {
  readonly server: readonly SocketAddress[];
  readonly tokenFile?: string;
  readonly ca?: string;
  readonly output: OutputForm;
  readonly timeoutS: number;
}

const tokenVariable = 'CUMINSILL_TOKEN';

/** Reads a text file. Throws {@link CliError} that names the file. */
export function readTextFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new CliError(exitCodes.usage, `cannot read ${path}: ${messageOf(error)}`);
  }
}

/** Reads a JSON file. Throws {@link CliError} that names the file. */
export function readJsonFile(path: string): unknown {
  const text = readTextFile(path);
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    throw new CliError(exitCodes.usage, `${path} is not valid JSON: ${messageOf(error)}`);
  }
}

/** Parses `host:port` or `[address]:port`. Throws {@link CliError}. */
export function parseServer(text: string): SocketAddress {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  if (host === undefined || port < 1 || port > 65_535) {
    throw new CliError(
      exitCodes.usage,
      `--server "${text}" is not an address; use host:port, for example 127.0.0.1:20003`,
    );
  }
  return {host, port};
}

/** Parses a number of seconds of an option. Throws InvalidArgumentError. */
export function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (seconds > 0 && seconds <= 3600) return seconds;
  throw new InvalidArgumentError('use a number of seconds above 0 and at most 3600');
}

/** Makes the client of the operators' API. Throws {@link CliError} when a server or a file is missing. */
export function makeApiClient(options: GlobalOptions, io: CliIo): ApiClient {
  const token = readToken(options, io);
  if (token !== undefined && options.ca === undefined) warnAboutPlainText(options.server, io);
  return new ApiClient({
    servers: requireServers(options),
    token,
    ca: options.ca === undefined ? undefined : readTextFile(options.ca),
    timeoutMs: options.timeoutS * 1000,
  });
}

/** Makes a client of the callers' port of entry instances; the operator's token is not sent there. */
export function makeCallerClient(options: GlobalOptions): ApiClient {
  return new ApiClient({servers: requireServers(options), timeoutMs: options.timeoutS * 1000});
}

function requireServers(options: GlobalOptions): readonly SocketAddress[] {
  if (options.server.length > 0) return options.server;
  throw new CliError(exitCodes.usage, 'no server is given; use --server host:port');
}

function readToken(options: GlobalOptions, io: CliIo): string | undefined {
  const token =
    options.tokenFile === undefined
      ? io.environment[tokenVariable]
      : readTextFile(options.tokenFile).trim();
  if (token === undefined) return undefined;
  if (/^[\x21-\x7e]+$/.test(token)) return token;
  const source = options.tokenFile ?? `the variable ${tokenVariable}`;
  throw new CliError(
    exitCodes.usage,
    `${source} does not hold a token; it must be one line of printable characters without spaces`,
  );
}

function warnAboutPlainText(servers: readonly SocketAddress[], io: CliIo): void {
  const remote = servers.find(server => !isLoopback(server.host));
  if (remote === undefined) return;
  io.printError(
    `warning: the token is sent to ${formatAddress(remote)} without encryption; use --ca for TLS\n`,
  );
}

function isLoopback(host: string): boolean {
  return host === 'localhost' || host === '::1' || (isIP(host) === 4 && host.startsWith('127.'));
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
