/**
 * When a gateway reads the store to keep its state fresh, as fractions of the bound within which changes must take effect. After
 * a read, the rest of the bound is for the way to the other gateways and for their own reads.
 */

/**
 * Age of the evidence at which the gateway of each rank reads; the last holds for all further ranks. The first step is longer than
 * a read from another region and the way of its evidence to a third one, so that rank 1 reads only if rank 0 does not.
 */
const readAgeFractions = [0.3, 0.5, 0.6] as const;
const lastReadAgeFraction = 0.7;
/** Time for a serializable read to show a change that another gateway has seen; then a linearizable one is made. */
const catchUpFraction = 0.1;
/** First delay after a failed read; it doubles up to the bound. */
const retryFraction = 0.1;

/** Age of the evidence at which the gateway of a rank reads. */
export function readAgeMs(rank: number, boundMs: number): number {
  return boundMs * (readAgeFractions[rank] ?? lastReadAgeFraction);
}

/** Age of the evidence before which no gateway reads. */
export function minReadAgeMs(boundMs: number): number {
  return boundMs * readAgeFractions[0];
}

/** Delay of a rank against rank 0, after an outage that has made the evidence of all gateways old. */
export function rankDelayMs(rank: number, boundMs: number): number {
  return readAgeMs(rank, boundMs) - minReadAgeMs(boundMs);
}

/** Time after which a feed that is behind makes a linearizable read. */
export function catchUpDelayMs(boundMs: number): number {
  return boundMs * catchUpFraction;
}

/** Delay before the next read after a number of failed ones. */
export function retryDelayMs(failureCount: number, boundMs: number): number {
  return Math.min(boundMs, boundMs * retryFraction * 2 ** (failureCount - 1));
}
