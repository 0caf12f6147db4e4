/** Callers of the tests: requests to the callers' port of one entry. */
import * as http from 'node:http';
import {exchange, jsonBody} from '@cuminsill/standins';
import type {Instance, Outcome, SocketAddress} from '@cuminsill/types';

/** How a request of a caller ended. */
export interface CallerResult {
  /** `lost`: the connection ended after the request may have been sent. */
  readonly end: 'answered' | 'not-connected' | 'lost';
  /** Undefined when no whole answer arrived. */
  readonly status: number | undefined;
  /** Numbered result of a refusal; undefined for an answer of a target. */
  readonly code: number | undefined;
  /** Outcome that a refusal states. */
  readonly outcome: Outcome | undefined;
  readonly body: Buffer;
  readonly headers: http.IncomingHttpHeaders;
}

/** What a caller sends. */
export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  /** Sent as `Idempotency-Key`. */
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly agent?: http.Agent;
}

/** Longer than any deadline that the tests use. */
const wholeAnswerMs = 60_000;
const oneRequestPerConnection = new http.Agent({keepAlive: false});

/** Sends one request of a caller of the first region. */
export async function sendTo(address: SocketAddress, call: CallerRequest): Promise<CallerResult> {
  const key: Record<string, string> = call.key === undefined ? {} : {'idempotency-key': call.key};
  const result = await exchange({
    address,
    localAddress: '127.1.0.1',
    method: call.method ?? 'GET',
    path: call.path,
    headers: {...key, ...call.headers},
    body: call.body === undefined ? undefined : Buffer.from(call.body),
    timeoutMs: wholeAnswerMs,
    agent: call.agent ?? oneRequestPerConnection,
  });
  if (result.kind !== 'answered') {
    return {
      end: result.kind,
      status: undefined,
      code: undefined,
      outcome: undefined,
      body: Buffer.alloc(0),
      headers: {},
    };
  }
  const {status, headers, body} = result;
  const refusal =
    headers['x-result-code'] === undefined
      ? undefined
      : jsonBody<{code: number; outcome: Outcome}>(body);
  return {end: 'answered', status, code: refusal?.code, outcome: refusal?.outcome, body, headers};
}

/** Sends an operation that must run at most once. */
export function sendOrder(
  instance: Instance,
  key: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallerResult> {
  return sendTo(instance.callerAddress, {
    path: '/svc/orders/create',
    method: 'POST',
    key,
    body: `order ${key}`,
    headers,
  });
}
