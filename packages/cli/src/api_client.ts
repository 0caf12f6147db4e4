/**
 * Client of the operators' API. It sends a request to the servers in the given order until one answers. A
 * confirmation may also be retried at the next server, because confirming a plan is idempotent.
 */
import * as http from 'node:http';
import * as https from 'node:https';
import type {ErrorBody, SocketAddress} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';
import {CliError, exitCodeOf, exitCodes} from './exit_codes';

/** Servers, credentials and timeout of the operators' API. */
export interface ApiClientOptions {
  readonly servers: readonly SocketAddress[];
  readonly token?: string;
  /** CA certificates in PEM format that the servers' certificates must be signed by; enables TLS. */
  readonly ca?: string;
  /** Timeout for each server in milliseconds. */
  readonly timeoutMs: number;
}

/** One request to the operators' API. */
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

type AttemptResult =
  | {readonly kind: 'answered'; readonly response: ApiResponse}
  | {readonly kind: 'failed'; readonly detail: string; readonly mayHaveArrived: boolean};

/** Sends each request to the servers in order until one of them is ready and answers. */
export class ApiClient {
  constructor(private readonly options: ApiClientOptions) {}

  /** Sends a request and returns the decoded answer. Throws {@link CliError} when it fails or is refused. */
  async request<Answer>(apiRequest: ApiRequest): Promise<Answer> {
    const failures: string[] = [];
    let mayHaveArrived = false;
    for (const server of this.options.servers) {
      const result = await this.attempt(server, apiRequest);
      if (result.kind === 'answered' && !isNotReady(result.response)) {
        return decodeAnswer<Answer>(result.response, apiRequest);
      }
      const detail = result.kind === 'answered' ? 'not ready yet' : result.detail;
      failures.push(`  ${formatAddress(server)}: ${detail}`);
      mayHaveArrived ||= result.kind === 'failed' && result.mayHaveArrived;
    }
    throw unansweredError(failures, mayHaveArrived && apiRequest.changesState === true);
  }

  private attempt(server: SocketAddress, apiRequest: ApiRequest): Promise<AttemptResult> {
    return new Promise(resolve => {
      let connected = false;
      const body = apiRequest.body === undefined ? undefined : JSON.stringify(apiRequest.body);
      const fail = (error: Error) =>
        resolve({kind: 'failed', detail: error.message, mayHaveArrived: connected});
      const request = this.createRequest(server, apiRequest, body);
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

  private createRequest(
    server: SocketAddress,
    apiRequest: ApiRequest,
    body: string | undefined,
  ): http.ClientRequest {
    const {token, ca} = this.options;
    const options: http.RequestOptions = {
      host: server.host,
      port: server.port,
      method: apiRequest.method,
      path: apiRequest.path,
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

/** Formats an address as `host:port`, with brackets around an IPv6 host. */
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
    `the change was sent, but no server reported whether it was stored; confirming again is safe:\n${list}`,
  );
}

function isNotReady(response: ApiResponse): boolean {
  return errorBodyOf(parseJson(response.text))?.code === resultCodes.notReady.code;
}

function decodeAnswer<Answer>(response: ApiResponse, apiRequest: ApiRequest): Answer {
  const changesState = apiRequest.changesState === true;
  const body = parseJson(response.text);
  if (body !== undefined && response.status >= 200 && response.status < 300) return body as Answer;
  const error = errorBodyOf(body);
  if (error !== undefined) {
    throw new CliError(exitCodeOf(error, changesState), errorText(error), error);
  }
  const mayHaveChanged = changesState && (response.status < 300 || response.status >= 500);
  throw new CliError(
    mayHaveChanged ? exitCodes.unknown : exitCodes.refused,
    `the server answered ${apiRequest.method} ${apiRequest.path} with status ${response.status} and no result code`,
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
  const isComplete = typeof candidate.code === 'number' && typeof candidate.reason === 'string';
  return isComplete ? (candidate as ErrorBody) : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
