/** HTTP server for a few fixed pages: look-ups, readiness, metrics and status. */
import * as http from 'node:http';
import type {SocketAddress} from '@cuminsill/types';

/** Response of a page. */
export interface Page {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Makes a page from the query string of its URL. */
export type PageHandler = (query: URLSearchParams) => Page | Promise<Page>;

/** Requests to these pages have few headers. */
const maxHeaderBytes = 8 * 1024;
const keepAliveTimeoutMs = 30_000;
const notFoundPage: Page = {status: 404, contentType: 'text/plain', body: 'not found\n'};

/** Serves pages by path on one address. */
export class PageServer {
  private readonly server: http.Server;

  constructor(private readonly pages: ReadonlyMap<string, PageHandler>) {
    this.server = http.createServer(
      {maxHeaderSize: maxHeaderBytes, keepAliveTimeout: keepAliveTimeoutMs},
      (request, response) => void this.serve(request, response),
    );
  }

  /** Starts to listen. Rejects when the address is in use. */
  listen({host, port}: SocketAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const [path = '/', query = ''] = (request.url ?? '/').split('?', 2);
    const handler = this.pages.get(path);
    const page = handler === undefined ? notFoundPage : await handler(new URLSearchParams(query));
    response.writeHead(page.status, {
      'Content-Type': page.contentType,
      'Content-Length': Buffer.byteLength(page.body),
    });
    response.end(request.method === 'HEAD' ? undefined : page.body);
  }
}
