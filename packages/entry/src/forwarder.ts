/**
 * Serves one caller's request from its checked head to its final answer. Each request is one fiber, so a caller
 * that goes away interrupts whatever its request waits for.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {ResultError, resultCodes} from '@cuminsill/types';
import {digest} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {Call} from './request_head';
import type {Flight, ForwarderParts} from './forwarder_types';
import {serveIdempotent} from './serve_idempotent';
import {serveOnce} from './serve_non_idempotent';
import {BodyTooLargeError, ReplayBody} from './replayable_body';

/** Forwards requests. */
export class Forwarder {
  constructor(private readonly parts: ForwarderParts) {}

  /** Serves a request. Fails with the refusal to send when no response was begun. */
  serve(
    call: Call,
    request: IncomingMessage,
    response: ServerResponse,
  ): Effect.Effect<void, ResultError> {
    const {replayBufferBytes, maxBodyBytes} = this.parts;
    // Suspended, so that an error thrown on the way ends this request and not the process.
    return Effect.suspend(() => {
      const absent = ReplayBody.absentIn(request, maxBodyBytes);
      if (absent !== undefined) return this.serveWithBody(call, request, response, absent);
      return Effect.flatMap(readBody(request, replayBufferBytes, maxBodyBytes), body =>
        this.serveWithBody(call, request, response, body),
      );
    });
  }

  private serveWithBody(
    call: Call,
    request: IncomingMessage,
    response: ServerResponse,
    body: ReplayBody,
  ): Effect.Effect<void, ResultError> {
    const {parts} = this;
    const fingerprint = digest(call.contract.id, call.method, call.targetPath, body.kept);
    if (parts.poison.isQuarantined(fingerprint)) {
      return Effect.fail(new ResultError(resultCodes.quarantined));
    }
    const flight: Flight = {call, request, response, body, fingerprint};
    return call.idempotent ? serveIdempotent(parts, flight) : serveOnce(parts, flight);
  }
}

function readBody(
  request: IncomingMessage,
  keepBytes: number,
  maxBodyBytes: number,
): Effect.Effect<ReplayBody, ResultError> {
  return ReplayBody.read(request, keepBytes, maxBodyBytes).pipe(
    Effect.mapError(error =>
      error instanceof BodyTooLargeError
        ? new ResultError(resultCodes.bodyTooLarge, `The limit is ${maxBodyBytes} bytes.`)
        : new ResultError(resultCodes.callerCancelled),
    ),
  );
}
