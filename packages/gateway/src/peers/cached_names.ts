/** Caches lists of names that change rarely but are asked for with each request. */

/**
 * A list that is computed at most once in an interval. It stays the same array while the names are the same, so that callers
 * can cache what they derive from it.
 */
export class CachedNames {
  private names: readonly string[] = [];
  private updatedAtMs = Number.NEGATIVE_INFINITY;

  /** @param refreshMs Maximum age of the list, in milliseconds. */
  constructor(private readonly refreshMs: number) {}

  /** Returns the names; computes them again when they are older than the interval. */
  get(nowMs: number, compute: () => readonly string[]): readonly string[] {
    if (nowMs - this.updatedAtMs < this.refreshMs) return this.names;
    this.updatedAtMs = nowMs;
    const names = compute();
    if (!isSameList(names, this.names)) this.names = names;
    return this.names;
  }
}

function isSameList(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((name, index) => name === right[index]);
}
