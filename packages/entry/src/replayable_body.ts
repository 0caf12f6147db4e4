/**
 * The body of a caller's request. The first part is kept, so that a request that provably was not run can be sent
 * to another target; a body that is larger than the kept part is streamed and can be sent only once.
 */
import type {IncomingMessage} from 'node:http';
import type {Writable} from 'node:stream';
import {Effect} from 'effect';

/** The caller ended the connection before its body was complete. */
export class CallerGoneError extends Error {
  override readonly name = 'CallerGoneError';
}

/** The body is larger than allowed. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

const noBytes = Buffer.alloc(0);

/** A request body with its kept start. */
export class ReplayBody {
  private rest: IncomingMessage | undefined;
  private bytesSeen: number;

  private constructor(
    /** First part of the body; the whole body when `isWhole`. */
    readonly kept: Buffer,
    /** True when the body ended within the kept part. */
    readonly isWhole: boolean,
    private readonly source: IncomingMessage,
    private readonly maxBodyBytes: number,
  ) {
    this.rest = isWhole ? undefined : source;
    this.bytesSeen = kept.length;
  }

  /**
   * The body of a request whose head says that it has none; undefined when it may have one. Without either header a
   * request has no body (RFC 9112, section 6.3).
   */
  static absentIn(request: IncomingMessage, maxBodyBytes: number): ReplayBody | undefined {
    const {headers} = request;
    const length = headers['content-length'];
    if (headers['transfer-encoding'] !== undefined) return undefined;
    if (length !== undefined && length !== '0') return undefined;
    // The end of the request is still to be read, because the connection serves the next request after it.
    request.resume();
    return new ReplayBody(noBytes, true, request, maxBodyBytes);
  }

  /**
   * Reads up to `keepBytes` of the body. Fails with CallerGoneError or BodyTooLargeError.
   * @param maxBodyBytes Largest body in bytes; a longer one fails, also while it is streamed.
   */
  static read(
    request: IncomingMessage,
    keepBytes: number,
    maxBodyBytes: number,
  ): Effect.Effect<ReplayBody, CallerGoneError | BodyTooLargeError> {
    return Effect.async(resume => {
      const chunks: Buffer[] = [];
      let length = 0;
      const finish = (isWhole: boolean) => {
        stopListening();
        request.pause();
        resume(
          Effect.succeed(new ReplayBody(Buffer.concat(chunks), isWhole, request, maxBodyBytes)),
        );
      };
      const onData = (chunk: Buffer) => {
        chunks.push(chunk);
        length += chunk.length;
        if (length > maxBodyBytes) {
          stopListening();
          resume(Effect.fail(new BodyTooLargeError()));
        } else if (length > keepBytes) finish(false);
      };
      const onEnd = () => finish(true);
      const onClose = () => {
        stopListening();
        resume(Effect.fail(new CallerGoneError()));
      };
      const stopListening = () => {
        request.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose);
      };
      request.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose);
      return Effect.sync(stopListening);
    });
  }

  /** Whether the body can be sent (again). */
  get canSend(): boolean {
    return this.isWhole || this.rest !== undefined;
  }

  /** Writes the body with backpressure and ends the destination. A streamed rest can be written once. */
  writeTo(destination: Writable): void {
    if (this.isWhole) {
      if (this.kept.length === 0) destination.end();
      else destination.end(this.kept);
      return;
    }
    const rest = this.rest;
    this.rest = undefined;
    destination.write(this.kept);
    if (rest === undefined) destination.destroy();
    else this.streamRest(rest, destination);
  }

  /** Stops a body that is being streamed. */
  abandon(): void {
    if (!this.isWhole) this.source.unpipe();
  }

  private streamRest(rest: IncomingMessage, destination: Writable): void {
    rest.on('data', (chunk: Buffer) => {
      this.bytesSeen += chunk.length;
      if (this.bytesSeen > this.maxBodyBytes) destination.destroy(new BodyTooLargeError());
    });
    rest.once('aborted', () => destination.destroy(new CallerGoneError()));
    rest.pipe(destination);
  }
}
