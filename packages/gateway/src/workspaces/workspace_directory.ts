/** The workspaces of one configuration, indexed by key and by name, so that a look-up takes constant time. */
import type {WorkspaceRule} from '../gateway_types';

/** Finds workspaces by key. */
export class WorkspaceDirectory {
  private readonly byKey = new Map<string, WorkspaceRule>();
  private readonly byName = new Map<string, WorkspaceRule>();

  constructor(workspaces: readonly WorkspaceRule[]) {
    for (const workspace of workspaces) {
      this.byName.set(workspace.name, workspace);
      for (const key of workspace.keys) this.byKey.set(key, workspace);
    }
  }

  /** False when the configuration has no workspaces, so that requests need no keys. */
  get requiresKeys(): boolean {
    return this.byName.size > 0;
  }

  /** The workspace that holds the key. */
  findByKey(key: string | undefined): WorkspaceRule | undefined {
    return key === undefined ? undefined : this.byKey.get(key);
  }

  /** Whether each key of another directory is held here by the same workspace. */
  containsKeysOf(other: WorkspaceDirectory): boolean {
    const entries = [...other.byKey.entries()];
    return entries.every(([key, {name}]) => this.byKey.get(key)?.name === name);
  }

  findByName(name: string): WorkspaceRule | undefined {
    return this.byName.get(name);
  }

  /** All workspaces. */
  all(): Iterable<WorkspaceRule> {
    return this.byName.values();
  }
}
