/** Identifies a request and its repetitions, to recognize one that crashes the targets that run it. */
import {digest} from '@cuminsill/utils';
import type {CallerRequest} from './caller_request';

/** Longer paths are cut off in the log. */
const maxLoggedPathLength = 200;

/** What a fingerprint is made of; written to the log. */
export interface RequestIdentity {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly callerAddress: string;
  readonly bodyBytes: number;
}

/** Digest of the request without its headers, which may differ between repetitions. */
export function fingerprintOf({method, host, path, callerAddress, body}: CallerRequest): string {
  return digest(method, host ?? '', path, callerAddress, body);
}

/** Returns what the fingerprint is made of, with the size in place of the body. */
export function identityOf({
  method,
  host,
  path,
  callerAddress,
  body,
}: CallerRequest): RequestIdentity {
  return {
    method,
    host: host ?? '',
    path: path.slice(0, maxLoggedPathLength),
    callerAddress,
    bodyBytes: body.length,
  };
}
