/** Seeded random numbers, so that every run of a test or a trace makes the same choices. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface RandomSource {
  /** A number from 0 (included) to 1 (excluded). */
  next(): number;
}

/** Makes a random source from a 32-bit seed. */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {next: () => (generator.next() >>> 0) / 2 ** 32};
}

/** A whole number from 0 (included) to `bound` (excluded). */
export function randomBelow(random: RandomSource, bound: number): number {
  return Math.floor(random.next() * bound);
}
