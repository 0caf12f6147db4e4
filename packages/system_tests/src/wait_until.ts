/** Waits for a state of other processes. */

const pollIntervalMs = 50;

/**
 * Calls `check` until it returns a value and returns that value. It has no limit of its own; the timeout of the
 * test ends it. Errors of `check` count as "not yet".
 */
export async function waitUntil<A>(check: () => Promise<A | undefined>): Promise<A> {
  for (;;) {
    const value = await check().catch(() => undefined);
    if (value !== undefined) return value;
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
  }
}
