/** Polls until a condition on other processes holds. */

const pollIntervalMs = 50;

/**
 * Calls `check` until it returns a value other than undefined, and returns that value. A call that rejects counts as
 * undefined. There is no timeout here; the timeout of the test applies.
 */
export async function waitUntil<A>(check: () => Promise<A | undefined>): Promise<A> {
  for (;;) {
    const value = await check().catch(() => undefined);
    if (value !== undefined) return value;
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
  }
}
