/**
 * Stand-in caller. It asks which instances to use and caches the answer, sends each request to the first and,
 * when the connection fails, to the next one, sends refusals with outcome "not-run" again after their
 * `retryAfterS`, and asks for the outcome of an operation whose answer was lost.
 */
import * as http from 'node:http';
import type {ErrorBody, SocketAddress} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {exchange, jsonBody} from './http_exchange';
import type {ExchangeResult} from './http_exchange';
import {checkAnswer} from './target_answer';

/** One request of a caller. */
export interface CallerRequest {
  readonly serviceId: string;
  readonly method: string;
  /** Path below `/svc/<service>`, starting with a slash. */
  readonly path: string;
  readonly body?: Buffer;
  readonly idempotencyKey?: string;
  readonly timeoutMs: number;
  /** Further headers, for example those that steer a stand-in target. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** How a request ended for the caller. */
export interface CallResult {
  readonly serviceId: string;
  readonly requestNumber: string;
  readonly idempotencyKey?: string;
  /**
   * `answered` by a target; `refused` with outcome not-run; `run` without the answer; `unknown` also after
   * asking for the outcome; `unreachable` when no instance was reached.
   */
  readonly kind: 'answered' | 'refused' | 'run' | 'unknown' | 'unreachable';
  readonly status: number;
  /** Result code of a refusal; 0 for an answer. */
  readonly code: number;
  /** False when the answer is cut off or belongs to another request. */
  readonly whole: boolean;
  readonly targetId?: string;
  /** True when nothing arrived within a second after the deadline. */
  readonly timedOut: boolean;
  /** Refusals with outcome not-run that this request received, each of which must be true. */
  readonly notRunRefusals: number;
  readonly attempts: number;
  readonly durationMs: number;
  readonly detail: string;
}

/** Settings of a caller. */
export interface CallerOptions {
  /** Addresses to ask for instances when the cached ones do not answer. */
  readonly lookupAddresses: readonly SocketAddress[];
  /** Source address; it decides the region that the system sees. */
  readonly localAddress?: string;
  /** Number of times that a request is sent, with the first. */
  readonly maxAttempts: number;
  /** Number of times that the outcome of one operation is asked for. */
  readonly maxOutcomeQueries: number;
  /** Pause before an outcome is asked for again, or unreachable instances are tried again, in milliseconds. */
  readonly outcomeIntervalMs: number;
}

interface LookupAnswer {
  readonly instances: ReadonlyArray<{
    readonly instanceId: string;
    readonly host: string;
    readonly port: number;
  }>;
  readonly maxAgeS: number;
}

interface CachedLookup {
  readonly addresses: readonly SocketAddress[];
  readonly expiresAtMs: number;
}

interface CallState {
  readonly request: CallerRequest;
  readonly requestNumber: string;
  readonly startedAtMs: number;
  readonly deadlineMs: number;
  attempts: number;
  notRunRefusals: number;
}

type CallEnd = Pick<CallResult, 'kind' | 'status' | 'code' | 'whole' | 'targetId' | 'detail'> & {
  readonly timedOut?: boolean;
};

let lastRequestNumber = 0;

/** One caller with its own cache and connections. */
export class StandinCaller {
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 256});
  private readonly cachedLookups = new Map<string, CachedLookup>();

  constructor(
    private readonly options: CallerOptions,
    private readonly time: TimeSource,
  ) {}

  /** Sends a request until it has an answer, or no further attempt is allowed. Never rejects. */
  async send(request: CallerRequest): Promise<CallResult> {
    lastRequestNumber += 1;
    const startedAtMs = this.time.monotonicMs();
    const state: CallState = {
      request,
      requestNumber: `${process.pid}-${lastRequestNumber}`,
      startedAtMs,
      deadlineMs: startedAtMs + request.timeoutMs,
      attempts: 0,
      notRunRefusals: 0,
    };
    const ending = await this.sendWithRetries(state);
    return {
      serviceId: request.serviceId,
      requestNumber: state.requestNumber,
      idempotencyKey: request.idempotencyKey,
      timedOut: false,
      ...ending,
      notRunRefusals: state.notRunRefusals,
      attempts: state.attempts,
      durationMs: this.time.monotonicMs() - startedAtMs,
    };
  }

  /** Instances for a service, from the cache or from the system; empty when none answers. */
  async lookup(serviceId: string): Promise<readonly SocketAddress[]> {
    const cached = this.cachedLookups.get(serviceId);
    if (cached !== undefined && cached.expiresAtMs > this.time.monotonicMs())
      return cached.addresses;
    for (const address of [...(cached?.addresses ?? []), ...this.options.lookupAddresses]) {
      const result = await this.exchange(address, 'GET', `/v1/lookup?service=${serviceId}`, 2000);
      if (result.kind !== 'answered' || result.status !== 200) continue;
      const answer = jsonBody<LookupAnswer>(result.body);
      if (answer === undefined || answer.instances.length === 0) continue;
      const untilMs = this.time.monotonicMs() + answer.maxAgeS * 1000;
      const addresses = answer.instances.map(({host, port}) => ({host, port}));
      this.cachedLookups.set(serviceId, {addresses, expiresAtMs: untilMs});
      return addresses;
    }
    return cached?.addresses ?? [];
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private async sendWithRetries(state: CallState): Promise<CallEnd> {
    for (;;) {
      const addresses = await this.lookup(state.request.serviceId);
      const result = await this.sendToFirstReachable(state, addresses);
      const ending = this.classifyResult(state, result);
      const waitMs = this.retryWaitMs(state, result, ending);
      if (waitMs !== undefined) await sleep(waitMs);
      else return ending.kind === 'unknown' ? this.pollOutcome(state, ending) : ending;
    }
  }

  /** The first answer; without one, the first loss, because that request may have run. */
  private async sendToFirstReachable(
    state: CallState,
    addresses: readonly SocketAddress[],
  ): Promise<ExchangeResult> {
    let lastFailure: ExchangeResult = {kind: 'not-connected', detail: 'no instance is known'};
    if (addresses.length === 0) state.attempts += 1;
    for (const address of addresses) {
      state.attempts += 1;
      const result = await this.sendAttempt(state, address);
      if (result.kind === 'answered') return result;
      this.cachedLookups.delete(state.request.serviceId);
      lastFailure = lastFailure.kind === 'lost' ? lastFailure : result;
      // A request that timed out has used up its time; one without a key could run twice.
      if (result.kind === 'lost' && (result.timedOut || !isSafeToRepeat(state.request)))
        return result;
    }
    return lastFailure;
  }

  private sendAttempt(state: CallState, address: SocketAddress): Promise<ExchangeResult> {
    const {request} = state;
    const remainingMs = Math.max(1, Math.round(state.deadlineMs - this.time.monotonicMs()));
    return exchange({
      address,
      localAddress: this.options.localAddress,
      method: request.method,
      path: `/svc/${request.serviceId}${request.path}`,
      headers: {
        ...request.headers,
        'x-request-timeout-ms': String(remainingMs),
        'x-standin-request-number': state.requestNumber,
        ...(request.idempotencyKey === undefined
          ? {}
          : {'idempotency-key': request.idempotencyKey}),
      },
      body: request.body,
      // The system answers at the deadline; its answer needs some time to arrive.
      timeoutMs: remainingMs + 1000,
      agent: this.agent,
    });
  }

  private classifyResult(state: CallState, result: ExchangeResult): CallEnd {
    if (result.kind === 'not-connected') return unreachable(result.detail);
    if (result.kind === 'lost') {
      const {detail, timedOut} = result;
      return {kind: 'unknown', status: 0, code: 0, whole: true, timedOut, detail};
    }
    const refusal = jsonBody<ErrorBody>(result.body);
    if (refusal?.code !== undefined && refusal.outcome !== undefined) {
      return this.classifyRefusal(state, result.status, refusal);
    }
    const body = state.request.body ?? Buffer.alloc(0);
    const checked = checkAnswer(result.body, state.requestNumber, body);
    return {
      kind: 'answered',
      status: result.status,
      code: 0,
      whole: checked?.whole ?? result.status !== 200,
      targetId: checked?.head.targetId,
      detail: '',
    };
  }

  private classifyRefusal(state: CallState, status: number, refusal: ErrorBody): CallEnd {
    const kinds = {'not-run': 'refused', run: 'run', unknown: 'unknown'} as const;
    if (refusal.outcome === 'not-run') state.notRunRefusals += 1;
    return {
      kind: kinds[refusal.outcome],
      status,
      code: refusal.code,
      whole: true,
      detail: refusal.detail ?? refusal.reason,
    };
  }

  /** Time to wait before the next attempt; undefined when there is none. */
  private retryWaitMs(
    state: CallState,
    result: ExchangeResult,
    ending: CallEnd,
  ): number | undefined {
    if (state.attempts >= this.options.maxAttempts) return undefined;
    const waitMs = this.requestedWaitMs(result, ending);
    if (waitMs === undefined) return undefined;
    return this.time.monotonicMs() + waitMs < state.deadlineMs ? waitMs : undefined;
  }

  private requestedWaitMs(result: ExchangeResult, ending: CallEnd): number | undefined {
    if (result.kind === 'not-connected') return this.options.outcomeIntervalMs;
    if (result.kind !== 'answered' || ending.kind !== 'refused') return undefined;
    const retryAfterS = jsonBody<ErrorBody>(result.body)?.retryAfterS;
    return retryAfterS === undefined ? undefined : retryAfterS * 1000;
  }

  /** An operation counts as not run only after its deadline, because it may still be on its way before. */
  private async pollOutcome(state: CallState, ending: CallEnd): Promise<CallEnd> {
    const {idempotencyKey: key, serviceId} = state.request;
    if (key === undefined) return ending;
    const path = `/v1/outcomes/${encodeURIComponent(key)}?service=${serviceId}`;
    for (let query = 0; query < this.options.maxOutcomeQueries; query += 1) {
      if (query > 0) await sleep(this.options.outcomeIntervalMs);
      const askedAtMs = this.time.monotonicMs();
      const outcome = await this.queryOutcome(serviceId, path);
      if (outcome === 'run') return {...ending, kind: 'run'};
      if (outcome === 'not-run' && askedAtMs > state.deadlineMs) {
        return {...ending, kind: 'refused'};
      }
    }
    return ending;
  }

  private async queryOutcome(serviceId: string, path: string): Promise<string | undefined> {
    for (const address of await this.lookup(serviceId)) {
      const result = await this.exchange(address, 'GET', path, 2000);
      if (result.kind !== 'answered') continue;
      return jsonBody<{readonly state?: string}>(result.body)?.state;
    }
    return undefined;
  }

  private exchange(
    address: SocketAddress,
    method: string,
    path: string,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    const {localAddress} = this.options;
    return exchange({
      address,
      localAddress,
      method,
      path,
      headers: {},
      timeoutMs,
      agent: this.agent,
    });
  }
}

function isSafeToRepeat(request: CallerRequest): boolean {
  return request.idempotencyKey !== undefined || ['GET', 'HEAD'].includes(request.method);
}

function unreachable(detail: string): CallEnd {
  return {kind: 'unreachable', status: 0, code: 0, whole: true, detail};
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
