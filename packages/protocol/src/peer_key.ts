/**
 * Authentication between instances. Every call carries a keyed digest of the time and the method, made with the key that all
 * instances share; the key itself never travels. Without TLS an observer of the network can read the messages and can
 * repeat a call within `maxSkewMs`; with mutual TLS it can do neither.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Interceptor} from '@connectrpc/connect';
import {Code, ConnectError} from '@connectrpc/connect';

const headerName = 'x-cuminsill-peer';
const maxSkewMs = 300_000;

/** Makes the value of the authentication header for one call. */
export function signCall(peerKey: string, methodPath: string, nowMs: number): string {
  return `${nowMs}.${mac(peerKey, methodPath, nowMs)}`;
}

/** Whether a header value was made with the key, for this method, within five minutes of `nowMs`. */
export function isSignedCall(
  peerKey: string,
  methodPath: string,
  nowMs: number,
  value: string | null,
): boolean {
  const separator = value?.indexOf('.') ?? -1;
  if (value === null || separator < 1) return false;
  const signedAtMs = Number(value.slice(0, separator));
  if (!Number.isSafeInteger(signedAtMs) || Math.abs(nowMs - signedAtMs) > maxSkewMs) return false;
  const expected = Buffer.from(mac(peerKey, methodPath, signedAtMs));
  const found = Buffer.from(value.slice(separator + 1));
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

function mac(peerKey: string, methodPath: string, signedAtMs: number): string {
  return createHmac('sha256', peerKey).update(`${signedAtMs}.${methodPath}`).digest('base64url');
}
