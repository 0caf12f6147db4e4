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
/** Up to this age, a read of the first kind need not be made again while reads of the others have failed. */
const maxShownAgeFraction = 0.5;
/** Time for a serializable read to show a change that another gateway has seen; then a linearizable one is made. */
const catchUpFraction = 0.1;
/** Changes that may have been unknown for longer are read linearizably at once, so that there is time for further attempts. */
const maxCatchUpAgeFraction = 0.55;
/** Time from the start of an attempt that has failed to the next one. */
const retryFraction = 0.08;
/** Time after which an attempt without an answer is made again beside it; longer than a read from another region. */
const unansweredFraction = 0.15;
/** Attempts at the first pace. They fill the bound from the first reader's age on, so that only then the delays double. */
const quickAttempts = 9;
/** Longest time between two attempts: calls that are refused are priced as well. */
const maxRetryFraction = 0.5;

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

/**
 * Time after which a feed that is behind makes a linearizable read.
 * @param ageMs Time for which its changes may have been unknown.
 */
export function catchUpDelayMs(ageMs: number, boundMs: number): number {
  return ageMs > boundMs * maxCatchUpAgeFraction ? 0 : boundMs * catchUpFraction;
}

/** Age of the evidence at which all gateways read. */
export function maxReadAgeMs(boundMs: number): number {
  return boundMs * lastReadAgeFraction;
}

/** Age of a read of the first kind up to which the other kinds are still read as far as it has come. */
export function maxShownAgeMs(boundMs: number): number {
  return boundMs * maxShownAgeFraction;
}

/** Delay from the start of the last one of a number of attempts without a success, if it has failed. */
export function retryDelayMs(attemptCount: number, boundMs: number): number {
  const doublings = Math.max(0, attemptCount - quickAttempts);
  return boundMs * Math.min(maxRetryFraction, retryFraction * 2 ** doublings);
}

/** Delay from the start of the last one of a number of attempts without a success, while it is not answered. */
export function unansweredDelayMs(attemptCount: number, boundMs: number): number {
  return Math.max(boundMs * unansweredFraction, retryDelayMs(attemptCount, boundMs));
}
