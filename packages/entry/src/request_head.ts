/**
 * A caller's request after its head was checked: which service, by when, under which key. Everything that is
 * wrong with the head is found here, before anything is sent.
 */
import type {IncomingMessage} from 'node:http';
import {parseTimeoutMs, timeoutHeader} from '@cuminsill/steering';
import type {Configuration, ServiceContract} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';

/** The checked head of a request. */
export interface Call {
  readonly requestId: string;
  readonly contract: ServiceContract;
  readonly method: string;
  /** Path and query that the target sees. */
  readonly targetPath: string;
  readonly callerRegionId: string;
  readonly callerAddress: string;
  readonly tenant: string;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the request may be sent a second time. */
  readonly idempotent: boolean;
  /** Idempotency key within the service and tenant; undefined when the caller gave none. */
  readonly idempotencyKey: string | undefined;
  readonly configVersion: number;
}

/** What a call is checked against. */
export interface CallContext {
  readonly configuration: Configuration;
  readonly contracts: ReadonlyMap<string, ServiceContract>;
  readonly requestId: string;
  readonly callerRegionId: string;
  readonly maxTimeoutMs: number;
  readonly nowMs: number;
}

const readMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);
const servicePathPattern = /^\/svc\/([a-z0-9][a-z0-9.-]{0,63})(\/.*|\?.*)?$/;
const keyPattern = /^[\x21-\x7e]{1,200}$/;
const tenantPattern = /^[A-Za-z0-9._-]{1,64}$/;

/** Checks the head of a request. Throws ResultError, which is not-run, when it cannot be served. */
export function parseCall(request: IncomingMessage, context: CallContext): Call {
  const match = servicePathPattern.exec(request.url ?? '');
  if (match === null) throw malformed('the path must be /svc/<service>/<path>');
  const contract = context.contracts.get(match[1] ?? '');
  if (contract === undefined) {
    throw new ResultError(
      resultCodes.unknownService,
      `Service "${match[1]}" is not in the catalog.`,
    );
  }
  const method = request.method ?? 'GET';
  const idempotent = readMethods.has(method) || contract.idempotency === 'idempotent';
  const tenant = parseTenant(request);
  const idempotencyKey = parseKey(request, contract.id, tenant);
  if (!idempotent && idempotencyKey === undefined) {
    throw new ResultError(resultCodes.idempotencyKeyRequired);
  }
  return {
    requestId: context.requestId,
    contract,
    method,
    targetPath: normalisePath(match[2]),
    callerRegionId: context.callerRegionId,
    callerAddress: request.socket.remoteAddress ?? '',
    tenant,
    deadlineMs: context.nowMs + timeoutOf(request, contract, context.maxTimeoutMs),
    idempotent,
    idempotencyKey,
    configVersion: context.configuration.version,
  };
}

function normalisePath(path: string | undefined): string {
  if (path === undefined) return '/';
  return path.startsWith('/') ? path : `/${path}`;
}

function parseTenant(request: IncomingMessage): string {
  const tenant = request.headers['x-tenant'];
  if (tenant === undefined) return 'none';
  if (typeof tenant !== 'string' || !tenantPattern.test(tenant)) {
    throw malformed('x-tenant must have 1 to 64 letters, digits, dots, dashes or underscores');
  }
  return tenant;
}

/** Tenant of a request for metrics; `none` when it is missing or not valid. */
export function tenantOrNone(request: IncomingMessage): string {
  const tenant = request.headers['x-tenant'];
  return typeof tenant === 'string' && tenantPattern.test(tenant) ? tenant : 'none';
}

function parseKey(request: IncomingMessage, serviceId: string, tenant: string): string | undefined {
  const key = request.headers['idempotency-key'];
  if (key === undefined) return undefined;
  if (typeof key !== 'string' || !keyPattern.test(key)) {
    throw malformed('Idempotency-Key must have 1 to 200 visible ASCII characters');
  }
  return operationKey(serviceId, tenant, key);
}

/** Key of an operation over all services and tenants. */
export function operationKey(serviceId: string, tenant: string, idempotencyKey: string): string {
  return `${serviceId}/${tenant}/${idempotencyKey}`;
}

function timeoutOf(
  request: IncomingMessage,
  contract: ServiceContract,
  maxTimeoutMs: number,
): number {
  const parsed = parseTimeoutMs(request.headers[timeoutHeader], contract.defaultTimeoutMs);
  if (parsed instanceof ResultError) throw parsed;
  return Math.min(parsed, maxTimeoutMs);
}

function malformed(detail: string): ResultError {
  return new ResultError(resultCodes.malformedRequest, `Fix: ${detail}.`);
}
