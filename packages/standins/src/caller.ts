/**
 * Stand-in caller. It looks up instances and caches the answer, sends each request to the first instance and, when the
 * connection fails, to the next one. It retries a refusal with outcome "not-run" after its `retryAfterS`, and queries the
 * outcome of an operation whose answer was lost.
 */
import * as http from 'node:http';
import type {ErrorBody, SocketAddress} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {exchange, parseJsonBody} from './http_exchange';
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
  /** Further headers, for example those that control a stand-in target. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** How a request ended for the caller. */
export interface CallResult {
  readonly serviceId: string;
  readonly requestNumber: string;
  readonly idempotencyKey?: string;
  /**
   * `answered`: a target answered; `refused`: the outcome is not-run; `run`: the operation ran, but its answer was lost;
   * `unknown`: not even a query told the outcome; `unreachable`: no instance accepted a connection.
   */
  readonly kind: 'answered' | 'refused' | 'run' | 'unknown' | 'unreachable';
  readonly status: number;
  /** Result code of a refusal; 0 for an answer. */
  readonly code: number;
  /** False when the answer is truncated or belongs to another request. */
  readonly isIntact: boolean;
  readonly targetId?: string;
  /** True when nothing arrived within a second after the deadline. */
  readonly timedOut: boolean;
  /** Number of refusals with outcome not-run that this request received. Each of them must be true. */
  readonly notRunRefusals: number;
  readonly attempts: number;
  readonly durationMs: number;
  readonly detail: string;
}

/** Options of a stand-in caller. */
export interface CallerOptions {
  /** Addresses for look-ups when the cached instances do not answer. */
  readonly lookupAddresses: readonly SocketAddress[];
  /** Source address, from which the system derives the region of the caller. */
  readonly localAddress?: string;
  /** Maximum number of attempts, including the first. */
  readonly maxAttempts: number;
  /** Maximum number of queries for the outcome of one operation. */
  readonly maxOutcomeQueries: number;
  /** Pause between two outcome queries, and before unreachable instances are tried again, in milliseconds. */
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

type CallEnd = Pick<CallResult, 'kind' | 'status' | 'code' | 'isIntact' | 'targetId' | 'detail'> & {
  readonly timedOut?: boolean;
};

let lastRequestNumber = 0;

/** A caller with its own look-up cache and connections. */
export class StandinCaller {
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 256});
  private readonly cachedLookups = new Map<string, CachedLookup>();

  constructor(
    private readonly options: CallerOptions,
    private readonly time: TimeSource,
  ) {}

  /** Sends a request until it has an answer or no further attempt is allowed. The promise never rejects. */
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
    const end = await this.sendWithRetries(state);
    return {
      serviceId: request.serviceId,
      requestNumber: state.requestNumber,
      idempotencyKey: request.idempotencyKey,
      timedOut: false,
      ...end,
      notRunRefusals: state.notRunRefusals,
      attempts: state.attempts,
      durationMs: this.time.monotonicMs() - startedAtMs,
    };
  }

  /** Looks up the instances for a service, in the cache or in the system. Empty when no instance answers. */
  async lookup(serviceId: string): Promise<readonly SocketAddress[]> {
    const hit = this.cachedLookups.get(serviceId);
    if (hit !== undefined && hit.expiresAtMs > this.time.monotonicMs()) return hit.addresses;
    for (const address of [...(hit?.addresses ?? []), ...this.options.lookupAddresses]) {
      const result = await this.exchange(address, 'GET', `/v1/lookup?service=${serviceId}`, 2000);
      if (result.kind !== 'answered' || result.status !== 200) continue;
      const answer = parseJsonBody<LookupAnswer>(result.body);
      if (answer === undefined || answer.instances.length === 0) continue;
      const expiresAtMs = this.time.monotonicMs() + answer.maxAgeS * 1000;
      const addresses = answer.instances.map(({host, port}) => ({host, port}));
      this.cachedLookups.set(serviceId, {addresses, expiresAtMs});
      return addresses;
    }
    return hit?.addresses ?? [];
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private async sendWithRetries(state: CallState): Promise<CallEnd> {
    for (;;) {
      const addresses = await this.lookup(state.request.serviceId);
      const result = await this.sendToFirstReachable(state, addresses);
      const end = this.classifyResult(state, result);
      const waitMs = this.retryWaitMs(state, result, end);
      if (waitMs !== undefined) await sleep(waitMs);
      else return end.kind === 'unknown' ? this.pollOutcome(state, end) : end;
    }
  }

  /**
   * Tries the addresses in order and returns the first answer. Without an answer it returns the first lost attempt rather
   * than a failed connection, because a lost request may have run.
   */
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
      // A timed-out request has no time left; an operation without an idempotency key could run twice.
      if (result.kind === 'lost' && (result.timedOut || !mayRepeat(state.request))) return result;
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
      // The system may answer as late as at the deadline, and the answer takes time to arrive.
      timeoutMs: remainingMs + 1000,
      agent: this.agent,
    });
  }

  private classifyResult(state: CallState, result: ExchangeResult): CallEnd {
    if (result.kind === 'not-connected') return unreachable(result.detail);
    if (result.kind === 'lost') {
      const {detail, timedOut} = result;
      return {kind: 'unknown', status: 0, code: 0, isIntact: true, timedOut, detail};
    }
    const refusal = parseJsonBody<ErrorBody>(result.body);
    if (refusal?.code !== undefined && refusal.outcome !== undefined) {
      return this.classifyRefusal(state, result.status, refusal);
    }
    const body = state.request.body ?? Buffer.alloc(0);
    const checked = checkAnswer(result.body, state.requestNumber, body);
    return {
      kind: 'answered',
      status: result.status,
      code: 0,
      isIntact: checked?.isIntact ?? result.status !== 200,
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
      isIntact: true,
      detail: refusal.detail ?? refusal.reason,
    };
  }

  /** Time to wait before the next attempt; undefined when there must be none. */
  private retryWaitMs(state: CallState, result: ExchangeResult, end: CallEnd): number | undefined {
    if (state.attempts >= this.options.maxAttempts) return undefined;
    const waitMs = this.requestedWaitMs(result, end);
    if (waitMs === undefined) return undefined;
    return this.time.monotonicMs() + waitMs < state.deadlineMs ? waitMs : undefined;
  }

  private requestedWaitMs(result: ExchangeResult, end: CallEnd): number | undefined {
    if (result.kind === 'not-connected') return this.options.outcomeIntervalMs;
    if (result.kind !== 'answered' || end.kind !== 'refused') return undefined;
    const retryAfterS = parseJsonBody<ErrorBody>(result.body)?.retryAfterS;
    return retryAfterS === undefined ? undefined : retryAfterS * 1000;
  }

  /** Queries the outcome until it is known. Not-run is final only after the deadline; until then it may still run. */
  private async pollOutcome(state: CallState, end: CallEnd): Promise<CallEnd> {
    const {idempotencyKey: key, serviceId} = state.request;
    if (key === undefined) return end;
    const path = `/v1/outcomes/${encodeURIComponent(key)}?service=${serviceId}`;
    for (let query = 0; query < this.options.maxOutcomeQueries; query += 1) {
      if (query > 0) await sleep(this.options.outcomeIntervalMs);
      const askedAtMs = this.time.monotonicMs();
      const outcome = await this.queryOutcome(serviceId, path);
      if (outcome === 'run') return {...end, kind: 'run'};
      if (outcome === 'not-run' && askedAtMs > state.deadlineMs) {
        return {...end, kind: 'refused'};
      }
    }
    return end;
  }

  private async queryOutcome(serviceId: string, path: string): Promise<string | undefined> {
    for (const address of await this.lookup(serviceId)) {
      const result = await this.exchange(address, 'GET', path, 2000);
      if (result.kind !== 'answered') continue;
      return parseJsonBody<{readonly state?: string}>(result.body)?.state;
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

function mayRepeat(request: CallerRequest): boolean {
  return request.idempotencyKey !== undefined || ['GET', 'HEAD'].includes(request.method);
}

function unreachable(detail: string): CallEnd {
  return {kind: 'unreachable', status: 0, code: 0, isIntact: true, detail};
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
