/** Objects that a target has handled lately and so handles faster, as far as one gateway knows. */

/** Objects remembered per target; a target keeps fewer than that itself. */
const maxObjects = 128;
/** A target may have dropped an object that no gateway asked it for in this time. */
const maxAgeMs = 30_000;

/** Remembers objects in the order of their last use. */
export class RecentObjects {
  private readonly lastUsedAtMs = new Map<string, number>();

  /** Notes that the target handles a request for the object. */
  recordUse(objectKey: string, nowMs: number): void {
    // Deleting first moves the object to the end, so that the map is ordered by last use.
    this.lastUsedAtMs.delete(objectKey);
    this.lastUsedAtMs.set(objectKey, nowMs);
    if (this.lastUsedAtMs.size <= maxObjects) return;
    const [oldest] = this.lastUsedAtMs.keys();
    if (oldest !== undefined) this.lastUsedAtMs.delete(oldest);
  }

  /** True when the target handled the object lately. */
  has(objectKey: string, nowMs: number): boolean {
    const usedAtMs = this.lastUsedAtMs.get(objectKey);
    return usedAtMs !== undefined && nowMs - usedAtMs <= maxAgeMs;
  }

  /** Forgets everything, after a restart of the target. */
  clear(): void {
    this.lastUsedAtMs.clear();
  }
}
