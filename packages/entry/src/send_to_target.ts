/**
 * One attempt at one target: sends the request and waits for the head of the response. How the attempt ended
 * tells apart what provably was not run from what may have run.
 */
import * as http from 'node:http';
import type {Target} from '@cuminsill/types';
import {connectionHeaders, namedByConnection} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {Call} from './request_head';
import type {ReplayBody} from './replayable_body';
import type {TargetConnections} from './target_connections';

/** How an attempt ended. */
export type AttemptEnd =
  /** The head of a final response arrived; the body follows on `response`. */
  | {readonly kind: 'responded'; readonly response: http.IncomingMessage}
  /** No connection was made, so nothing was sent. */
  | {readonly kind: 'connect-failed'}
  /** The connection was lost after the request may have been sent. */
  | {readonly kind: 'connection-lost'; readonly reusedConnection: boolean}
  /** The deadline passed before anything was sent. */
  | {readonly kind: 'timed-out-unsent'}
  /** The deadline passed and the request may have run; `late` waits on for how it ends, if that was asked for. */
  | {readonly kind: 'timed-out'; readonly late: Effect.Effect<LateEnd> | undefined};

/** How a request ended after its deadline. */
export type LateEnd =
  {readonly kind: 'responded'; readonly response: http.IncomingMessage} | {readonly kind: 'lost'};

/** What an attempt needs. */
export interface Attempt {
  readonly call: Call;
  readonly target: Target;
  readonly body: ReplayBody;
  readonly headers: http.OutgoingHttpHeaders;
  readonly connections: TargetConnections;
  /** Time left, in milliseconds. */
  readonly remainingMs: number;
  /** Time that the target is told, in milliseconds; less than `remainingMs` by the way there and back. */
  readonly nextHopTimeoutMs: number;
  /** Opens a connection for this attempt instead of taking a pooled one. */
  readonly freshConnection: boolean;
  /** How long to wait for a late response after the deadline, in milliseconds; 0 cancels at the deadline. */
  readonly lateWaitMs: number;
}

/** Request headers that concern one connection only, or that this hop sets itself. */
const hopHeaders: ReadonlySet<string> = new Set([
  ...connectionHeaders,
  'host',
  'x-forwarded-for',
  'x-request-id',
  'x-request-timeout-ms',
]);

/** Copies headers for the next hop, without those that concern one connection only. */
export function endToEndHeaders(headers: http.IncomingHttpHeaders): http.OutgoingHttpHeaders {
  const named = namedByConnection(headers.connection);
  const copied: http.OutgoingHttpHeaders = {};
  for (const name in headers) {
    if (!hopHeaders.has(name) && !named.has(name)) copied[name] = headers[name];
  }
  return copied;
}

/** Sends the request. Interruption closes the connection, which cancels the request at the target. */
export function sendToTarget(attempt: Attempt): Effect.Effect<AttemptEnd> {
  return Effect.async<AttemptEnd>(resume => {
    const {call, target, body} = attempt;
    let connected = false;
    const request = http.request({
      host: target.address.host,
      port: target.address.port,
      method: call.method,
      path: call.targetPath,
      headers: headersForTarget(attempt),
      agent: attempt.freshConnection ? false : attempt.connections.pooled(target),
    });
    const end = (result: AttemptEnd) => {
      clearTimeout(timer);
      resume(Effect.succeed(result));
    };
    const timer = setTimeout(() => {
      const waitsOn = connected && attempt.lateWaitMs > 0;
      const late = waitsOn ? lateEnd(request, attempt.lateWaitMs) : undefined;
      if (!waitsOn) request.destroy();
      end(connected ? {kind: 'timed-out', late} : {kind: 'timed-out-unsent'});
    }, attempt.remainingMs);
    request.on('socket', socket => {
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    request.on('error', () => {
      body.abandon();
      if (!connected) end({kind: 'connect-failed'});
      else end({kind: 'connection-lost', reusedConnection: request.reusedSocket});
    });
    request.on('response', response => end({kind: 'responded', response}));
    body.writeTo(request);
    return Effect.sync(() => {
      clearTimeout(timer);
      request.destroy();
    });
  });
}

const lost: LateEnd = {kind: 'lost'};

/** Listens from now on, because the response may arrive before anybody runs the returned effect. */
function lateEnd(request: http.ClientRequest, waitMs: number): Effect.Effect<LateEnd> {
  const ended = new Promise<LateEnd>(resolve => {
    const timer = setTimeout(() => {
      request.destroy();
      resolve(lost);
    }, waitMs);
    request.once('response', response => {
      clearTimeout(timer);
      resolve({kind: 'responded', response});
    });
    request.once('error', () => {
      clearTimeout(timer);
      resolve(lost);
    });
  });
  return Effect.promise(() => ended);
}

function headersForTarget(attempt: Attempt): http.OutgoingHttpHeaders {
  const {call, body} = attempt;
  const headers: http.OutgoingHttpHeaders = {
    ...attempt.headers,
    host: `${attempt.target.address.host}:${attempt.target.address.port}`,
    'x-request-id': call.requestId,
    'x-request-timeout-ms': String(attempt.nextHopTimeoutMs),
    'x-forwarded-for': call.callerAddress,
  };
  if (body.isWhole && body.kept.length > 0) headers['content-length'] = body.kept.length;
  return headers;
}
