/** A list of names that is computed at most once in an interval, and stays the same array while the names are the same. */

/** Callers cache derived values by the array. */
export class CachedNames {
  private names: readonly string[] = [];
  private updatedAtMs = Number.NEGATIVE_INFINITY;

  /** @param refreshMs Maximum age of the list, in milliseconds. */
  constructor(private readonly refreshMs: number) {}

  /** Returns the names, which are computed anew if they are too old. */
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
