/**
 * The operators' API, on a port of its own. Every request needs a bearer token; viewers read, operators also make and confirm
 * plans. Without configured tokens nobody is let in.
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

/** Who sent a request. */
export interface Operator {
  readonly name: string;
  readonly role: 'viewer' | 'operator';
}

/** A request of an operator. */
export interface OperatorRequest {
  readonly operator: Operator;
  /** Parts of the path that the route's pattern captured. */
  readonly pathParts: readonly string[];
  readonly body: unknown;
}

/** An answer to an operator. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: object;
}

/** One operation of the API. */
export interface OperatorRoute {
  readonly method: 'GET' | 'POST';
  readonly path: RegExp;
  readonly role: Operator['role'];
  readonly handle: (request: OperatorRequest) => Promise<OperatorAnswer>;
}

/** What the process says of itself without a token; holds nothing secret. */
export interface ControlHealth {
  /** True when a configuration is in force and the process is not stopping. */
  readonly ready: boolean;
  readonly state: 'starting' | 'serving' | 'leaving';
  readonly configVersion: number;
  readonly storeReachable: boolean;
  /** Other instances that answer. */
  readonly reachablePeers: number;
}

/** Serves operators. */
export class OperatorServer {
  private readonly server: http.Server;

  constructor(
    private readonly settings: ControlSettings,
    private readonly routes: readonly OperatorRoute[],
    private readonly health: () => ControlHealth,
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

  /** Starts to listen; returns the port. Rejects when the address is taken. */
  listen(): Promise<number> {
    const {host, port} = this.settings.operators;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Stops listening and resolves when the last request has been answered. */
  close(): Promise<void> {
    return new Promise(resolve => this.server.close(() => resolve()));
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    try {
      send(response, await this.answer(request));
    } catch (error) {
      send(response, answerToError(error));
      if (!request.readableEnded) request.resume();
    }
  }

  private async answer(request: http.IncomingMessage): Promise<OperatorAnswer> {
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    if (path === '/livez') return {status: 200, body: this.health()};
    if (path === '/readyz') {
      const health = this.health();
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
    const pathParts = (route.path.exec(path) ?? []).slice(1).map(decodePathPart);
    const body = route.method === 'POST' ? await this.readJson(request) : undefined;
    return route.handle({operator, pathParts, body});
  }

  private authenticate(request: http.IncomingMessage): Operator {
    const match = /^Bearer (.{1,512})$/.exec(request.headers.authorization ?? '');
    if (match === null) throw new ResultError(resultCodes.unauthenticated);
    const found = createHash('sha256')
      .update(match[1] ?? '')
      .digest();
    const operator = this.settings.operatorTokens.find(candidate =>
      timingSafeEqual(Buffer.from(candidate.tokenSha256, 'hex'), found),
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

function decodePathPart(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    throw new ResultError(resultCodes.notFound, 'The path is not valid.');
  }
}

function answerToError(error: unknown): OperatorAnswer {
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

function send(response: http.ServerResponse, answer: OperatorAnswer): void {
  const bytes = Buffer.from(JSON.stringify(answer.body));
  response.writeHead(answer.status, {
    'content-type': 'application/json',
    'content-length': bytes.length,
  });
  response.end(bytes);
}
