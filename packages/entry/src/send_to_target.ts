/**
 * One attempt: sends a request to one target and waits for the head of the response. The result distinguishes requests
 * that provably did not run from those that may have run.
 */
import * as http from 'node:http';
import type {Target} from '@cuminsill/types';
import {headersNamedByConnection, hopByHopHeaders, reportResponseFaults} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {RequestHead} from './request_head';
import type {ReplayableBody} from './replayable_body';
import type {TargetConnections} from './target_connections';

/** How an attempt ended. */
export type AttemptEnd =
  /** The head of the final response arrived; the body follows on `response`. */
  | {readonly kind: 'responded'; readonly response: http.IncomingMessage}
  /** The connection could not be opened, so nothing was sent. */
  | {readonly kind: 'connect-failed'}
  /** The connection was lost, and the request may have been sent. */
  | {readonly kind: 'connection-lost'; readonly reusedConnection: boolean}
  /** The deadline passed before anything was sent. */
  | {readonly kind: 'timed-out-unsent'}
  /** The deadline passed and the request may have run; `lateEnd` waits for the late response, if one is awaited. */
  | {readonly kind: 'timed-out'; readonly lateEnd: Effect.Effect<LateAttemptEnd> | undefined};

/** How an attempt ended after its deadline. */
export type LateAttemptEnd =
  {readonly kind: 'responded'; readonly response: http.IncomingMessage} | {readonly kind: 'lost'};

/** What an attempt sends, to which target, and its time limits. */
export interface Attempt {
  readonly head: RequestHead;
  readonly target: Target;
  readonly body: ReplayableBody;
  readonly headers: http.OutgoingHttpHeaders;
  readonly connections: TargetConnections;
  /** Time until the deadline of the request, in milliseconds. */
  readonly remainingMs: number;
  /** Timeout that is sent to the target, in milliseconds; less than `remainingMs` by the round-trip time. */
  readonly nextHopTimeoutMs: number;
  /** Whether to open a new connection instead of using a pooled one. */
  readonly opensNewConnection: boolean;
  /** How long to wait for a response after the deadline, in milliseconds; 0 cancels the request at the deadline. */
  readonly lateResponseTimeoutMs: number;
}

/** Hop-by-hop headers, and headers that the entry sets itself. */
const headersNotForwarded: ReadonlySet<string> = new Set([
  ...hopByHopHeaders,
  'host',
  'x-forwarded-for',
  'x-request-id',
  'x-request-timeout-ms',
]);

/** Copies headers without those that are not forwarded. */
export function endToEndHeaders(headers: http.IncomingHttpHeaders): http.OutgoingHttpHeaders {
  const namedHeaders = headersNamedByConnection(headers.connection);
  const copied: http.OutgoingHttpHeaders = {};
  for (const name in headers) {
    if (!headersNotForwarded.has(name) && !namedHeaders.has(name)) copied[name] = headers[name];
  }
  return copied;
}

/** Sends the request. Interruption closes the connection, which cancels the request at the target. */
export function sendToTarget(attempt: Attempt): Effect.Effect<AttemptEnd> {
  return Effect.async<AttemptEnd>(resume => {
    const {head, target, body} = attempt;
    let isConnected = false;
    const request = http.request({
      host: target.address.host,
      port: target.address.port,
      method: head.method,
      path: head.targetPath,
      headers: headersForTarget(attempt),
      agent: attempt.opensNewConnection ? false : attempt.connections.pooledAgent(target),
    });
    const end = (result: AttemptEnd) => {
      clearTimeout(timer);
      resume(Effect.succeed(result));
    };
    const timer = setTimeout(() => {
      const awaitsLateResponse = isConnected && attempt.lateResponseTimeoutMs > 0;
      const lateEnd = awaitsLateResponse
        ? awaitLateEnd(request, attempt.lateResponseTimeoutMs)
        : undefined;
      if (!awaitsLateResponse) request.destroy();
      end(isConnected ? {kind: 'timed-out', lateEnd} : {kind: 'timed-out-unsent'});
    }, attempt.remainingMs);
    let response: http.IncomingMessage | undefined;
    // A response that has begun would end in order if only its request were destroyed.
    reportResponseFaults(request, fault => (response ?? request).destroy(fault));
    request.on('socket', socket => {
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    });
    request.on('error', () => {
      body.stopStreaming();
      if (!isConnected) end({kind: 'connect-failed'});
      else end({kind: 'connection-lost', reusedConnection: request.reusedSocket});
    });
    request.on('response', received => {
      // The head may have been at fault.
      if (request.destroyed) return;
      response = received;
      end({kind: 'responded', response});
    });
    body.writeTo(request);
    return Effect.sync(() => {
      clearTimeout(timer);
      request.destroy();
    });
  });
}

const lostLateEnd: LateAttemptEnd = {kind: 'lost'};

/** Starts listening immediately, because the response may arrive before the returned effect runs. */
function awaitLateEnd(request: http.ClientRequest, waitMs: number): Effect.Effect<LateAttemptEnd> {
  const ended = new Promise<LateAttemptEnd>(resolve => {
    const timer = setTimeout(() => {
      request.destroy();
      resolve(lostLateEnd);
    }, waitMs);
    request.once('response', response => {
      if (request.destroyed) return;
      clearTimeout(timer);
      resolve({kind: 'responded', response});
    });
    request.once('error', () => {
      clearTimeout(timer);
      resolve(lostLateEnd);
    });
  });
  return Effect.promise(() => ended);
}

function headersForTarget(attempt: Attempt): http.OutgoingHttpHeaders {
  const {head, body} = attempt;
  const headers: http.OutgoingHttpHeaders = {
    ...attempt.headers,
    host: `${attempt.target.address.host}:${attempt.target.address.port}`,
    'x-request-id': head.requestId,
    'x-request-timeout-ms': String(attempt.nextHopTimeoutMs),
    'x-forwarded-for': head.callerAddress,
  };
  if (body.isWhole && body.buffered.length > 0) headers['content-length'] = body.buffered.length;
  return headers;
}
