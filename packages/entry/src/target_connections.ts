/**
 * Connections to targets: pooled and kept alive for idempotent requests, a new connection for each non-idempotent
 * request. A target may close an idle pooled connection at the moment a request is written to it, which would leave the
 * outcome of the request unknown.
 */
import * as http from 'node:http';
import type {Target} from '@cuminsill/types';

const minIdleConnections = 8;
/**
 * Number of entries up to which all entries of a deployment together keep no more idle connections than a target allows.
 */
const assumedEntryCount = 16;

/**
 * Idle connections that one entry keeps to a target: one per slot, because with fewer, connections are closed and
 * reopened when requests run concurrently.
 */
export function maxIdleConnections(target: Target): number {
  const connectionsPerEntry = Math.floor(target.maxConnections / assumedEntryCount);
  return Math.max(minIdleConnections, Math.min(target.slots, connectionsPerEntry));
}

/** HTTP agents, one per target. */
export class TargetConnections {
  private readonly agents = new Map<string, http.Agent>();

  /** Agent with pooled connections, for idempotent requests. */
  pooledAgent(target: Target): http.Agent {
    const existing = this.agents.get(target.id);
    if (existing !== undefined) return existing;
    const agent = new http.Agent({
      keepAlive: true,
      maxSockets: target.maxConnections,
      maxFreeSockets: maxIdleConnections(target),
      scheduling: 'lifo',
    });
    this.agents.set(target.id, agent);
    return agent;
  }

  /** Closes the connections to all targets except the given ones. */
  retain(targetIds: ReadonlySet<string>): void {
    for (const [targetId, agent] of this.agents) {
      if (targetIds.has(targetId)) continue;
      agent.destroy();
      this.agents.delete(targetId);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.retain(new Set());
  }
}
