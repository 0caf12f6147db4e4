/** Identifies a request and its repetitions, to recognize one that crashes the targets that run it. */
import {digest} from '@cuminsill/utils';
import type {CallerRequest} from './caller_request';

/** Longer paths are cut off in the log. */
const maxLoggedPathLength = 200;

/** What the log tells of a request with a fingerprint. */
export interface RequestIdentity {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly callerAddress: string;
  readonly bodyBytes: number;
}

/**
 * Digest of what a target runs. Headers and the caller's address are left out: they may differ between repetitions, and
 * a caller may have many addresses.
 */
export function fingerprintOf({method, host, path, body}: CallerRequest): string {
  return digest(method, host ?? '', path, body);
}

/** Returns the parts of the fingerprint, with the size in place of the body, and the caller's address. */
export function identityOf(request: CallerRequest): RequestIdentity {
  const {method, host, path, callerAddress, body} = request;
  return {
    method,
    host: host ?? '',
    path: path.slice(0, maxLoggedPathLength),
    callerAddress,
    bodyBytes: body.length,
  };
}
