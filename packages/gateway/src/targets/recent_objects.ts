/** Objects that a target has recently handled for this gateway and has probably cached. */

/** Maximum number of objects per target; targets cache fewer. */
const maxObjects = 128;
/** A target may have evicted an object that was not requested within this time. */
const maxAgeMs = 30_000;

/** Recent objects of one target, ordered by last use. */
export class RecentObjects {
  private readonly lastUsedAtMs = new Map<string, number>();

  /** Records that the target handled a request for the object. */
  recordUse(objectKey: string, nowMs: number): void {
    // Deleting the key first moves it to the end, which keeps the map ordered by last use.
    this.lastUsedAtMs.delete(objectKey);
    this.lastUsedAtMs.set(objectKey, nowMs);
    if (this.lastUsedAtMs.size <= maxObjects) return;
    const [oldest] = this.lastUsedAtMs.keys();
    if (oldest !== undefined) this.lastUsedAtMs.delete(oldest);
  }

  /** True when the target handled the object recently. */
  has(objectKey: string, nowMs: number): boolean {
    const usedAtMs = this.lastUsedAtMs.get(objectKey);
    return usedAtMs !== undefined && nowMs - usedAtMs <= maxAgeMs;
  }

  /** Removes all objects, after a restart of the target. */
  clear(): void {
    this.lastUsedAtMs.clear();
  }
}
