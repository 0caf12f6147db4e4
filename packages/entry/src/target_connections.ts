/**
 * Connections to targets: pooled and kept alive for requests that may be sent twice, and a new connection for each
 * request that may not. A target may close a kept connection at the moment a request is written to it, which
 * would leave the outcome unknown.
 */
import * as http from 'node:http';
import type {Target} from '@cuminsill/types';

const minFreeConnections = 8;
/** All entries of a deployment together keep at most the connections that a target allows while there are at most so many. */
const entriesPerTarget = 16;

/**
 * Idle connections that one entry keeps to a target: one per slot, because fewer are closed and opened again for
 * requests that run at once.
 */
export function freeConnectionLimit(target: Target): number {
  const fairPart = Math.floor(target.maxConnections / entriesPerTarget);
  return Math.max(minFreeConnections, Math.min(target.slots, fairPart));
}

/** Agents per target. */
export class TargetConnections {
  private readonly agents = new Map<string, http.Agent>();

  /** Agent for requests that may be sent twice. */
  pooled(target: Target): http.Agent {
    const known = this.agents.get(target.id);
    if (known !== undefined) return known;
    const agent = new http.Agent({
      keepAlive: true,
      maxSockets: target.maxConnections,
      maxFreeSockets: freeConnectionLimit(target),
      scheduling: 'lifo',
    });
    this.agents.set(target.id, agent);
    return agent;
  }

  /** Closes the connections of targets that are not in the list. */
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
