/**
 * Parses and validates the head of a caller's request: service, path, deadline, tenant and idempotency key. An invalid
 * request is refused before anything is sent to a target.
 */
import type {IncomingMessage} from 'node:http';
import {parseTimeoutMs, timeoutHeader} from '@cuminsill/steering';
import type {Configuration, ServiceContract} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';

/** The validated head of a request. */
export interface RequestHead {
  readonly requestId: string;
  readonly contract: ServiceContract;
  readonly method: string;
  /** Path and query that are sent to the target. */
  readonly targetPath: string;
  readonly callerRegionId: string;
  readonly callerAddress: string;
  readonly tenant: string;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the request may be sent to targets more than once. */
  readonly isIdempotent: boolean;
  /** Idempotency key with service and tenant; undefined when the caller sent none. */
  readonly idempotencyKey: string | undefined;
  readonly configVersion: number;
}

/** What a request head is validated against. */
export interface RequestHeadContext {
  readonly configuration: Configuration;
  readonly contracts: ReadonlyMap<string, ServiceContract>;
  readonly requestId: string;
  readonly callerRegionId: string;
  readonly maxTimeoutMs: number;
  readonly nowMs: number;
}

const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);
const servicePathPattern = /^\/svc\/([a-z0-9][a-z0-9.-]{0,63})(\/.*|\?.*)?$/;
const idempotencyKeyPattern = /^[\x21-\x7e]{1,200}$/;
const tenantPattern = /^[A-Za-z0-9._-]{1,64}$/;

/** Parses and validates the head of a request. Throws a ResultError with outcome `not-run` when it is invalid. */
export function parseRequestHead(
  request: IncomingMessage,
  context: RequestHeadContext,
): RequestHead {
  const pathMatch = servicePathPattern.exec(request.url ?? '');
  if (pathMatch === null) throw malformedRequestError('the path must be /svc/<service>/<path>');
  const contract = context.contracts.get(pathMatch[1] ?? '');
  if (contract === undefined) {
    throw new ResultError(
      resultCodes.unknownService,
      `Service "${pathMatch[1]}" is not in the catalog.`,
    );
  }
  const method = request.method ?? 'GET';
  const isIdempotent = safeMethods.has(method) || contract.idempotency === 'idempotent';
  const tenant = parseTenant(request);
  const idempotencyKey = parseIdempotencyKey(request, contract.id, tenant);
  if (!isIdempotent && idempotencyKey === undefined) {
    throw new ResultError(resultCodes.idempotencyKeyRequired);
  }
  return {
    requestId: context.requestId,
    contract,
    method,
    targetPath: withLeadingSlash(pathMatch[2]),
    callerRegionId: context.callerRegionId,
    callerAddress: request.socket.remoteAddress ?? '',
    tenant,
    deadlineMs: context.nowMs + effectiveTimeoutMs(request, contract, context.maxTimeoutMs),
    isIdempotent,
    idempotencyKey,
    configVersion: context.configuration.version,
  };
}

function withLeadingSlash(path: string | undefined): string {
  if (path === undefined) return '/';
  return path.startsWith('/') ? path : `/${path}`;
}

function parseTenant(request: IncomingMessage): string {
  const tenant = request.headers['x-tenant'];
  if (tenant === undefined) return 'none';
  if (typeof tenant !== 'string' || !tenantPattern.test(tenant)) {
    throw malformedRequestError(
      'x-tenant must have 1 to 64 letters, digits, dots, dashes or underscores',
    );
  }
  return tenant;
}

/** Tenant of a request for metrics; `none` when the header is missing or invalid. */
export function tenantOrNone(request: IncomingMessage): string {
  const tenant = request.headers['x-tenant'];
  return typeof tenant === 'string' && tenantPattern.test(tenant) ? tenant : 'none';
}

function parseIdempotencyKey(
  request: IncomingMessage,
  serviceId: string,
  tenant: string,
): string | undefined {
  const key = request.headers['idempotency-key'];
  if (key === undefined) return undefined;
  if (typeof key !== 'string' || !idempotencyKeyPattern.test(key)) {
    throw malformedRequestError('Idempotency-Key must have 1 to 200 visible ASCII characters');
  }
  return operationKey(serviceId, tenant, key);
}

/** Key of an operation that is unique across services and tenants. */
export function operationKey(serviceId: string, tenant: string, idempotencyKey: string): string {
  return `${serviceId}/${tenant}/${idempotencyKey}`;
}

function effectiveTimeoutMs(
  request: IncomingMessage,
  contract: ServiceContract,
  maxTimeoutMs: number,
): number {
  const parsed = parseTimeoutMs(request.headers[timeoutHeader], contract.defaultTimeoutMs);
  if (parsed instanceof ResultError) throw parsed;
  return Math.min(parsed, maxTimeoutMs);
}

function malformedRequestError(detail: string): ResultError {
  return new ResultError(resultCodes.malformedRequest, `Fix: ${detail}.`);
}
