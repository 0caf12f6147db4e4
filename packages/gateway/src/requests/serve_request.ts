/** Handles one request of a caller from its head to the final answer, and logs the decision. */
import type {IncomingMessage} from 'node:http';
import {areHeadersValid, isRequestTarget} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {AdmissionRecord} from '../admission';
import type {BodyError, CallerRequest} from './caller_request';
import {withBody} from './caller_request';
import type {RequestDecision} from '../logs/decision_log';
import type {FinalAnswer} from './final_answer';
import {gatewayReasons, ownAnswer} from './final_answer';
import type {ForwardingResult} from '../forwarding/forwarding';
import {forwardRequest} from '../forwarding/forwarding';
import type {GatewayParts} from '../gateway_parts';
import type {RouteRule, WorkspaceRule} from '../gateway_types';
import type {KeyLease} from '../key_lease';
import {authenticate, routeForWorkspace} from '../workspaces';
import {fingerprintOf, identityOf} from './request_fingerprint';
import type {CallerHead} from './request_wire';
import type {RouteTable} from './route_table';
import type {Target} from '../targets/target';
import {targetState} from '../targets/target_state';

/** Reserved for the way of the answer back, so that it reaches the caller before the caller's deadline. */
const returnReserveMs = 15;
/** Timeout of requests when neither caller nor route sets one. */
const defaultTimeoutMs = 30_000;
const defaultRetryAfterMs = 250;
/** A body that gets room later than this fraction of the time left would hardly be sent on in time. */
const maxRoomWaitFraction = 0.5;
/** Bodies are held for about as long as their requests run. */
const noRoomRetryAfterMs = 500;
/** The answers to requests whose bodies could not be read. */
const bodyFailureAnswers: Readonly<Record<BodyError['failure'], FinalAnswer>> = {
  'too-large': ownAnswer('body-too-large'),
  'too-many-chunks': ownAnswer('body-too-large'),
  'broken-off': ownAnswer('malformed-request'),
  'no-room': ownAnswer('memory-full', noRoomRetryAfterMs),
};
/** Work of a request may last this multiple of the time that is expected of an object that the target does not hold. */
const maxWorkRatio = 3;
/** Status of answers that promise that the request was not run. */
const unavailableStatus = 503;
/** How soon callers may retry after an immediate refusal, in milliseconds. */
const immediateRetryAfterMs: Readonly<Record<ImmediateRefusal, number>> = {
  stopping: 0,
  'gateway-busy': defaultRetryAfterMs,
};

/** Why the gateway refuses a request without reading its route. */
export type ImmediateRefusal = 'stopping' | 'gateway-busy';

/** Log fields of the last admission. */
type AdmissionField =
  'expectedMs' | 'waitMs' | 'remainingMs' | 'rank' | 'acceptedWaitMs' | 'refusedFor';

/** Circumstances in which a request is handled. */
export interface ServingContext {
  /** Undefined when the request is to be served. */
  readonly refusal: ImmediateRefusal | undefined;
  readonly arrivedAtMs: number;
  /** True when another gateway relays the request for its caller. */
  readonly isRelayed: boolean;
  /** When all answers must be ready because the process ends, on the monotonic clock; undefined while it does not stop. */
  readonly stopDeadlineMs?: number | undefined;
}

/** The answer to a request, with the request's id. */
export interface ServedRequest {
  readonly answer: FinalAnswer;
  readonly requestId: string | undefined;
}

/** Handles the request. Interruption cancels it. */
export function serveRequest(
  parts: GatewayParts,
  incoming: IncomingMessage,
  context: ServingContext,
): Effect.Effect<ServedRequest> {
  return Effect.suspend(() => new RequestHandler(parts, incoming, context).run());
}

/** Records a request whose caller left before the gateway handled it. */
export function recordDeparture(
  parts: GatewayParts,
  incoming: IncomingMessage,
  arrivedAtMs: number,
): void {
  const context = {refusal: undefined, arrivedAtMs, isRelayed: false};
  new RequestHandler(parts, incoming, context).recordDeparture();
}

class RequestHandler {
  private route: RouteRule | undefined;
  private workspace: WorkspaceRule | undefined;
  private service: string | undefined;
  private request: CallerRequest | undefined;
  private fingerprint: string | undefined;
  private result: ForwardingResult | undefined;
  private readonly head: CallerHead;

  constructor(
    private readonly parts: GatewayParts,
    private readonly incoming: IncomingMessage,
    private readonly context: ServingContext,
  ) {
    this.head = parts.requestWire.readCaller(incoming.headers);
  }

  run(): Effect.Effect<ServedRequest> {
    this.parts.metrics.requestStarted();
    return this.answer().pipe(
      Effect.catchAllDefect(defect => Effect.sync(() => this.onDefect(defect))),
      Effect.tap(answer => Effect.sync(() => this.recordOutcome(answer))),
      Effect.map(answer => ({answer, requestId: this.head.requestId})),
      Effect.onInterrupt(() => Effect.sync(() => this.recordOutcome(undefined))),
    );
  }

  /** A target may have run the request, so its caller is told nothing of that. */
  private onDefect(defect: unknown): FinalAnswer {
    this.parts.defects.record('request', defect);
    return ownAnswer('internal-error');
  }

  recordDeparture(): void {
    this.parts.metrics.requestStarted();
    this.recordOutcome(undefined);
  }

  private answer(): Effect.Effect<FinalAnswer> {
    const {parts, incoming, context} = this;
    const {routes} = parts.configuration;
    const {refusal: immediateRefusal} = context;
    if (immediateRefusal !== undefined) {
      const retryAfterMs = immediateRetryAfterMs[immediateRefusal];
      return Effect.succeed(ownAnswer(immediateRefusal, retryAfterMs));
    }
    if (routes === undefined) {
      return Effect.succeed(ownAnswer('no-configuration', defaultRetryAfterMs));
    }
    const refusal = this.checkHead(routes);
    if (refusal !== undefined) return Effect.succeed(refusal);
    const {maxBodyBytes} = routes.configuration.limits;
    const limits = {
      maxBytes: maxBodyBytes,
      maxWaitMs: this.remainingMs() * maxRoomWaitFraction,
    };
    return withBody(incoming, parts.bodyMemory, limits, body => this.forward(body)).pipe(
      Effect.catchAll(({failure}) => Effect.succeed(bodyFailureAnswers[failure])),
    );
  }

  /** Time left until the timeout of the request, in milliseconds. */
  private remainingMs(): number {
    const timeoutMs = timeoutOf(this.head.deadlineMs, this.route?.timeoutMs);
    return timeoutMs - (this.parts.time.monotonicMs() - this.context.arrivedAtMs);
  }

  private checkHead(routes: RouteTable): FinalAnswer | undefined {
    const {incoming} = this;
    if (this.head.requestId === undefined || incoming.headers.host === undefined) {
      return ownAnswer('malformed-request');
    }
    if (!canBeForwarded(incoming)) return ownAnswer('malformed-request');
    this.route = routes.find(incoming.headers.host, incoming.url ?? '/');
    if (this.route === undefined) return ownAnswer('no-route');
    const refusal = this.authenticate(this.route);
    if (refusal !== undefined) return refusal;
    const {maxHeaderBytes, maxBodyBytes} = routes.configuration.limits;
    if (headerBytes(incoming) > maxHeaderBytes) return ownAnswer('headers-too-large');
    if (Number(incoming.headers['content-length'] ?? 0) > maxBodyBytes) {
      return ownAnswer('body-too-large');
    }
    return undefined;
  }

  private forward(body: Buffer): Effect.Effect<FinalAnswer> {
    return Effect.suspend(() => {
      // The configuration may have changed while the body arrived.
      const {incoming, parts} = this;
      this.route = parts.configuration.routes?.find(incoming.headers.host, incoming.url ?? '/');
      if (this.route === undefined) return Effect.succeed(ownAnswer('no-route'));
      const refusal = this.authenticate(this.route);
      if (refusal !== undefined) return Effect.succeed(refusal);
      this.route = routeForWorkspace(this.route, this.workspace);
      if (this.route === undefined) return Effect.succeed(ownAnswer('no-usable-target'));
      this.service = parts.serviceSelector.next(this.route);
      if (this.service === undefined) return Effect.succeed(ownAnswer('no-usable-target'));
      const request = this.callerRequest(body);
      this.request = request;
      const fingerprint = fingerprintOf(request);
      this.fingerprint = fingerprint;
      if (parts.poison.isQuarantined(fingerprint)) return Effect.succeed(ownAnswer('quarantined'));
      const timeoutMs = timeoutOf(this.head.deadlineMs, this.route.timeoutMs);
      const deadlineMs = request.arrivedAtMs + timeoutMs;
      if (this.mayOutlastProcess(this.service, deadlineMs)) {
        return Effect.succeed(ownAnswer('stopping', immediateRetryAfterMs.stopping));
      }
      const forwarded = {
        request,
        route: this.route,
        service: this.service,
        workspace: this.workspace,
        fingerprint,
        deadlineMs: Math.min(deadlineMs, this.context.stopDeadlineMs ?? Infinity),
        isRelayed: this.context.isRelayed,
      };
      return this.withinQuota(
        Effect.map(forwardRequest(parts, forwarded), result => {
          this.result = result;
          return result.answer;
        }),
      );
    });
  }

  /** True when the gateway stops and a target may still work on the request when the process ends. */
  private mayOutlastProcess(service: string, deadlineMs: number): boolean {
    const {parts, context} = this;
    const {stopDeadlineMs = Infinity} = context;
    if (deadlineMs <= stopDeadlineMs) return false;
    const maxWorkMs = parts.serviceTimes.of(service).expectedMs(false) * maxWorkRatio;
    return parts.time.monotonicMs() + maxWorkMs > stopDeadlineMs;
  }

  /** Identifies the workspace of the request; returns the refusal of a request without a valid key. */
  private authenticate(route: RouteRule): FinalAnswer | undefined {
    const {keyLease, configuration} = this.parts;
    const {apiKey} = this.head;
    const result = authenticate(configuration.workspaces, route, apiKey, keyLease.isValid());
    if (result.kind === 'unknown-key') return ownAnswer('unknown-key');
    if (result.kind === 'keys-not-confirmed') {
      return ownAnswer('keys-not-confirmed', keyLease.retryAfterMs());
    }
    this.workspace = result.kind === 'authenticated' ? result.workspace : undefined;
    return undefined;
  }

  /** Forwards the request if its workspace's quota allows it. The gateway that the caller asked has counted a relayed one. */
  private withinQuota(forwarding: Effect.Effect<FinalAnswer>): Effect.Effect<FinalAnswer> {
    const {workspace, context, parts} = this;
    if (workspace?.quota === undefined || context.isRelayed) return forwarding;
    return Effect.flatMap(parts.quotas.take(workspace.name), verdict => {
      if (verdict.kind === 'exceeded') {
        return Effect.succeed(ownAnswer('quota-exceeded', verdict.retryAfterMs));
      }
      return Effect.tap(forwarding, answer =>
        Effect.sync(() => {
          if (hasNotRun(answer)) parts.quotas.giveBack(workspace.name);
        }),
      );
    });
  }

  private callerRequest(body: Buffer): CallerRequest {
    const {incoming, context} = this;
    return {
      head: this.head,
      requestId: this.head.requestId ?? '',
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      host: incoming.headers.host,
      rawHeaders: incoming.rawHeaders,
      body,
      callerAddress: incoming.socket.remoteAddress ?? '',
      arrivedAtMs: context.arrivedAtMs,
    };
  }

  private recordOutcome(answer: FinalAnswer | undefined): void {
    const {parts, result, service} = this;
    const route = this.route?.name ?? 'none';
    const nowMs = parts.time.monotonicMs();
    const elapsedMs = nowMs - this.context.arrivedAtMs;
    const outcome = outcomeOf(answer);
    parts.metrics.requestEnded(route, outcome, elapsedMs);
    for (const {end} of result?.record.attempts ?? []) parts.metrics.addAttempt(service ?? '', end);
    const admission = result?.admission?.admission;
    if (admission?.kind === 'refuse' && outcome === 'overloaded') {
      parts.metrics.admissionRefused(admission.reason);
    }
    const status = statusOf(answer);
    parts.log.request(outcome, status, () => this.describeDecision(answer, elapsedMs));
  }

  private describeDecision(answer: FinalAnswer | undefined, elapsedMs: number): RequestDecision {
    const {parts, result, service} = this;
    const targets = service === undefined ? [] : parts.targets.ofService(service);
    const nowMs = parts.time.monotonicMs();
    const isUsable = (target: Target) => targetState(target, parts.evacuations, nowMs) === 'usable';
    return {
      requestId: this.head.requestId ?? 'none',
      route: this.route?.name ?? 'none',
      workspace: this.workspace?.name,
      service,
      objectKey: this.head.objectKey,
      configVersion: parts.configuration.version,
      outcome: outcomeOf(answer),
      status: statusOf(answer),
      elapsedMs: Math.round(elapsedMs),
      ...(this.route === undefined ? {} : {targetLatencyMs: this.route.targetLatencyMs}),
      ...(this.context.isRelayed ? {isRelayed: true} : {}),
      pathState: parts.paths.state,
      ...retryAfterOf(answer),
      ...leaseAgeOf(answer, parts.keyLease),
      ...admissionFields(result?.admission),
      usableTargets: targets.filter(isUsable).length,
      listedTargets: targets.length,
      storeAgeMs: parts.storeAgeMs(),
      ...this.fingerprintFields(answer),
      tries: result?.record.attempts ?? [],
    };
  }

  private fingerprintFields(
    answer: FinalAnswer | undefined,
  ): Pick<RequestDecision, 'fingerprint' | 'identity'> {
    const {request, fingerprint, result} = this;
    if (request === undefined || fingerprint === undefined) return {};
    const wasLost = result?.record.attempts.some(({end}) => end === 'lost') === true;
    const isLogged = wasLost || outcomeOf(answer) === 'quarantined';
    return isLogged ? {fingerprint, identity: identityOf(request)} : {};
  }
}

/** False for a head that the parser accepts although it breaks the grammar of HTTP: it could not be sent unchanged. */
function canBeForwarded({url, rawHeaders}: IncomingMessage): boolean {
  return isRequestTarget(url ?? '') && areHeadersValid(rawHeaders);
}

/** Timeout of a request, counted from its arrival, in milliseconds. */
function timeoutOf(deadlineMs: number | undefined, routeTimeoutMs: number | undefined): number {
  const callerTimeoutMs = deadlineMs === undefined ? undefined : deadlineMs - returnReserveMs;
  return Math.min(callerTimeoutMs ?? defaultTimeoutMs, routeTimeoutMs ?? defaultTimeoutMs);
}

/** True for the gateway's own answers that promise that no target has run the request. */
function hasNotRun(answer: FinalAnswer): boolean {
  return answer.kind === 'own' && gatewayReasons[answer.reason].status === unavailableStatus;
}

function headerBytes(incoming: IncomingMessage): number {
  // Adds two bytes to each name and value, for the separator and the line end.
  return incoming.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function outcomeOf(answer: FinalAnswer | undefined): string {
  if (answer === undefined) return 'caller-gone';
  return answer.kind === 'relayed' ? 'relayed' : answer.reason;
}

function statusOf(answer: FinalAnswer | undefined): number {
  if (answer === undefined) return 0;
  return answer.kind === 'relayed' ? answer.answer.status : gatewayReasons[answer.reason].status;
}

function admissionFields(
  record: AdmissionRecord | undefined,
): Pick<RequestDecision, AdmissionField> {
  if (record === undefined) return {};
  const {admission, rank} = record;
  const {expectedMs, waitMs, remainingMs} = record.input;
  return {
    expectedMs: Math.round(expectedMs),
    waitMs: Math.round(waitMs),
    remainingMs: Math.round(remainingMs),
    rank,
    acceptedWaitMs: Math.round(admission.acceptedWaitMs),
    ...(admission.kind === 'refuse' ? {refusedFor: admission.reason} : {}),
  };
}

function leaseAgeOf(
  answer: FinalAnswer | undefined,
  keyLease: KeyLease,
): {readonly leaseAgeMs?: number} {
  if (answer?.kind !== 'own' || answer.reason !== 'keys-not-confirmed') return {};
  const {ageMs} = keyLease.status();
  return ageMs === undefined ? {} : {leaseAgeMs: ageMs};
}

function retryAfterOf(answer: FinalAnswer | undefined): {readonly retryAfterMs?: number} {
  if (answer?.kind !== 'own' || answer.retryAfterMs === undefined) return {};
  return {retryAfterMs: Math.round(answer.retryAfterMs)};
}
