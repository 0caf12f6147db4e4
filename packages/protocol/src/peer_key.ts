/**
 * Authentication between instances. Every call carries an HMAC of the time and the method, computed with the key that
 * all instances share; the key itself is never sent. Without TLS, an observer of the network can read the messages and
 * can replay a call within `maxSkewMs`; with mutual TLS, it can do neither.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Interceptor} from '@connectrpc/connect';
import {Code, ConnectError} from '@connectrpc/connect';

const headerName = 'x-cuminsill-peer';
const maxSkewMs = 300_000;

/** Returns the value of the authentication header for one call. */
export function signCall(peerKey: string, methodPath: string, nowMs: number): string {
  return `${nowMs}.${computeMac(peerKey, methodPath, nowMs)}`;
}

/** Whether a header value is a signature of this method with the key, made within `maxSkewMs` of `nowMs`. */
export function isSignedCall(
  peerKey: string,
  methodPath: string,
  nowMs: number,
  headerValue: string | null,
): boolean {
  const separator = headerValue?.indexOf('.') ?? -1;
  if (headerValue === null || separator < 1) return false;
  const signedAtMs = Number(headerValue.slice(0, separator));
  if (!Number.isSafeInteger(signedAtMs) || Math.abs(nowMs - signedAtMs) > maxSkewMs) return false;
  const expected = Buffer.from(computeMac(peerKey, methodPath, signedAtMs));
  const found = Buffer.from(headerValue.slice(separator + 1));
  return expected.length === found.length && timingSafeEqual(expected, found);
}

/** Signs outgoing calls. */
export function signingInterceptor(peerKey: string): Interceptor {
  return next => request => {
    request.header.set(headerName, signCall(peerKey, methodPathOf(request), Date.now()));
    return next(request);
  };
}

/** Refuses incoming calls that are not signed with the key. */
export function verifyingInterceptor(peerKey: string): Interceptor {
  return next => request => {
    const value = request.header.get(headerName);
    if (!isSignedCall(peerKey, methodPathOf(request), Date.now(), value)) {
      throw new ConnectError('the call is not signed with the peer key', Code.Unauthenticated);
    }
    return next(request);
  };
}

function methodPathOf(request: {
  readonly service: {readonly typeName: string};
  readonly method: {readonly name: string};
}): string {
  return `${request.service.typeName}/${request.method.name}`;
}

function computeMac(peerKey: string, methodPath: string, signedAtMs: number): string {
  return createHmac('sha256', peerKey).update(`${signedAtMs}.${methodPath}`).digest('base64url');
}
