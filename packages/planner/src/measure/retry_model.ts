/** Simulates retries when some targets fail every request, and counts the attempts that targets receive. */
import {RetryBudget} from '@cuminsill/steering';
import {randomBelow, seededRandom} from '@cuminsill/utils';

/** Parameters of one simulation run. */
export interface RetryCase {
  readonly targets: number;
  readonly failingTargets: number;
  readonly requests: number;
  /** Maximum number of attempts per request, each at a different target. */
  readonly maxAttempts: number;
  readonly hasBudget: boolean;
  readonly seed: number;
}

/** Results of one run. */
export interface RetryResult {
  readonly attemptsPerRequest: number;
  readonly answeredFraction: number;
  readonly retries: number;
  readonly successes: number;
}

/** Runs one simulation; the same case always gives the same result. */
export function runRetryCase(settings: RetryCase): RetryResult {
  const random = seededRandom(settings.seed);
  const budget = new RetryBudget();
  let retries = 0;
  let successes = 0;
  for (let request = 0; request < settings.requests; request += 1) {
    const untried = [...Array(settings.targets).keys()];
    for (let attempt = 1; attempt <= settings.maxAttempts; attempt += 1) {
      if (attempt > 1) {
        if (settings.hasBudget && !budget.tryRetry('service')) break;
        retries += 1;
      }
      const [target = 0] = untried.splice(randomBelow(random, untried.length), 1);
      if (target < settings.failingTargets) continue;
      successes += 1;
      budget.recordSuccess('service');
      break;
    }
  }
  return {
    attemptsPerRequest: 1 + retries / settings.requests,
    answeredFraction: successes / settings.requests,
    retries,
    successes,
  };
}
