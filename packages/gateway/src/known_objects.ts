/** Objects that a target has handled lately and so handles faster, as far as one gateway knows. */

/** Objects remembered per target; a target keeps fewer than that itself. */
const maxObjects = 128;
/** A target may have dropped an object that no gateway asked it for in this time. */
const memoryMs = 30_000;

/** Remembers objects in the order of their last use. */
export class KnownObjects {
  private readonly usedAtMs = new Map<string, number>();

  /** Notes that the target handles a request for the object. */
  used(objectKey: string, nowMs: number): void {
    // Deleting first moves the object to the end, so that the map is ordered by last use.
    this.usedAtMs.delete(objectKey);
    this.usedAtMs.set(objectKey, nowMs);
    if (this.usedAtMs.size <= maxObjects) return;
    const [oldest] = this.usedAtMs.keys();
    if (oldest !== undefined) this.usedAtMs.delete(oldest);
  }

  /** True when the target handled the object lately. */
  has(objectKey: string, nowMs: number): boolean {
    const usedAtMs = this.usedAtMs.get(objectKey);
    return usedAtMs !== undefined && nowMs - usedAtMs <= memoryMs;
  }

  /** Forgets everything, after a restart of the target. */
  clear(): void {
    this.usedAtMs.clear();
  }
}
