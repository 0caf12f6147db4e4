/** HTTP client of the stand-in callers: sends a request and reads the complete answer. */
import * as http from 'node:http';
import type {SocketAddress} from '@cuminsill/types';

/** An HTTP request and where to send it. */
export interface ExchangeRequest {
  readonly address: SocketAddress;
  /** Source address; undefined leaves the choice to the operating system. */
  readonly localAddress?: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  readonly timeoutMs: number;
  readonly agent: http.Agent;
}

/** How an exchange ended. */
export type ExchangeResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: http.IncomingHttpHeaders;
      readonly body: Buffer;
    }
  /** No connection was established, so the request was not sent. */
  | {readonly kind: 'not-connected'; readonly detail: string}
  /** The connection was lost or the timeout passed when the request may already have been sent. */
  | {readonly kind: 'lost'; readonly detail: string; readonly timedOut: boolean};

/** Sends a request and reads the complete answer. The promise never rejects. */
export function exchange(call: ExchangeRequest): Promise<ExchangeResult> {
  return new Promise(resolve => {
    let connected = false;
    let timedOut = false;
    const request = http.request({
      host: call.address.host,
      port: call.address.port,
      localAddress: call.localAddress,
      method: call.method,
      path: call.path,
      headers: {'content-length': call.body?.byteLength ?? 0, ...call.headers},
      agent: call.agent,
    });
    const timer = setTimeout(() => {
      timedOut = true;
      request.destroy(new Error(`no complete answer within ${call.timeoutMs} ms`));
    }, call.timeoutMs);
    const finish = (result: ExchangeResult) => {
      clearTimeout(timer);
      resolve(result);
    };
    const fail = (error: Error) => {
      if (connected) finish({kind: 'lost', detail: error.message, timedOut});
      else finish({kind: 'not-connected', detail: error.message});
    };
    request.on('socket', socket => {
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    request.on('error', fail);
    request.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', fail);
      response.on('end', () =>
        finish({
          kind: 'answered',
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks),
        }),
      );
    });
    request.end(call.body);
  });
}

/** Parses the body of an answer; undefined when it is not JSON. */
export function parseJsonBody<A>(body: Buffer): A | undefined {
  try {
    return JSON.parse(body.toString('utf8')) as A;
  } catch {
    return undefined;
  }
}
