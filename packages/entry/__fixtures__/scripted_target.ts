/** A target whose responses are defined by the test. It records every request that reaches it. */
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** Handles one request. */
export type Script = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  target: ScriptedTarget,
) => void;

/** HTTP server of a target on an ephemeral port. */
export class ScriptedTarget {
  /** Paths of the requests that arrived, in order. */
  readonly arrivedPaths: string[] = [];
  private readonly server: http.Server;
  private readonly sockets = new Set<Socket>();
  private readonly waiters = new Set<() => void>();

  constructor(private script: Script) {
    this.server = http.createServer((request, response) => {
      this.arrivedPaths.push(request.url ?? '');
      response.on('error', () => undefined);
      this.script(request, response, this);
      for (const wake of [...this.waiters]) wake();
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Starts the server and returns its port. */
  async start(): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Replaces the script for later requests. */
  setScript(script: Script): void {
    this.script = script;
  }

  /** Resolves when at least `count` requests have arrived. */
  async waitForArrivals(count: number): Promise<void> {
    while (this.arrivedPaths.length < count) {
      await new Promise<void>(resolve => {
        const wake = () => {
          this.waiters.delete(wake);
          resolve();
        };
        this.waiters.add(wake);
      });
    }
  }

  /** Closes all connections and accepts no new ones, like a crashed process. */
  crash(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Stops the server and closes its connections. */
  stop(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      for (const socket of this.sockets) socket.destroy();
    });
  }
}

/** Responds with status 200 and the request path as the body. */
export const echoPath = (request: http.IncomingMessage, response: http.ServerResponse): void => {
  request.resume();
  request.on('end', () => response.end(request.url));
};
