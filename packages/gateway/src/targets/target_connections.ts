/**
 * Keep-alive connections to targets. An idle connection on which data arrives is closed, because that data belongs to
 * no request.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {SocketAddress} from '@cuminsill/types';
import type {Dial} from './dial';

/** Idle timeout of connections to targets that do not state theirs; targets keep connections open for longer. */
export const maxIdleMs = 4_000;
/** A connection is closed this long before the target's own idle timeout, so that no request crosses its close. */
const idleTimeoutMarginMs = 1_000;
/** Of a short idle timeout, no more than this fraction is used. */
const usedIdleFraction = 0.5;
/** Bounds the memory for connections to targets that keep them open for very long. */
const maxStatedIdleMs = 30_000;
const keepAliveTimeoutPattern = /(?:^|[\s,;])timeout=(\d{1,6})/i;
/**
 * At-most-once requests reuse only connections that were idle for less than this: if the target has closed the
 * connection meanwhile, the outcome is unknown.
 */
export const maxIdleForAtMostOnceMs = 1_000;
const maxFreePerTarget = 8;

/** Request options with the target, by which connections are kept. */
export interface TargetRequestOptions extends http.RequestOptions {
  readonly targetId: string;
}

type AgentNameOptions = Parameters<http.Agent['getName']>[0];

/** Node.js keeps the request that a socket serves, with its answer, on the socket. */
interface SocketOfRequest extends Duplex {
  readonly _httpMessage?: {readonly res?: http.IncomingMessage};
}

interface IdleState {
  readonly idleSinceMs: number;
  readonly onData: () => void;
}

/** Pools connections per target and not only per address, because an address may pass to another target. */
export class TargetConnections extends http.Agent {
  private readonly idleStates = new WeakMap<Duplex, IdleState>();
  private readonly socketsWithTimeoutListener = new WeakSet<Duplex>();

  /** @param dial Opens connections. */
  constructor(private readonly dial: Dial) {
    super({keepAlive: true, maxFreeSockets: maxFreePerTarget, scheduling: 'lifo'});
  }

  override createConnection(options: net.NetConnectOpts): Socket {
    return this.dial(options as net.TcpNetConnectOpts);
  }

  override getName(options?: AgentNameOptions): string {
    const targetId = (options as TargetRequestOptions | undefined)?.targetId ?? '';
    return agentNameOf(targetId, {host: options?.host ?? '', port: Number(options?.port ?? 0)});
  }

  override keepSocketAlive(socket: Duplex): boolean {
    if (socket.destroyed || !super.keepSocketAlive(socket)) return false;
    const idleLimitMs = idleLimitOf(keepAliveHeaderOf(socket));
    if (idleLimitMs <= 0) return false;
    const onData = () => socket.destroy();
    this.idleStates.set(socket, {idleSinceMs: performance.now(), onData});
    socket.on('data', onData);
    this.closeAfterIdle(socket as Socket, idleLimitMs);
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    const state = this.idleStates.get(socket);
    if (state !== undefined) socket.off('data', state.onData);
    this.idleStates.delete(socket);
    (socket as Socket).setTimeout(0);
    super.reuseSocket(socket, request);
  }

  /** Closes the target's connections that have been idle for at least the given time. */
  closeIdle(targetId: string, address: SocketAddress, unusedForMs: number): void {
    const nowMs = performance.now();
    for (const socket of this.freeSockets[agentNameOf(targetId, address)] ?? []) {
      const sinceMs = this.idleStates.get(socket)?.idleSinceMs ?? nowMs;
      if (nowMs - sinceMs >= unusedForMs) socket.destroy();
    }
  }

  private closeAfterIdle(socket: Socket, idleLimitMs: number): void {
    socket.setTimeout(idleLimitMs);
    if (this.socketsWithTimeoutListener.has(socket)) return;
    this.socketsWithTimeoutListener.add(socket);
    socket.on('timeout', () => {
      if (this.idleStates.has(socket)) socket.destroy();
    });
  }
}

/** Keep-Alive header of the answer after which the connection is idle. */
function keepAliveHeaderOf(socket: Duplex): string | undefined {
  const {_httpMessage: request} = socket as SocketOfRequest;
  const header = request?.res?.headers['keep-alive'];
  return typeof header === 'string' ? header : undefined;
}

/**
 * Returns how long a connection may stay idle, in milliseconds; 0 or less when it must not be used again.
 * @param keepAlive Keep-Alive header of the target's last answer, in which it may state its idle timeout in seconds.
 */
export function idleLimitOf(keepAlive: string | undefined): number {
  const statedS = keepAliveTimeoutPattern.exec(keepAlive ?? '')?.[1];
  if (statedS === undefined) return maxIdleMs;
  const statedMs = Number(statedS) * 1_000;
  const usedMs = Math.max(statedMs - idleTimeoutMarginMs, statedMs * usedIdleFraction);
  return Math.min(maxStatedIdleMs, usedMs);
}

function agentNameOf(targetId: string, address: SocketAddress): string {
  return `${targetId}@${address.host}:${address.port}`;
}
