/**
 * Remembers when the connections to each target opened and when the target closed them. The connections of a process
 * that ends all close at once, whereas a process that drops one connection keeps the others.
 */
import type {Socket} from 'node:net';
import type {TimeSource} from '@cuminsill/utils';

/** The connections of a process that ends are seen to close within this time of each other. */
export const closeSpreadMs = 50;
/** Closed connections are forgotten after this time. */
const closedConnectionTtlMs = 1_000;
/** Connections that must close together to show that the process ended. */
const minClosedTogether = 2;

interface ConnectionTimes {
  readonly openedAtMs: number;
  /** Undefined while the connection is open. */
  closedAtMs: number | undefined;
}

/** Connections of one gateway, by target. */
export class ConnectionHistory {
  private readonly byTarget = new Map<string, Set<ConnectionTimes>>();
  private forgottenAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly time: TimeSource) {}

  /** Records a connection that has just opened, and observes it until it closes. */
  onOpened(targetId: string, socket: Socket): void {
    const connection: ConnectionTimes = {
      openedAtMs: this.time.monotonicMs(),
      closedAtMs: undefined,
    };
    this.forgetClosed();
    const connections = this.byTarget.get(targetId) ?? new Set();
    this.byTarget.set(targetId, connections.add(connection));
    const onClosedByTarget = () => (connection.closedAtMs ??= this.time.monotonicMs());
    socket.once('end', onClosedByTarget);
    socket.once('error', onClosedByTarget);
    socket.once('close', () => {
      const wasClosedByGateway = connection.closedAtMs === undefined;
      if (wasClosedByGateway) connections.delete(connection);
    });
  }

  /** True if the target closed all connections at the time when one of them was lost, and had more than that one. */
  closedTogether(targetId: string, lostAtMs: number): boolean {
    const connections = [...(this.byTarget.get(targetId) ?? [])].filter(
      ({openedAtMs}) => openedAtMs < lostAtMs,
    );
    if (connections.some(({closedAtMs}) => closedAtMs === undefined)) return false;
    const together = connections.filter(
      ({closedAtMs = 0}) => Math.abs(closedAtMs - lostAtMs) <= closeSpreadMs,
    );
    return together.length >= minClosedTogether;
  }

  /** Forgets old closed connections of all targets, at most once in the time for which they are kept. */
  private forgetClosed(): void {
    const oldestMs = this.time.monotonicMs() - closedConnectionTtlMs;
    if (this.forgottenAtMs > oldestMs) return;
    this.forgottenAtMs = this.time.monotonicMs();
    for (const [targetId, connections] of this.byTarget) {
      for (const connection of connections) {
        if ((connection.closedAtMs ?? Infinity) < oldestMs) connections.delete(connection);
      }
      if (connections.size === 0) this.byTarget.delete(targetId);
    }
  }
}
