/**
 * HTTP server for callers: look-ups, outcome queries, forwarded requests, liveness and readiness. Look-ups are answered
 * without starting a fiber, because they are by far the most frequent requests.
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
import {operationKey, parseRequestHead, tenantOrNone} from './request_head';
import {correctRefusalOutcome} from './correct_refusal_outcome';
import type {EntryView} from './entry_view';
import type {Forwarder} from './forwarder';
import type {RefusalResponder} from './refusal_responder';
import {refuseMalformedRequest} from './refuse_malformed_request';

/** Dependencies of the caller server. */
export interface CallerServerDependencies {
  readonly settings: EntrySettings;
  readonly view: EntryView;
  readonly forwarder: Forwarder;
  readonly refusalResponder: RefusalResponder;
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

/**
 * Factor on the configured connection limit up to which connections are still accepted, so that callers above the limit
 * get a refusal instead of a connection reset.
 */
const hardConnectionLimitFactor = 1.1;

/** HTTP server on the caller address of an entry. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly routes: readonly Route[];
  private readonly bootTimeMs: number;
  private requestCounter = 0;
  private openConnections = 0;
  private inFlightCount = 0;
  private isClosing = false;
  private readonly openResponses = new Set<http.ServerResponse>();
  /** The most recently started response on each connection. */
  private readonly lastResponses = new WeakMap<Socket, http.ServerResponse>();

  constructor(private readonly deps: CallerServerDependencies) {
    const {settings} = deps;
    this.bootTimeMs = deps.time.nowMs();
    this.routes = [
      {prefix: '/v1/lookup', handle: (request, response) => this.answerLookup(request, response)},
      {prefix: '/svc/', handle: (request, response) => this.forward(request, response)},
      {
        prefix: '/v1/outcomes/',
        handle: (request, response) => this.answerOutcomeQuery(request, response),
      },
      {prefix: '/livez', handle: (_request, response) => this.answerHealthCheck(response, true)},
      {prefix: '/readyz', handle: (_request, response) => this.answerHealthCheck(response, false)},
    ];
    this.server = http.createServer(
      {
        maxHeaderSize: settings.maxHeaderBytes,
        headersTimeout: settings.headersTimeoutMs,
        keepAliveTimeout: settings.keepAliveTimeoutMs,
        // No timeout for receiving the request: an upload may take until the deadline of the request.
        requestTimeout: 0,
        // Node would reject a missing host header without a result code; `handle` checks it instead.
        requireHostHeader: false,
      },
      (request, response) => this.handle(request, response),
    );
    this.server.maxConnections = Math.ceil(settings.maxConnections * hardConnectionLimitFactor);
    this.server.on('connection', socket => this.trackConnection(socket));
    this.server.on('checkExpectation', (request, response) => {
      this.refuseMalformedHead(request, response, 'send no other expectation than 100-continue');
    });
    this.server.on('clientError', (error, socket) => {
      refuseMalformedRequest(error, socket as Socket, this.lastResponses.get(socket as Socket));
    });
  }

  /** Starts listening. Rejects when the address is in use. */
  listen(): Promise<void> {
    const {host, port} = this.deps.settings.callers;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** The port that the server listens on; differs from the setting when that is 0. */
  port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of requests whose fiber has not ended. */
  requestsInFlight(): number {
    return this.inFlightCount;
  }

  /**
   * Sets `connection: close` on every open response whose head has not been sent, so that callers send no further
   * requests on these connections. Called when the instance starts to leave.
   */
  disableKeepAlive(): void {
    for (const response of this.openResponses) {
      if (!response.headersSent) response.shouldKeepAlive = false;
    }
  }

  /** Stops listening and resolves when the last request in flight has been answered. */
  async close(): Promise<void> {
    this.isClosing = true;
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private trackResponse(response: http.ServerResponse): void {
    this.openResponses.add(response);
    this.lastResponses.set(response.req.socket, response);
    if (this.deps.state() === 'leaving') response.shouldKeepAlive = false;
    response.once('close', () => {
      this.openResponses.delete(response);
      // A response whose head was sent before the stop keeps its connection alive; close it once it is idle.
      if (this.isClosing) setImmediate(() => this.server.closeIdleConnections());
    });
  }

  private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = request.url ?? '/';
    const route = this.routes.find(candidate => url.startsWith(candidate.prefix));
    this.trackResponse(response);
    if (this.openConnections > this.deps.settings.maxConnections) {
      response.shouldKeepAlive = false;
      this.refuse(request, response, new ResultError(resultCodes.connectionLimit));
      return;
    }
    if (request.headers.host === undefined && request.httpVersion === '1.1') {
      this.refuseMalformedHead(request, response, 'send a host header');
      return;
    }
    if (route === undefined) {
      const detail = 'Fix: use /v1/lookup, /v1/outcomes/<key> or /svc/<service>/<path>.';
      this.refuse(request, response, new ResultError(resultCodes.notFound, detail));
      return;
    }
    route.handle(request, response);
  }

  private answerLookup(request: http.IncomingMessage, response: http.ServerResponse): void {
    const serviceId = queryValue(request.url ?? '', 'service');
    const {view, metrics} = this.deps;
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
    const {view, settings, time} = this.deps;
    const requestId = this.nextRequestId();
    if (view.configuration.version === 0) {
      this.refuse(request, response, new ResultError(resultCodes.notReady), requestId);
      return;
    }
    try {
      const head = parseRequestHead(request, {
        configuration: view.configuration,
        contracts: view.contracts,
        requestId,
        callerRegionId: this.callerRegionOf(request),
        maxTimeoutMs: settings.maxTimeoutMs,
        nowMs: time.monotonicMs(),
      });
      this.runAsFiber(
        this.deps.forwarder.serve(head, request, response),
        request,
        response,
        requestId,
      );
    } catch (error) {
      if (!(error instanceof ResultError)) throw error;
      this.refuse(request, response, error, requestId);
    }
  }

  private answerOutcomeQuery(request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = request.url ?? '';
    const serviceId = queryValue(url, 'service');
    const key = decodeURIComponentSafely(url.slice('/v1/outcomes/'.length).split('?')[0] ?? '');
    if (serviceId === undefined || key === undefined || key === '') {
      const detail = 'Fix: ask for /v1/outcomes/<key>?service=<service>.';
      this.refuse(request, response, new ResultError(resultCodes.malformedRequest, detail));
      return;
    }
    const tenant = String(request.headers['x-tenant'] ?? 'none');
    const outcomeQuery = this.deps.claims.outcomeOf(operationKey(serviceId, tenant, key)).pipe(
      Effect.map(claimAnswer => {
        const status = claimAnswer.state === 'run' ? claimAnswer.answer.status : undefined;
        writeJson(response, 200, {key, state: claimAnswer.state, status});
      }),
    );
    this.runAsFiber(outcomeQuery, request, response, this.nextRequestId());
  }

  private answerHealthCheck(response: http.ServerResponse, isLivenessCheck: boolean): void {
    const state = this.deps.state();
    const configVersion = this.deps.view.configuration.version;
    const ready = state === 'serving' && configVersion > 0;
    const controlConnected = this.deps.view.controlConnected;
    writeJson(response, isLivenessCheck || ready ? 200 : 503, {
      state,
      ready,
      configVersion,
      controlConnected,
    });
  }

  /** Runs one request as one fiber, which is interrupted when the caller disconnects. */
  private runAsFiber(
    effect: Effect.Effect<void, ResultError>,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
  ): void {
    this.inFlightCount += 1;
    const fiber = Effect.runFork(effect);
    response.on('close', () => {
      if (!response.writableFinished) Effect.runFork(Fiber.interruptFork(fiber));
    });
    fiber.addObserver(exit => {
      this.inFlightCount -= 1;
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
    refusal: ResultError,
    requestId = this.nextRequestId(),
  ): void {
    const error = correctRefusalOutcome(request, refusal);
    const serviceId = /^\/svc\/([^/?]{1,64})/.exec(request.url ?? '')?.[1] ?? '';
    this.countRefusal(error.result, serviceId, request);
    this.deps.refusalResponder.send(
      response,
      {
        requestId,
        serviceId,
        callerRegionId: this.callerRegionOf(request),
        configVersion: this.deps.view.configuration.version,
        instanceId: this.deps.settings.instance.id,
        atMs: this.deps.time.nowMs(),
      },
      error,
    );
    // Discard the rest of the body: unread data would block the connection.
    if (!request.readableEnded) request.resume();
  }

  private refuseMalformedHead(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    fix: string,
  ): void {
    response.shouldKeepAlive = false;
    this.refuse(request, response, new ResultError(resultCodes.malformedRequest, `Fix: ${fix}.`));
  }

  private countRefusal(result: ResultCode, serviceId: string, request: http.IncomingMessage): void {
    const contract = this.deps.view.contracts.get(serviceId);
    this.deps.metrics.count('requests.refused', 1, {
      code: String(result.code),
      service: contract?.id ?? 'none',
      class: contract?.trafficClass ?? 'none',
      tenant: tenantOrNone(request),
    });
  }

  private callerRegionOf(request: http.IncomingMessage): string {
    const {view, settings} = this.deps;
    const address = request.socket.remoteAddress ?? '';
    return view.clientBlocks.regionOf(address) ?? settings.instance.regionId;
  }

  private trackConnection(socket: Socket): void {
    this.openConnections += 1;
    socket.once('close', () => (this.openConnections -= 1));
  }

  private nextRequestId(): string {
    this.requestCounter += 1;
    return makeRequestId(this.deps.settings.instance.id, this.requestCounter, this.bootTimeMs);
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
  // Fast path for the usual query with one parameter and no escapes.
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
