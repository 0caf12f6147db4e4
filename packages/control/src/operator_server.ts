/**
 * HTTP server of the operator API, on its own port. Every operation needs a bearer token: viewers may read, operators
 * may also make and confirm plans. If no tokens are configured, every operation is refused as unauthenticated.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {readFileSync} from 'node:fs';
import * as http from 'node:http';
import * as https from 'node:https';
import type {AddressInfo} from 'node:net';
import type {ErrorBody} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import type {ControlSettings} from '@cuminsill/validation';
import {InvalidDataError} from '@cuminsill/validation';

/** The authenticated sender of a request. */
export interface Operator {
  readonly name: string;
  readonly role: 'viewer' | 'operator';
}

/** An authenticated request to an operation. */
export interface OperatorRequest {
  readonly operator: Operator;
  /** Decoded capture groups of the route's path pattern. */
  readonly pathParameters: readonly string[];
  readonly body: unknown;
}

/** The response of an operation; the body is sent as JSON. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: object;
}

/** One operation of the API. */
export interface OperatorRoute {
  readonly method: 'GET' | 'POST';
  readonly path: RegExp;
  /** Role that the operation requires; operators may also do what viewers may. */
  readonly role: Operator['role'];
  readonly handle: (request: OperatorRequest) => Promise<OperatorResponse>;
}

/** Body of `/livez` and `/readyz`. Both work without a token, so it must contain no secrets. */
export interface ControlHealth {
  /** True if a configuration is in force and the process is not stopping. */
  readonly ready: boolean;
  readonly state: 'starting' | 'serving' | 'leaving';
  readonly configVersion: number;
  readonly storeReachable: boolean;
  /** Number of other instances that are reachable. */
  readonly reachablePeers: number;
}

/** Authenticates requests of operators and dispatches them to the routes. */
export class OperatorServer {
  private readonly server: http.Server;

  constructor(
    private readonly settings: ControlSettings,
    private readonly routes: readonly OperatorRoute[],
    private readonly currentHealth: () => ControlHealth,
  ) {
    const handler: http.RequestListener = (request, response) => {
      void this.handle(request, response);
    };
    const tls = settings.operatorTls;
    this.server =
      tls === undefined
        ? http.createServer(handler)
        : https.createServer(
            {cert: readFileSync(tls.certFile), key: readFileSync(tls.keyFile)},
            handler,
          );
  }

  /** Starts listening and resolves with the port. Rejects if the address is in use. */
  listen(): Promise<number> {
    const {host, port} = this.settings.operators;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Stops accepting connections and resolves when all requests have been answered. */
  close(): Promise<void> {
    return new Promise(resolve => this.server.close(() => resolve()));
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    try {
      sendResponse(response, await this.route(request));
    } catch (error) {
      sendResponse(response, responseForError(error));
      if (!request.readableEnded) request.resume();
    }
  }

  private async route(request: http.IncomingMessage): Promise<OperatorResponse> {
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    if (path === '/livez') return {status: 200, body: this.currentHealth()};
    if (path === '/readyz') {
      const health = this.currentHealth();
      return {status: health.ready ? 200 : 503, body: health};
    }
    const operator = this.authenticate(request);
    const candidates = this.routes.filter(route => route.path.test(path));
    const route = candidates.find(candidate => candidate.method === request.method);
    if (route === undefined) {
      throw new ResultError(resultCodes.notFound, `No operation at ${path}.`);
    }
    if (route.role === 'operator' && operator.role !== 'operator') {
      throw new ResultError(resultCodes.forbidden, `"${operator.name}" may only read.`);
    }
    const pathParameters = (route.path.exec(path) ?? []).slice(1).map(decodePathParameter);
    const body = route.method === 'POST' ? await this.readJson(request) : undefined;
    return route.handle({operator, pathParameters, body});
  }

  private authenticate(request: http.IncomingMessage): Operator {
    const match = /^Bearer (.{1,512})$/.exec(request.headers.authorization ?? '');
    if (match === null) throw new ResultError(resultCodes.unauthenticated);
    const tokenDigest = createHash('sha256')
      .update(match[1] ?? '')
      .digest();
    const operator = this.settings.operatorTokens.find(candidate =>
      timingSafeEqual(Buffer.from(candidate.tokenSha256, 'hex'), tokenDigest),
    );
    if (operator === undefined) throw new ResultError(resultCodes.unauthenticated);
    return operator;
  }

  private async readJson(request: http.IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > this.settings.maxOperatorBodyBytes) {
        throw new ResultError(
          resultCodes.bodyTooLarge,
          `The limit is ${this.settings.maxOperatorBodyBytes} bytes.`,
        );
      }
      chunks.push(chunk);
    }
    try {
      return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
    } catch {
      throw new ResultError(resultCodes.invalidIntent, 'The body is not valid JSON.');
    }
  }
}

function decodePathParameter(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    throw new ResultError(resultCodes.notFound, 'The path is not valid.');
  }
}

function responseForError(error: unknown): OperatorResponse {
  const result =
    error instanceof ResultError
      ? error
      : error instanceof InvalidDataError
        ? new ResultError(resultCodes.invalidIntent, error.message)
        : new ResultError(resultCodes.internalError);
  const {code, name, outcome, reason, httpStatus} = result.result;
  const body: ErrorBody = {
    code,
    name,
    outcome,
    reason,
    detail: result.detail === '' ? undefined : result.detail,
    retryAfterS: result.retryAfterS,
  };
  return {status: httpStatus, body};
}

function sendResponse(serverResponse: http.ServerResponse, response: OperatorResponse): void {
  const bytes = Buffer.from(JSON.stringify(response.body));
  serverResponse.writeHead(response.status, {
    'content-type': 'application/json',
    'content-length': bytes.length,
  });
  serverResponse.end(bytes);
}
