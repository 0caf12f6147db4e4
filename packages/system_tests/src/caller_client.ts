/** Client of the caller port of one entry process. */
import * as http from 'node:http';
import {exchange, parseJsonBody} from '@cuminsill/standins';
import type {Instance, Outcome, SocketAddress} from '@cuminsill/types';

/** The result of one request of a caller. */
export interface CallerResult {
  /** `lost`: the connection closed when the request may already have been sent. */
  readonly kind: 'answered' | 'not-connected' | 'lost';
  /** HTTP status; undefined if no complete response arrived. */
  readonly status: number | undefined;
  /** Result code of a refusal; undefined for a response of a target. */
  readonly code: number | undefined;
  /** Outcome stated by a refusal. */
  readonly outcome: Outcome | undefined;
  readonly body: Buffer;
  readonly headers: http.IncomingHttpHeaders;
}

/** A request of a caller. */
export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  /** Sent as `Idempotency-Key`. */
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly agent?: http.Agent;
}

/** Longer than any deadline used in the tests. */
const responseTimeoutMs = 60_000;
const nonPersistentAgent = new http.Agent({keepAlive: false});

/** Sends one request from an address of the first region. */
export async function sendCallerRequest(
  address: SocketAddress,
  request: CallerRequest,
): Promise<CallerResult> {
  const keyHeader: Record<string, string> =
    request.key === undefined ? {} : {'idempotency-key': request.key};
  const exchangeResult = await exchange({
    address,
    localAddress: '127.1.0.1',
    method: request.method ?? 'GET',
    path: request.path,
    headers: {...keyHeader, ...request.headers},
    body: request.body === undefined ? undefined : Buffer.from(request.body),
    timeoutMs: responseTimeoutMs,
    agent: request.agent ?? nonPersistentAgent,
  });
  if (exchangeResult.kind !== 'answered') {
    return {
      kind: exchangeResult.kind,
      status: undefined,
      code: undefined,
      outcome: undefined,
      body: Buffer.alloc(0),
      headers: {},
    };
  }
  const {status, headers, body} = exchangeResult;
  const refusal =
    headers['x-result-code'] === undefined
      ? undefined
      : parseJsonBody<{code: number; outcome: Outcome}>(body);
  return {kind: 'answered', status, code: refusal?.code, outcome: refusal?.outcome, body, headers};
}

/** Sends an operation to the service `orders`, whose operations must run at most once. */
export function sendOrder(
  instance: Instance,
  key: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallerResult> {
  return sendCallerRequest(instance.callerAddress, {
    path: '/svc/orders/create',
    method: 'POST',
    key,
    body: `order ${key}`,
    headers,
  });
}
