/** Reads a caller's whole request, so that it can be sent to another target when one did not run it. */
import type {IncomingMessage} from 'node:http';
import {Effect} from 'effect';
import type {BodyBufferOptions, BodyOverflow} from '../memory/body_buffer';
import {BodyBuffer} from '../memory/body_buffer';
import type {BodyMemory, BodyReservation} from '../memory/body_memory';
import type {CallerHead} from './request_wire';

/** A request as the caller sent it. */
export interface CallerRequest {
  readonly head: CallerHead;
  readonly requestId: string;
  readonly method: string;
  /** Path and query as in the request line. */
  readonly path: string;
  readonly host: string | undefined;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly callerAddress: string;
  /** When the head arrived, on the monotonic clock. */
  readonly arrivedAtMs: number;
}

/** Why a body could not be read. */
export class BodyError extends Error {
  override readonly name = 'BodyError';

  constructor(readonly failure: BodyOverflow | 'broken-off') {
    super(failure);
  }
}

/** Limits for reading one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time for which the body may wait for room before any of it is read, in milliseconds. */
  readonly maxWaitMs: number;
}

const noBody = Buffer.alloc(0);

/**
 * Reads the body and hands it to `use`, at whose end its room is free again. Fails when the body exceeds the limit, when there
 * is no room for it, or when the connection ends early.
 */
export function withBody<Result>(
  request: IncomingMessage,
  memory: BodyMemory,
  limits: BodyLimits,
  use: (body: Buffer) => Effect.Effect<Result>,
): Effect.Effect<Result, BodyError> {
  if (hasNoBody(request)) return use(noBody);
  const {maxBytes, maxWaitMs} = limits;
  const length = request.headers['content-length'];
  const knownBytes = length === undefined ? undefined : Number(length);
  return Effect.uninterruptibleMask(restore =>
    Effect.flatMap(restore(reserveRoom(memory, knownBytes ?? 0, maxWaitMs)), reservation =>
      Effect.ensuring(
        restore(Effect.flatMap(readInto(request, {reservation, maxBytes, knownBytes}), use)),
        Effect.sync(() => reservation.release()),
      ),
    ),
  );
}

function reserveRoom(
  memory: BodyMemory,
  bytes: number,
  maxWaitMs: number,
): Effect.Effect<BodyReservation, BodyError> {
  return Effect.suspend(() => {
    const reservation = memory.tryReserve(bytes);
    if (reservation !== undefined) return Effect.succeed(reservation);
    const noRoom = () => new BodyError('no-room');
    return Effect.timeoutFail(memory.waitForRoom(bytes), {duration: maxWaitMs, onTimeout: noRoom});
  });
}

function readInto(
  request: IncomingMessage,
  options: BodyBufferOptions,
): Effect.Effect<Buffer, BodyError> {
  return Effect.async<Buffer, BodyError>(resume => {
    const body = new BodyBuffer(options);
    const fail = (failure: BodyError['failure']) => resume(Effect.fail(new BodyError(failure)));
    const onData = (chunk: Buffer) => {
      const overflow = body.add(chunk);
      if (overflow === undefined) return;
      request.off('data', onData);
      fail(overflow);
    };
    request.on('data', onData);
    request.on('end', () => resume(Effect.succeed(body.bytes())));
    request.on('error', () => fail('broken-off'));
    request.on('close', () => {
      if (!request.complete) fail('broken-off');
    });
    if (request.destroyed && !request.complete) fail('broken-off');
    return Effect.sync(() => {
      request.off('data', onData);
    });
  });
}

function hasNoBody(request: IncomingMessage): boolean {
  const {headers} = request;
  return headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0';
}
