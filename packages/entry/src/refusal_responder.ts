/**
 * Refusals: the JSON body that every refused request gets, and the memory of the last ones for `explain`. The
 * request id in the body ends in a signed token, so that it can be explained after this instance is gone.
 */
import type {ServerResponse} from 'node:http';
import {sealRefusal} from '@cuminsill/planner';
import type {ErrorBody, RefusalRecord, ResultError} from '@cuminsill/types';

/** What is known of the refused request. */
export interface RefusalFacts {
  readonly requestId: string;
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly configVersion: number;
  readonly instanceId: string;
  readonly atMs: number;
}

const rememberedRefusals = 4096;
const defaultRetryAfterS = 1;

/** Writes refusals and remembers the last ones. */
export class Refusals {
  private readonly records: RefusalRecord[] = [];
  private next = 0;

  constructor(private readonly peerKey: string) {}

  /** Answers with the refusal at once. Does nothing when an answer was already begun. */
  send(response: ServerResponse, facts: RefusalFacts, error: ResultError): void {
    const requestId = this.seal(facts, error);
    this.remember({
      requestId: facts.requestId,
      code: error.result.code,
      atMs: facts.atMs,
      serviceId: facts.serviceId,
      detail: error.detail,
    });
    if (response.headersSent || response.destroyed) return;
    const retryAfterS = error.result.retryable
      ? (error.retryAfterS ?? defaultRetryAfterS)
      : undefined;
    writeError(response, error, requestId, retryAfterS);
  }

  /** The refusal of a request, if it is still remembered. */
  find(requestId: string): RefusalRecord | undefined {
    return this.records.find(record => requestId.startsWith(record.requestId));
  }

  /** Refusals since the given count of all refusals; for reports. */
  recent(limit: number): readonly RefusalRecord[] {
    return this.records.slice(-limit);
  }

  private seal(facts: RefusalFacts, error: ResultError): string {
    return sealRefusal(
      facts.requestId,
      {
        code: error.result.code,
        atMs: facts.atMs,
        serviceId: facts.serviceId,
        regionId: facts.callerRegionId,
        configVersion: facts.configVersion,
        instanceId: facts.instanceId,
        detail: error.detail,
      },
      this.peerKey,
    );
  }

  private remember(record: RefusalRecord): void {
    if (this.records.length < rememberedRefusals) {
      this.records.push(record);
      return;
    }
    this.records[this.next] = record;
    this.next = (this.next + 1) % rememberedRefusals;
  }
}

/** Writes an error body with the status of its result code. */
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
