/**
 * Checks the workspaces of a configuration. A key that two workspaces hold would let one of them act as the other, so
 * such a configuration must not come into force.
 */
import type {WorkspaceRule} from '../gateway_types';

/** Returns the problems as texts for the log, which name workspaces but no keys. */
export function findWorkspaceProblems(workspaces: readonly WorkspaceRule[]): readonly string[] {
  const problems: string[] = [];
  const names = new Set<string>();
  const ownerByKey = new Map<string, string>();
  for (const {name, keys} of workspaces) {
    if (names.has(name)) problems.push(`workspace ${name} is listed twice`);
    names.add(name);
    for (const key of keys) {
      const owner = ownerByKey.get(key);
      if (key === '') problems.push(`workspace ${name} has an empty key`);
      if (owner !== undefined && owner !== name) {
        problems.push(`workspaces ${owner} and ${name} hold the same key`);
      }
      ownerByKey.set(key, name);
    }
  }
  return problems;
}
