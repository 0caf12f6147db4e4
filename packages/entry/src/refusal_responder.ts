/**
 * Sends refusals as JSON error bodies and keeps the recent ones for `explain`. The request id in the body ends in a
 * signed token with the facts of the refusal, so that any instance can explain it after this instance is gone.
 */
import type {ServerResponse} from 'node:http';
import {appendRefusalToken} from '@cuminsill/planner';
import type {ErrorBody, RefusalRecord, ResultError} from '@cuminsill/types';

/** The refused request, and the instance that refused it. */
export interface RefusalContext {
  readonly requestId: string;
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly configVersion: number;
  readonly instanceId: string;
  readonly atMs: number;
}

const maxRecentRefusals = 4096;
const defaultRetryAfterS = 1;

/** Sends refusals and keeps the recent ones. */
export class RefusalResponder {
  private readonly records: RefusalRecord[] = [];
  /** Where the ring of records begins; not 0 only once it is full. */
  private oldestIndex = 0;

  constructor(private readonly peerKey: string) {}

  /** Records the refusal and sends it, unless a response has already been started. */
  send(response: ServerResponse, context: RefusalContext, error: ResultError): void {
    const requestId = this.requestIdWithToken(context, error);
    this.record({
      requestId: context.requestId,
      code: error.result.code,
      atMs: context.atMs,
      serviceId: context.serviceId,
      detail: error.detail,
    });
    if (response.headersSent || response.destroyed) return;
    const retryAfterS = error.result.retryable
      ? (error.retryAfterS ?? defaultRetryAfterS)
      : undefined;
    writeError(response, error, requestId, retryAfterS);
  }

  /** The refusal of a request, if it is still kept. */
  find(requestId: string): RefusalRecord | undefined {
    return this.records.find(record => requestId.startsWith(record.requestId));
  }

  /** The newest kept refusals, up to `limit`, oldest first; for reports to the control process. */
  recent(limit: number): readonly RefusalRecord[] {
    const {records, oldestIndex} = this;
    return [...records.slice(oldestIndex), ...records.slice(0, oldestIndex)].slice(-limit);
  }

  private requestIdWithToken(context: RefusalContext, error: ResultError): string {
    return appendRefusalToken(
      context.requestId,
      {
        code: error.result.code,
        atMs: context.atMs,
        serviceId: context.serviceId,
        regionId: context.callerRegionId,
        configVersion: context.configVersion,
        instanceId: context.instanceId,
        detail: error.detail,
      },
      this.peerKey,
    );
  }

  private record(record: RefusalRecord): void {
    if (this.records.length < maxRecentRefusals) {
      this.records.push(record);
      return;
    }
    this.records[this.oldestIndex] = record;
    this.oldestIndex = (this.oldestIndex + 1) % maxRecentRefusals;
  }
}

/** Sends an error body with the HTTP status of its result code. */
export function writeError(
  response: ServerResponse,
  error: ResultError,
  requestId: string | undefined,
  retryAfterS: number | undefined,
): void {
  const {code, name, outcome, reason, httpStatus} = error.result;
  const body: ErrorBody = {code, name, outcome, reason, requestId, retryAfterS};
  const bytes = Buffer.from(JSON.stringify(body));
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': bytes.length,
    'x-result-code': code,
  };
  if (retryAfterS !== undefined) headers['retry-after'] = retryAfterS;
  response.writeHead(httpStatus, headers);
  response.end(bytes);
}
