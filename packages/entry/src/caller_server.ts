/**
 * The callers' port: look-ups, questions for outcomes, forwarded requests, liveness and readiness. Look-ups are answered
 * without a fiber, because they are by far the most frequent requests.
 */
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {ClaimSession} from '@cuminsill/claims';
import type {Metrics} from '@cuminsill/logger';
import {makeRequestId} from '@cuminsill/planner';
import type {InstanceState, ResultCode} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {EntrySettings} from '@cuminsill/validation';
import {Cause, Effect, Exit, Fiber, Option} from 'effect';
import {operationKey, parseCall, tenantOrNone} from './request_head';
import {trueRefusal} from './correct_refusal_outcome';
import type {EntryView} from './entry_view';
import type {Forwarder} from './forwarder';
import type {Refusals} from './refusal_responder';
import {refuseMalformed} from './refuse_malformed_request';

/** What the callers' port works with. */
export interface CallerServerParts {
  readonly settings: EntrySettings;
  readonly view: EntryView;
  readonly forwarder: Forwarder;
  readonly refusals: Refusals;
  readonly claims: Pick<ClaimSession, 'outcomeOf'>;
  readonly metrics: Metrics;
  readonly time: TimeSource;
  readonly state: () => InstanceState;
}

type Handler = (request: http.IncomingMessage, response: http.ServerResponse) => void;

interface Route {
  readonly prefix: string;
  readonly handle: Handler;
}

/** Connections above the limit that still get a refusal instead of a reset. */
const refusedConnectionAllowance = 1.1;

/** Serves callers. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly routes: readonly Route[];
  private readonly bootTimeMs: number;
  private requestCounter = 0;
  private openConnections = 0;
  private inFlight = 0;
  private closing = false;
  private readonly open = new Set<http.ServerResponse>();
  /** The response that was begun last on each connection. */
  private readonly lastResponses = new WeakMap<Socket, http.ServerResponse>();

  constructor(private readonly parts: CallerServerParts) {
    const {settings} = parts;
    this.bootTimeMs = parts.time.nowMs();
    this.routes = [
      {prefix: '/v1/lookup', handle: (request, response) => this.lookUp(request, response)},
      {prefix: '/svc/', handle: (request, response) => this.forward(request, response)},
      {prefix: '/v1/outcomes/', handle: (request, response) => this.tellOutcome(request, response)},
      {prefix: '/livez', handle: (_request, response) => this.tellState(response, true)},
      {prefix: '/readyz', handle: (_request, response) => this.tellState(response, false)},
    ];
    this.server = http.createServer(
      {
        maxHeaderSize: settings.maxHeaderBytes,
        headersTimeout: settings.headersTimeoutMs,
        keepAliveTimeout: settings.keepAliveTimeoutMs,
        // Bodies of uploads may take as long as the request's own deadline.
        requestTimeout: 0,
        // Node would refuse a missing host without a numbered result; `handle` checks it.
        requireHostHeader: false,
      },
      (request, response) => this.handle(request, response),
    );
    this.server.maxConnections = Math.ceil(settings.maxConnections * refusedConnectionAllowance);
    this.server.on('connection', socket => this.countConnection(socket));
    this.server.on('checkExpectation', (request, response) => {
      this.refuseHead(request, response, 'send no other expectation than 100-continue');
    });
    this.server.on('clientError', (error, socket) => {
      refuseMalformed(error, socket as Socket, this.lastResponses.get(socket as Socket));
    });
  }

  /** Starts to listen. Rejects when the address is taken. */
  listen(): Promise<void> {
    const {host, port} = this.parts.settings.callers;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** The port that the server listens on. */
  port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Requests that have no final answer yet. */
  requestsInFlight(): number {
    return this.inFlight;
  }

  /**
   * Asks callers to close their connections: every response whose head is not sent yet says so. Called when the instance
   * starts to leave.
   */
  discourageReuse(): void {
    for (const response of this.open) {
      if (!response.headersSent) response.shouldKeepAlive = false;
    }
  }

  /** Stops listening and resolves when the last request in flight has been answered. */
  async close(): Promise<void> {
    this.closing = true;
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private track(response: http.ServerResponse): void {
    this.open.add(response);
    this.lastResponses.set(response.req.socket, response);
    if (this.parts.state() === 'leaving') response.shouldKeepAlive = false;
    response.once('close', () => {
      this.open.delete(response);
      // A response whose head was sent before the stop leaves its connection open.
      if (this.closing) setImmediate(() => this.server.closeIdleConnections());
    });
  }

  private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = request.url ?? '/';
    const route = this.routes.find(candidate => url.startsWith(candidate.prefix));
    this.track(response);
    if (this.openConnections > this.parts.settings.maxConnections) {
      response.shouldKeepAlive = false;
      this.refuse(request, response, new ResultError(resultCodes.connectionLimit));
      return;
    }
    if (request.headers.host === undefined && request.httpVersion === '1.1') {
      this.refuseHead(request, response, 'send a host header');
      return;
    }
    if (route === undefined) {
      const detail = 'Fix: use /v1/lookup, /v1/outcomes/<key> or /svc/<service>/<path>.';
      this.refuse(request, response, new ResultError(resultCodes.notFound, detail));
      return;
    }
    route.handle(request, response);
  }

  private lookUp(request: http.IncomingMessage, response: http.ServerResponse): void {
    const serviceId = queryValue(request.url ?? '', 'service');
    const {view, metrics} = this.parts;
    metrics.count('lookups', 1);
    if (serviceId !== undefined && !view.lookupAnswers.knowsService(serviceId)) {
      this.refuse(request, response, new ResultError(resultCodes.unknownService));
      return;
    }
    const answer = view.lookupAnswers.answerFor(this.callerRegionOf(request));
    if (answer === undefined) {
      this.refuse(request, response, new ResultError(resultCodes.notReady));
      return;
    }
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': answer.length,
      'cache-control': view.cacheControl,
    });
    response.end(answer);
  }

  private forward(request: http.IncomingMessage, response: http.ServerResponse): void {
    const {view, settings, time} = this.parts;
    const requestId = this.nextRequestId();
    if (view.configuration.version === 0) {
      this.refuse(request, response, new ResultError(resultCodes.notReady), requestId);
      return;
    }
    try {
      const call = parseCall(request, {
        configuration: view.configuration,
        contracts: view.contracts,
        requestId,
        callerRegionId: this.callerRegionOf(request),
        maxTimeoutMs: settings.maxTimeoutMs,
        nowMs: time.monotonicMs(),
      });
      this.run(this.parts.forwarder.serve(call, request, response), request, response, requestId);
    } catch (error) {
      if (!(error instanceof ResultError)) throw error;
      this.refuse(request, response, error, requestId);
    }
  }

  private tellOutcome(request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = request.url ?? '';
    const serviceId = queryValue(url, 'service');
    const key = decodeURIComponentSafely(url.slice('/v1/outcomes/'.length).split('?')[0] ?? '');
    if (serviceId === undefined || key === undefined || key === '') {
      const detail = 'Fix: ask for /v1/outcomes/<key>?service=<service>.';
      this.refuse(request, response, new ResultError(resultCodes.malformedRequest, detail));
      return;
    }
    const tenant = String(request.headers['x-tenant'] ?? 'none');
    const answer = this.parts.claims.outcomeOf(operationKey(serviceId, tenant, key)).pipe(
      Effect.map(found => {
        const status = found.state === 'run' ? found.answer.status : undefined;
        writeJson(response, 200, {key, state: found.state, status});
      }),
    );
    this.run(answer, request, response, this.nextRequestId());
  }

  private tellState(response: http.ServerResponse, alive: boolean): void {
    const state = this.parts.state();
    const configVersion = this.parts.view.configuration.version;
    const ready = state === 'serving' && configVersion > 0;
    const controlConnected = this.parts.view.controlConnected;
    writeJson(response, alive || ready ? 200 : 503, {
      state,
      ready,
      configVersion,
      controlConnected,
    });
  }

  /** Runs one request as one fiber; the caller's going away interrupts it. */
  private run(
    effect: Effect.Effect<void, ResultError>,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
  ): void {
    this.inFlight += 1;
    const fiber = Effect.runFork(effect);
    response.on('close', () => {
      if (!response.writableFinished) Effect.runFork(Fiber.interruptFork(fiber));
    });
    fiber.addObserver(exit => {
      this.inFlight -= 1;
      if (Exit.isFailure(exit)) this.refuseAfterFailure(exit.cause, request, response, requestId);
    });
  }

  private refuseAfterFailure(
    cause: Cause.Cause<ResultError>,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
  ): void {
    const refusal = Option.getOrUndefined(Cause.failureOption(cause));
    if (refusal !== undefined) this.refuse(request, response, refusal, requestId);
    else if (!Cause.isInterruptedOnly(cause)) {
      this.refuse(request, response, new ResultError(resultCodes.internalError), requestId);
    }
  }

  private refuse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    cause: ResultError,
    requestId = this.nextRequestId(),
  ): void {
    const error = trueRefusal(request, cause);
    const serviceId = /^\/svc\/([^/?]{1,64})/.exec(request.url ?? '')?.[1] ?? '';
    this.countRefusal(error.result, serviceId, request);
    this.parts.refusals.send(
      response,
      {
        requestId,
        serviceId,
        callerRegionId: this.callerRegionOf(request),
        configVersion: this.parts.view.configuration.version,
        instanceId: this.parts.settings.instance.id,
        atMs: this.parts.time.nowMs(),
      },
      error,
    );
    // The rest of a body that nobody reads would block the connection.
    if (!request.readableEnded) request.resume();
  }

  private refuseHead(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    fix: string,
  ): void {
    response.shouldKeepAlive = false;
    this.refuse(request, response, new ResultError(resultCodes.malformedRequest, `Fix: ${fix}.`));
  }

  private countRefusal(result: ResultCode, serviceId: string, request: http.IncomingMessage): void {
    const contract = this.parts.view.contracts.get(serviceId);
    this.parts.metrics.count('requests.refused', 1, {
      code: String(result.code),
      service: contract?.id ?? 'none',
      class: contract?.trafficClass ?? 'none',
      tenant: tenantOrNone(request),
    });
  }

  private callerRegionOf(request: http.IncomingMessage): string {
    const {view, settings} = this.parts;
    const address = request.socket.remoteAddress ?? '';
    return view.clientBlocks.regionOf(address) ?? settings.instance.regionId;
  }

  private countConnection(socket: Socket): void {
    this.openConnections += 1;
    socket.once('close', () => (this.openConnections -= 1));
  }

  private nextRequestId(): string {
    this.requestCounter += 1;
    return makeRequestId(this.parts.settings.instance.id, this.requestCounter, this.bootTimeMs);
  }
}

function writeJson(response: http.ServerResponse, status: number, body: object): void {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': bytes.length,
  });
  response.end(bytes);
}

function queryValue(url: string, name: string): string | undefined {
  const start = url.indexOf('?');
  if (start < 0) return undefined;
  const query = url.slice(start + 1);
  // The usual query has one parameter; parsing all of them is needed only when it does not match.
  if (query.startsWith(`${name}=`) && !/[&%+]/.test(query)) return query.slice(name.length + 1);
  return new URLSearchParams(query).get(name) ?? undefined;
}

function decodeURIComponentSafely(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
