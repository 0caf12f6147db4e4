/**
 * Passes a target's response on to the caller with backpressure. A response that ends early at the target ends the
 * caller's connection too, so that a cut answer never looks whole.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Effect} from 'effect';
import {endToEndHeaders} from './send_to_target';

/** How the relay ended. */
export interface RelayEnd {
  /** `whole`: the caller was sent everything; `cut`: the target stopped early; `caller-gone`: the caller did. */
  readonly kind: 'whole' | 'cut' | 'deadline' | 'caller-gone';
  /** First part of the body, up to the asked size; undefined when the body was larger or not whole. */
  readonly keptBody: Buffer | undefined;
  readonly bodyBytes: number;
}

/** Settings of one relay. */
export interface RelayOptions {
  /** Largest body that is kept, in bytes. */
  readonly keepBytes: number;
  /** Headers that this hop adds. */
  readonly headers: Readonly<Record<string, string>>;
  /** Reads the response to its end even when the caller is gone, to learn the answer of an operation. */
  readonly finishWithoutCaller: boolean;
  /** Time left until both connections are closed, in milliseconds. */
  readonly remainingMs: number;
}

/** Relays the response. Interruption closes both connections. */
export function relayResponse(
  from: IncomingMessage,
  to: ServerResponse,
  options: RelayOptions,
): Effect.Effect<RelayEnd> {
  return Effect.async<RelayEnd>(resume => {
    const kept = new KeptBody(options.keepBytes);
    from.on('data', (chunk: Buffer) => kept.add(chunk));
    const end = (kind: RelayEnd['kind']) => {
      clearTimeout(timer);
      const keptBody = from.complete ? kept.body() : undefined;
      resume(Effect.succeed({kind, keptBody, bodyBytes: kept.bytesSeen}));
    };
    const timer = setTimeout(() => {
      end('deadline');
      from.destroy();
      to.destroy();
    }, options.remainingMs);
    from.on('end', () => {
      if (to.destroyed) end('caller-gone');
    });
    from.on('error', () => {
      to.destroy();
      end('cut');
    });
    to.on('close', () => {
      if (to.writableFinished) return;
      if (options.finishWithoutCaller && !from.destroyed) {
        from.unpipe(to);
        from.resume();
        return;
      }
      from.destroy();
      end(from.complete ? 'caller-gone' : 'cut');
    });
    to.on('finish', () => end('whole'));
    if (to.destroyed) from.resume();
    else {
      to.writeHead(from.statusCode ?? 502, {...endToEndHeaders(from.headers), ...options.headers});
      from.pipe(to);
    }
    return Effect.sync(() => {
      clearTimeout(timer);
      from.destroy();
      to.destroy();
    });
  });
}

/** Reads a response that nobody waits for and keeps its body up to a size. Fails never; a cut body is not kept. */
export function readKeptBody(
  from: IncomingMessage,
  keepBytes: number,
): Effect.Effect<Buffer | undefined> {
  return Effect.async(resume => {
    const kept = new KeptBody(keepBytes);
    from.on('data', (chunk: Buffer) => kept.add(chunk));
    from.on('close', () => resume(Effect.succeed(from.complete ? kept.body() : undefined)));
    from.on('error', () => undefined);
  });
}

class KeptBody {
  private readonly chunks: Buffer[] = [];
  bytesSeen = 0;

  constructor(private readonly limitBytes: number) {}

  add(chunk: Buffer): void {
    this.bytesSeen += chunk.length;
    if (this.bytesSeen <= this.limitBytes) this.chunks.push(chunk);
  }

  body(): Buffer | undefined {
    return this.bytesSeen <= this.limitBytes ? Buffer.concat(this.chunks) : undefined;
  }
}
