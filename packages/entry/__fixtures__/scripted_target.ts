/** A target whose behaviour a test scripts per path, and which records every request that reached it. */
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** Answers one request. */
export type Script = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  target: ScriptedTarget,
) => void;

/** A target on a port of its own. */
export class ScriptedTarget {
  /** Paths of the requests that arrived, in order. */
  readonly arrived: string[] = [];
  private readonly server: http.Server;
  private readonly sockets = new Set<Socket>();
  private readonly waiters = new Set<() => void>();

  constructor(private script: Script) {
    this.server = http.createServer((request, response) => {
      this.arrived.push(request.url ?? '');
      response.on('error', () => undefined);
      this.script(request, response, this);
      for (const wake of [...this.waiters]) wake();
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Starts and returns the port. */
  async start(): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Changes the behaviour for requests that follow. */
  use(script: Script): void {
    this.script = script;
  }

  /** Resolves when so many requests have arrived. */
  async untilArrived(count: number): Promise<void> {
    while (this.arrived.length < count) {
      await new Promise<void>(resolve => {
        const wake = () => {
          this.waiters.delete(wake);
          resolve();
        };
        this.waiters.add(wake);
      });
    }
  }

  /** Closes every connection and refuses new ones, as a crashed process does. */
  crash(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Stops the target. */
  stop(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      for (const socket of this.sockets) socket.destroy();
    });
  }
}

/** Answers 200 with the request's path as its body. */
export const echoPath = (request: http.IncomingMessage, response: http.ServerResponse): void => {
  request.resume();
  request.on('end', () => response.end(request.url));
};
