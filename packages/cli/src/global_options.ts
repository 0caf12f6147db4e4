/** Options of all commands, and the clients and files that they refer to. */
import {readFileSync} from 'node:fs';
import {isIP} from 'node:net';
import type {SocketAddress} from '@cuminsill/types';
import {InvalidArgumentError} from 'commander';
import {ApiClient, formatAddress} from './api_client';
import type {CliIo} from './cli_io';
import {CliError, exitCodes} from './exit_codes';

/** Output formats. */
export type OutputFormat = 'json' | 'table';

/** Options of all commands, as parsed by commander. */
export interface GlobalOptions {
  readonly server: readonly SocketAddress[];
  readonly tokenFile?: string;
  readonly ca?: string;
  readonly output: OutputFormat;
  readonly timeoutS: number;
}

const tokenEnvironmentVariable = 'CUMINSILL_TOKEN';

/** Reads a text file. Throws a {@link CliError} that names the file. */
export function readTextFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new CliError(exitCodes.usage, `cannot read ${path}: ${errorMessage(error)}`);
  }
}

/** Reads a JSON file. Throws a {@link CliError} that names the file. */
export function readJsonFile(path: string): unknown {
  const text = readTextFile(path);
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    throw new CliError(exitCodes.usage, `${path} is not valid JSON: ${errorMessage(error)}`);
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

/** Parses an option value in seconds. Throws InvalidArgumentError. */
export function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (seconds > 0 && seconds <= 3600) return seconds;
  throw new InvalidArgumentError('use a number of seconds above 0 and at most 3600');
}

/** Makes the client of the operators' API. Throws {@link CliError} without a server or for an unreadable file. */
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

/** Makes a client for the callers' port of entry processes, which must not receive the operator's token. */
export function makeCallerClient(options: GlobalOptions): ApiClient {
  return new ApiClient({servers: requireServers(options), timeoutMs: options.timeoutS * 1000});
}

function requireServers(options: GlobalOptions): readonly SocketAddress[] {
  if (options.server.length > 0) return options.server;
  throw new CliError(exitCodes.usage, 'no server given; use --server host:port');
}

function readToken(options: GlobalOptions, io: CliIo): string | undefined {
  const token =
    options.tokenFile === undefined
      ? io.environment[tokenEnvironmentVariable]
      : readTextFile(options.tokenFile).trim();
  if (token === undefined) return undefined;
  if (/^[\x21-\x7e]+$/.test(token)) return token;
  const source = options.tokenFile ?? `the environment variable ${tokenEnvironmentVariable}`;
  throw new CliError(
    exitCodes.usage,
    `${source} does not hold a token; it must be one line of printable characters without spaces`,
  );
}

function warnAboutPlainText(servers: readonly SocketAddress[], io: CliIo): void {
  const remoteServer = servers.find(server => !isLoopback(server.host));
  if (remoteServer === undefined) return;
  io.printError(
    `warning: the token is sent to ${formatAddress(remoteServer)} without encryption; use --ca for TLS\n`,
  );
}

function isLoopback(host: string): boolean {
  return host === 'localhost' || host === '::1' || (isIP(host) === 4 && host.startsWith('127.'));
}

function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
