/** Seed and length of tests with generated input. */

/** Parameters of a property for fast-check. */
export interface FuzzSettings {
  readonly seed: number;
  readonly numRuns: number;
}

const fixedSeed = 20_261_203;

/**
 * A fixed seed and `runs` cases, so that CI repeats itself. With the environment variable `CUMINSILL_FUZZ_RUNS` that
 * many cases are run with a new seed each time; fast-check prints the seed of a failure.
 */
export function fuzzSettings(runs: number): FuzzSettings {
  const longer = Number(process.env['CUMINSILL_FUZZ_RUNS'] ?? 0);
  return longer > 0 ? {seed: Date.now(), numRuns: longer} : {seed: fixedSeed, numRuns: runs};
}
