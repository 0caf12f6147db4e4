/**
 * HTTP server for callers and for gateways that relay requests. While the gateway stops, the last answer on each
 * connection closes it, and idle connections are closed.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import type {Socket} from 'node:net';
import type {SocketAddress} from '@cuminsill/types';
import type {GatewayParts} from '../gateway_parts';
import {CallerConnection} from './caller_connection';
import {RequestQueue} from './request_queue';

/** Limit of the HTTP parser; the configured limit is checked afterwards. */
const maxParsedHeaderBytes = 64 * 1024;
/** Node accepts one connection in each turn of the event loop: after as many turns without one, none waits. */
const quietTurns = 3;
/** Limit on accepting waiting connections, for a gateway that new ones keep reaching. */
const maxAcceptMs = 200;
/** Time for the first or a half-read request of a connection, once new requests are refused; exceeds a round trip between regions. */
const requestWaitMs = 500;

/** Phase of the graceful stop. */
export type ServingPhase = 'serving' | 'leaving' | 'refusing' | 'closed';

/** Receives requests of callers and writes their answers. */
export class CallerServer {
  private readonly server: http.Server;
  /** Receives the requests that other gateways relay. */
  private readonly relayServer: http.Server;
  private readonly connections = new Map<Socket, CallerConnection>();
  private readonly queue: RequestQueue;
  private phase: ServingPhase = 'serving';
  private stopDeadlineMs: number | undefined;
  private acceptedCount = 0;
  /** End of the wait for connections without a complete request; undefined until no further connection is accepted. */
  private requestWaitEndMs: number | undefined;

  constructor(private readonly parts: GatewayParts) {
    this.queue = new RequestQueue(parts.time);
    this.server = this.createServer(false);
    this.relayServer = this.createServer(true);
  }

  private createServer(isRelayed: boolean): http.Server {
    const server = http.createServer(
      {maxHeaderSize: maxParsedHeaderBytes, requestTimeout: 0, requireHostHeader: false},
      (request, response) => this.connections.get(request.socket)?.add(request, response),
    );
    server.on('connection', socket => this.onConnection(socket, isRelayed));
    server.on('clientError', (_error, socket) => this.onClientError(socket as Socket));
    return server;
  }

  /** Number of requests whose answers are not sent. */
  get requestsInFlight(): number {
    return [...this.connections.values()].reduce((sum, {openRequests}) => sum + openRequests, 0);
  }

  /** True, after the refusal of new requests has begun, when the process can exit without cutting off a caller. */
  get isDrained(): boolean {
    const {requestWaitEndMs} = this;
    if (requestWaitEndMs === undefined) return false;
    const isWaiting = this.parts.time.monotonicMs() < requestWaitEndMs;
    return ![...this.connections.values()].some(
      ({openRequests, isLingering, isAwaitingRequest}) =>
        openRequests > 0 || isLingering || (isWaiting && isAwaitingRequest),
    );
  }

  /** Starts to listen. Rejects when the address is in use. */
  async listen(callers: SocketAddress, peers: SocketAddress): Promise<void> {
    await listen(this.server, callers);
    await listen(this.relayServer, peers);
  }

  /** Applies the connection timeouts of a configuration. */
  applyLimits(headerTimeoutMs: number, idleTimeoutMs: number): void {
    for (const server of this.servers) {
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
    }
  }

  /**
   * Makes the last answer on each connection close it.
   * @param stopDeadlineMs When all answers must be ready, on the monotonic clock.
   */
  startLeaving(stopDeadlineMs: number): void {
    this.phase = 'leaving';
    this.stopDeadlineMs = stopDeadlineMs;
    for (const connection of this.connections.values()) connection.closeAfterLastRead();
  }

  /** Refuses new requests, accepts the connections that wait and then no more, and closes idle ones. */
  refuseNewRequests(): void {
    this.phase = 'refusing';
    this.acceptWaiting(this.parts.time.monotonicMs() + maxAcceptMs, 0);
  }

  /** Closes all connections at once. */
  close(): void {
    this.phase = 'closed';
    this.stopListening();
    for (const connection of this.connections.values()) connection.destroy();
  }

  private get servers(): readonly http.Server[] {
    return [this.server, this.relayServer];
  }

  /** Closing a listening socket resets the connections that wait in the kernel's queue, so they are accepted first. */
  private acceptWaiting(endMs: number, turnsWithoutConnection: number): void {
    if (this.phase === 'closed') return;
    if (turnsWithoutConnection >= quietTurns || this.parts.time.monotonicMs() >= endMs) {
      this.stopListening();
      this.requestWaitEndMs = this.parts.time.monotonicMs() + requestWaitMs;
      this.closeIdleConnections();
      return;
    }
    const formerCount = this.acceptedCount;
    setImmediate(() => {
      const hasAccepted = this.acceptedCount > formerCount;
      this.acceptWaiting(endMs, hasAccepted ? 0 : turnsWithoutConnection + 1);
    });
  }

  private stopListening(): void {
    // The method of http.Server would close idle connections too, and with them requests that arrived but were not read.
    for (const server of this.servers) net.Server.prototype.close.call(server);
  }

  /**
   * Closes idle connections right after a poll of the event loop, when all requests that have arrived were read. The
   * method of http.Server would also close connections whose answers wait for the caller to read them.
   */
  private closeIdleConnections(): void {
    setImmediate(() =>
      setImmediate(() => {
        for (const connection of this.connections.values()) {
          if (connection.isIdle) connection.destroy();
        }
      }),
    );
  }

  private onConnection(socket: Socket, isRelayed: boolean): void {
    if (isRelayed && !this.parts.peers.isGatewayHost(socket.remoteAddress)) {
      socket.destroy();
      return;
    }
    this.queue.recordAccepted();
    this.acceptedCount += 1;
    const connection = new CallerConnection(socket, {
      parts: this.parts,
      queue: this.queue,
      isRelayed,
      isRefusing: () => this.phase === 'refusing',
      stopDeadlineMs: () => this.stopDeadlineMs,
      onAnswerSent: () => {
        // The connection stays open when its last answer was begun before the stop.
        if (this.requestWaitEndMs !== undefined) this.closeIdleConnections();
      },
    });
    if (this.phase !== 'serving') connection.closeAfterLastRead();
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
  }

  private onClientError(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) socket.destroy();
    else connection.onUnreadable();
  }
}

function listen(server: http.Server, {host, port}: SocketAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
