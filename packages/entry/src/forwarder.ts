/**
 * Serves a forwarded request, from its validated head to the final response. Each request runs in one fiber, so a caller
 * that disconnects interrupts whatever its request is waiting for.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {ResultError, resultCodes} from '@cuminsill/types';
import {digest} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {RequestHead} from './request_head';
import type {RequestContext, ForwarderDependencies} from './forwarder_types';
import {serveIdempotent} from './serve_idempotent';
import {serveNonIdempotent} from './serve_non_idempotent';
import {BodyTooLargeError, ReplayableBody} from './replayable_body';

/** Forwards requests of callers to targets. */
export class Forwarder {
  constructor(private readonly deps: ForwarderDependencies) {}

  /** Serves a request. Fails with the refusal to send if no response has been started. */
  serve(
    head: RequestHead,
    request: IncomingMessage,
    response: ServerResponse,
  ): Effect.Effect<void, ResultError> {
    const {replayBufferBytes, maxBodyBytes} = this.deps;
    // Suspended, so that a thrown error fails only this request instead of ending the process.
    return Effect.suspend(() => {
      const absent = ReplayableBody.emptyFor(request, maxBodyBytes);
      if (absent !== undefined) return this.serveWithBody(head, request, response, absent);
      return Effect.flatMap(readBody(request, replayBufferBytes, maxBodyBytes), body =>
        this.serveWithBody(head, request, response, body),
      );
    });
  }

  private serveWithBody(
    head: RequestHead,
    request: IncomingMessage,
    response: ServerResponse,
    body: ReplayableBody,
  ): Effect.Effect<void, ResultError> {
    const {deps} = this;
    const fingerprint = digest(head.contract.id, head.method, head.targetPath, body.buffered);
    if (deps.poisonGuard.isQuarantined(fingerprint)) {
      return Effect.fail(new ResultError(resultCodes.quarantined));
    }
    const wasSuspected = deps.poisonGuard.isSuspected(fingerprint);
    const context: RequestContext = {head, request, response, body, fingerprint, wasSuspected};
    return head.isIdempotent ? serveIdempotent(deps, context) : serveNonIdempotent(deps, context);
  }
}

function readBody(
  request: IncomingMessage,
  maxBufferedBytes: number,
  maxBodyBytes: number,
): Effect.Effect<ReplayableBody, ResultError> {
  return ReplayableBody.read(request, maxBufferedBytes, maxBodyBytes).pipe(
    Effect.mapError(error =>
      error instanceof BodyTooLargeError
        ? new ResultError(resultCodes.bodyTooLarge, `The limit is ${maxBodyBytes} bytes.`)
        : new ResultError(resultCodes.callerCancelled),
    ),
  );
}
