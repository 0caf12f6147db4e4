/**
 * The body of a caller's request. Its start is buffered, so that a request that provably was not run can be sent to
 * another target. A body larger than the buffer is streamed and can be sent only once.
 */
import type {IncomingMessage} from 'node:http';
import type {Writable} from 'node:stream';
import {Effect} from 'effect';

/** The caller disconnected before its body was complete. */
export class CallerGoneError extends Error {
  override readonly name = 'CallerGoneError';
}

/** The body is larger than the configured limit. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

const emptyBuffer = Buffer.alloc(0);

/** A request body whose start is buffered. */
export class ReplayableBody {
  private remainder: IncomingMessage | undefined;
  private receivedBytes: number;

  private constructor(
    /** Start of the body; the whole body if `isWhole`. */
    readonly buffered: Buffer,
    /** Whether the body ended within the buffer. */
    readonly isWhole: boolean,
    private readonly source: IncomingMessage,
    private readonly maxBodyBytes: number,
  ) {
    this.remainder = isWhole ? undefined : source;
    this.receivedBytes = buffered.length;
  }

  /**
   * An empty body if the request head rules out a body, otherwise undefined. A request with neither `content-length` nor
   * `transfer-encoding` has no body (RFC 9112, section 6.3).
   */
  static emptyFor(request: IncomingMessage, maxBodyBytes: number): ReplayableBody | undefined {
    const {headers} = request;
    const length = headers['content-length'];
    if (headers['transfer-encoding'] !== undefined) return undefined;
    if (length !== undefined && length !== '0') return undefined;
    // Consume the end of the request, so that the connection can serve the next one.
    request.resume();
    return new ReplayableBody(emptyBuffer, true, request, maxBodyBytes);
  }

  /**
   * Buffers the start of the body, until it exceeds `maxBufferedBytes`. Fails with CallerGoneError or BodyTooLargeError.
   * @param maxBodyBytes Largest allowed body in bytes; also enforced while the rest of the body is streamed.
   */
  static read(
    request: IncomingMessage,
    maxBufferedBytes: number,
    maxBodyBytes: number,
  ): Effect.Effect<ReplayableBody, CallerGoneError | BodyTooLargeError> {
    return Effect.async(resume => {
      const chunks: Buffer[] = [];
      let length = 0;
      const finish = (isWhole: boolean) => {
        stopListening();
        request.pause();
        resume(
          Effect.succeed(new ReplayableBody(Buffer.concat(chunks), isWhole, request, maxBodyBytes)),
        );
      };
      const onData = (chunk: Buffer) => {
        chunks.push(chunk);
        length += chunk.length;
        if (length > maxBodyBytes) {
          stopListening();
          resume(Effect.fail(new BodyTooLargeError()));
        } else if (length > maxBufferedBytes) finish(false);
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

  /** Whether the complete body can still be sent. */
  get canSend(): boolean {
    return this.isWhole || this.remainder !== undefined;
  }

  /** Writes the body with backpressure and ends the destination. A streamed body can be written only once. */
  writeTo(destination: Writable): void {
    if (this.isWhole) {
      if (this.buffered.length === 0) destination.end();
      else destination.end(this.buffered);
      return;
    }
    const remainder = this.remainder;
    this.remainder = undefined;
    destination.write(this.buffered);
    if (remainder === undefined) destination.destroy();
    else this.streamRemainder(remainder, destination);
  }

  /** Stops streaming the body to its destination. */
  stopStreaming(): void {
    if (!this.isWhole) this.source.unpipe();
  }

  private streamRemainder(remainder: IncomingMessage, destination: Writable): void {
    remainder.on('data', (chunk: Buffer) => {
      this.receivedBytes += chunk.length;
      if (this.receivedBytes > this.maxBodyBytes) destination.destroy(new BodyTooLargeError());
    });
    remainder.once('aborted', () => destination.destroy(new CallerGoneError()));
    remainder.pipe(destination);
  }
}
