/**
 * Client of the operators' API. It sends a request to the servers in the order given until one answers. A
 * confirmation may be sent to the next server as well, because confirming one plan twice does the same as once.
 */
import * as http from 'node:http';
import * as https from 'node:https';
import type {ErrorBody, SocketAddress} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';
import {CliError, exitCodeOf, exitCodes} from './exit_codes';

/** How to reach the operators' API. */
export interface ApiClientOptions {
  readonly servers: readonly SocketAddress[];
  readonly token?: string;
  /** Certificates in PEM form that the servers' certificates must be signed by; switches to TLS. */
  readonly ca?: string;
  /** Longest wait for one server in milliseconds. */
  readonly timeoutMs: number;
}

/** One request. */
export interface ApiRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  /** True when the request can change the configuration. */
  readonly changesState?: boolean;
}

interface ApiResponse {
  readonly status: number;
  readonly text: string;
}

type Attempt =
  | {readonly kind: 'answered'; readonly response: ApiResponse}
  | {readonly kind: 'failed'; readonly detail: string; readonly mayHaveArrived: boolean};

/** Sends requests to the first server that answers. */
export class ApiClient {
  constructor(private readonly options: ApiClientOptions) {}

  /** Sends a request and returns the decoded answer. Throws {@link CliError}. */
  async request<A>(call: ApiRequest): Promise<A> {
    const failures: string[] = [];
    let mayHaveArrived = false;
    for (const server of this.options.servers) {
      const attempt = await this.attempt(server, call);
      if (attempt.kind === 'answered' && !isNotReady(attempt.response)) {
        return decodeAnswer<A>(attempt.response, call);
      }
      const detail = attempt.kind === 'answered' ? 'not ready yet' : attempt.detail;
      failures.push(`  ${formatAddress(server)}: ${detail}`);
      mayHaveArrived ||= attempt.kind === 'failed' && attempt.mayHaveArrived;
    }
    throw unansweredError(failures, mayHaveArrived && call.changesState === true);
  }

  private attempt(server: SocketAddress, call: ApiRequest): Promise<Attempt> {
    return new Promise(resolve => {
      let connected = false;
      const body = call.body === undefined ? undefined : JSON.stringify(call.body);
      const fail = (error: Error) =>
        resolve({kind: 'failed', detail: error.message, mayHaveArrived: connected});
      const request = this.open(server, call, body);
      const connectEvent = this.options.ca === undefined ? 'connect' : 'secureConnect';
      request.on('socket', socket => socket.once(connectEvent, () => (connected = true)));
      const timer = setTimeout(
        () => request.destroy(new Error(`no answer in ${this.options.timeoutMs} ms`)),
        this.options.timeoutMs,
      );
      request.on('close', () => clearTimeout(timer));
      request.on('error', fail);
      request.on('response', response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', fail);
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({kind: 'answered', response: {status: response.statusCode ?? 0, text}});
        });
      });
      request.end(body);
    });
  }

  private open(
    server: SocketAddress,
    call: ApiRequest,
    body: string | undefined,
  ): http.ClientRequest {
    const {token, ca} = this.options;
    const options: http.RequestOptions = {
      host: server.host,
      port: server.port,
      method: call.method,
      path: call.path,
      agent: false,
      headers: {
        accept: 'application/json',
        ...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
        ...(body === undefined
          ? {}
          : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}),
      },
    };
    return ca === undefined ? http.request(options) : https.request({...options, ca});
  }
}

/** Writes an address as `host:port`. */
export function formatAddress(address: SocketAddress): string {
  return address.host.includes(':')
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}

function unansweredError(failures: readonly string[], mayHaveChanged: boolean): CliError {
  const list = failures.join('\n');
  if (!mayHaveChanged) {
    return new CliError(exitCodes.unreachable, `no server answered:\n${list}`);
  }
  return new CliError(
    exitCodes.unknown,
    `the change was sent and no server said whether it was kept; confirming again is safe:\n${list}`,
  );
}

function isNotReady(response: ApiResponse): boolean {
  return errorBodyOf(parseJson(response.text))?.code === resultCodes.notReady.code;
}

function decodeAnswer<A>(response: ApiResponse, call: ApiRequest): A {
  const changesState = call.changesState === true;
  const body = parseJson(response.text);
  if (body !== undefined && response.status >= 200 && response.status < 300) return body as A;
  const error = errorBodyOf(body);
  if (error !== undefined) {
    throw new CliError(exitCodeOf(error, changesState), errorText(error), error);
  }
  const mayHaveChanged = changesState && (response.status < 300 || response.status >= 500);
  throw new CliError(
    mayHaveChanged ? exitCodes.unknown : exitCodes.refused,
    `the server answered ${call.method} ${call.path} with status ${response.status} and no result code`,
  );
}

function errorText(error: ErrorBody): string {
  const lines = [`${error.code} ${error.name}: ${error.reason}`];
  if (error.detail !== undefined && error.detail !== '') lines.push(`  ${error.detail}`);
  if (error.retryAfterS !== undefined) lines.push(`  try again after ${error.retryAfterS} s`);
  return lines.join('\n');
}

function errorBodyOf(body: unknown): ErrorBody | undefined {
  if (typeof body !== 'object' || body === null) return undefined;
  const candidate = body as Partial<ErrorBody>;
  const complete = typeof candidate.code === 'number' && typeof candidate.reason === 'string';
  return complete ? (candidate as ErrorBody) : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
