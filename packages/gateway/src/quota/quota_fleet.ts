/** What the quotas know about the other gateways, and how they rank owners of a workspace. */
import {combineHashes, hash32} from '@cuminsill/utils';

/** Another listed gateway with the feature. */
export interface QuotaPeer {
  readonly name: string;
  /** Age of its latest heartbeat in milliseconds; infinite when none was heard. */
  readonly heartbeatAgeMs: number;
  readonly isLeaving: boolean;
}

/** The gateways as this one sees them. */
export interface QuotaFleet {
  readonly ownName: string;
  peers(): readonly QuotaPeer[];
  /** Number of listed gateways with a heartbeat of at most the given age; includes this one. */
  countAlive(maxHeartbeatAgeMs: number): number;
  /** Largest number of gateways known recently; undefined before the store's first answer. */
  size(): number | undefined;
  /** True while this gateway stops. */
  isLeaving(): boolean;
}

/** Bounds the memory of the hashes; a fleet of 3,500 gateways with 10,000 workspaces stays below. */
const maxCachedHashes = 20_000;
const hashesByName = new Map<string, number>();

/** Whether the first gateway ranks before the second as an owner of the workspace, by rendezvous hashing. */
export function ranksBefore(workspace: string, first: string, second: string): boolean {
  const workspaceHash = cachedHash(workspace);
  const firstWeight = combineHashes(cachedHash(first), workspaceHash);
  const secondWeight = combineHashes(cachedHash(second), workspaceHash);
  return firstWeight > secondWeight || (firstWeight === secondWeight && first < second);
}

/** Ranking by strings would hash each name again for each workspace and report. */
function cachedHash(name: string): number {
  const known = hashesByName.get(name);
  if (known !== undefined) return known;
  if (hashesByName.size >= maxCachedHashes) hashesByName.clear();
  const hash = hash32(name);
  hashesByName.set(name, hash);
  return hash;
}

/** Sorts gateways by their rank as owners of the workspace, the first owner first. */
export function rankOwners<Peer extends {readonly name: string}>(
  workspace: string,
  peers: readonly Peer[],
): readonly Peer[] {
  return [...peers].sort((a, b) => (ranksBefore(workspace, a.name, b.name) ? -1 : 1));
}
