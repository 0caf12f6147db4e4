/**
 * Relays a target's response to the caller with backpressure. If the target's response ends early, the caller's
 * connection is closed too, so that a truncated response never looks complete.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Effect} from 'effect';
import {endToEndHeaders} from './send_to_target';

/** How the relay ended. */
export interface RelayEnd {
  /**
   * `whole`: the caller was sent the complete response; `cut`: the target's response ended early; `deadline`: the
   * deadline passed; `caller-gone`: the caller disconnected.
   */
  readonly kind: 'whole' | 'cut' | 'deadline' | 'caller-gone';
  /** The whole body if it is complete and not larger than `maxKeptBytes`; otherwise undefined. */
  readonly keptBody: Buffer | undefined;
  readonly bodyBytes: number;
}

/** Options of one relay. */
export interface RelayOptions {
  /** Largest body that the result contains, in bytes. */
  readonly maxKeptBytes: number;
  /** Headers that the entry adds to the response. */
  readonly headers: Readonly<Record<string, string>>;
  /** Reads the response to its end even after the caller disconnected, so that the outcome can be reported. */
  readonly finishWithoutCaller: boolean;
  /** Time until both connections are closed, in milliseconds. */
  readonly remainingMs: number;
}

/** Relays the response. Interruption closes both connections. */
export function relayResponse(
  targetResponse: IncomingMessage,
  callerResponse: ServerResponse,
  options: RelayOptions,
): Effect.Effect<RelayEnd> {
  return Effect.async<RelayEnd>(resume => {
    const boundedBody = new BoundedBody(options.maxKeptBytes);
    targetResponse.on('data', (chunk: Buffer) => boundedBody.add(chunk));
    const end = (kind: RelayEnd['kind']) => {
      clearTimeout(timer);
      const keptBody = targetResponse.complete ? boundedBody.body() : undefined;
      resume(Effect.succeed({kind, keptBody, bodyBytes: boundedBody.receivedBytes}));
    };
    const timer = setTimeout(() => {
      end('deadline');
      targetResponse.destroy();
      callerResponse.destroy();
    }, options.remainingMs);
    targetResponse.on('end', () => {
      if (callerResponse.destroyed) end('caller-gone');
    });
    targetResponse.on('error', () => {
      callerResponse.destroy();
      end('cut');
    });
    callerResponse.on('close', () => {
      if (callerResponse.writableFinished) return;
      if (options.finishWithoutCaller && !targetResponse.destroyed) {
        targetResponse.unpipe(callerResponse);
        targetResponse.resume();
        return;
      }
      targetResponse.destroy();
      end(targetResponse.complete ? 'caller-gone' : 'cut');
    });
    callerResponse.on('finish', () => end('whole'));
    if (callerResponse.destroyed) targetResponse.resume();
    else {
      callerResponse.writeHead(targetResponse.statusCode ?? 502, {
        ...endToEndHeaders(targetResponse.headers),
        ...options.headers,
      });
      targetResponse.pipe(callerResponse);
    }
    return Effect.sync(() => {
      clearTimeout(timer);
      targetResponse.destroy();
      callerResponse.destroy();
    });
  });
}

/**
 * Reads a response that is not relayed. Succeeds with the body if it is complete and not larger than `maxKeptBytes`,
 * else with undefined; never fails.
 */
export function readBoundedBody(
  targetResponse: IncomingMessage,
  maxKeptBytes: number,
): Effect.Effect<Buffer | undefined> {
  return Effect.async(resume => {
    const boundedBody = new BoundedBody(maxKeptBytes);
    targetResponse.on('data', (chunk: Buffer) => boundedBody.add(chunk));
    targetResponse.on('close', () =>
      resume(Effect.succeed(targetResponse.complete ? boundedBody.body() : undefined)),
    );
    targetResponse.on('error', () => undefined);
  });
}

/** Keeps the body of a response unless it is larger than the limit. */
class BoundedBody {
  private readonly chunks: Buffer[] = [];
  receivedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  add(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes <= this.maxBytes) this.chunks.push(chunk);
  }

  body(): Buffer | undefined {
    return this.receivedBytes <= this.maxBytes ? Buffer.concat(this.chunks) : undefined;
  }
}
