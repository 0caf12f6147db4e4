/** Seed and number of runs of tests with generated input. */

/** Parameters that fast-check takes for a property. */
export interface FuzzSettings {
  readonly seed: number;
  readonly numRuns: number;
}

const fixedSeed = 20_261_203;

/**
 * Returns a fixed seed and `defaultRuns`, so that CI runs are reproducible. If the environment variable
 * `CUMINSILL_FUZZ_RUNS` is set, that many cases run with a new seed each time; fast-check prints the seed of a failure.
 */
export function fuzzSettings(defaultRuns: number): FuzzSettings {
  const requestedRuns = Number(process.env['CUMINSILL_FUZZ_RUNS'] ?? 0);
  return requestedRuns > 0
    ? {seed: Date.now(), numRuns: requestedRuns}
    : {seed: fixedSeed, numRuns: defaultRuns};
}
