/** Helpers for HTTP servers, shared by all stand-ins. */
import type * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {SocketAddress} from '@cuminsill/types';

/** A listening server. */
export interface RunningServer {
  readonly address: SocketAddress;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** Starts listening; port 0 selects a free port. Fails when the port is in use. */
export function listen(server: http.Server, host: string, port: number): Promise<RunningServer> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const bound = server.address() as AddressInfo;
      resolve({address: {host, port: bound.port}, close: () => closeServer(server)});
    });
  });
}

/** Stops listening and closes all connections. */
export function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Reads the complete body. Fails when the connection is lost before the end. */
export async function readBody(message: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Sends an answer with a JSON body. */
export function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Parses path and query of a request. The host of the URL is a placeholder. */
export function requestUrl(request: http.IncomingMessage): URL {
  return new URL(request.url ?? '/', 'http://standin.invalid');
}

/** Handles the requests of one method and path. */
export type RouteHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void> | void;

/** Runs a handler. When it fails, answers with status 400 and the error's message. */
export async function runHandler(
  handler: RouteHandler,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  try {
    await handler(request, response);
  } catch (error) {
    if (response.headersSent || response.destroyed) response.destroy();
    else sendJson(response, 400, {error: error instanceof Error ? error.message : String(error)});
  }
}
