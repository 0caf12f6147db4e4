/** Seeded pseudo-random numbers, so that a test or a trace makes the same choices on every run. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A pseudo-random number generator. */
export interface RandomSource {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next(): number;
}

/** Creates a xoroshiro128+ generator from a 32-bit seed. */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {next: () => (generator.next() >>> 0) / 2 ** 32};
}

/** Returns a whole number from 0 (inclusive) to `bound` (exclusive). */
export function randomBelow(random: RandomSource, bound: number): number {
  return Math.floor(random.next() * bound);
}
