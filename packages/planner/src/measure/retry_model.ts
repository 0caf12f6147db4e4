/** Counts the attempts that targets receive when a share of them fails every request. */
import {RetryBudget} from '@cuminsill/steering';
import {randomBelow, seededRandom} from '@cuminsill/utils';

/** One run of the model. */
export interface RetryCase {
  readonly targets: number;
  readonly failingTargets: number;
  readonly requests: number;
  /** Attempts per request at most; each goes to another target. */
  readonly maxAttempts: number;
  readonly budgeted: boolean;
  readonly seed: number;
}

/** Figures of one run. */
export interface RetryResult {
  readonly attemptsPerRequest: number;
  readonly answeredShare: number;
  readonly retries: number;
  readonly successes: number;
}

/** Runs one case; the same case always gives the same figures. */
export function runRetryCase(settings: RetryCase): RetryResult {
  const random = seededRandom(settings.seed);
  const budget = new RetryBudget();
  let retries = 0;
  let successes = 0;
  for (let request = 0; request < settings.requests; request += 1) {
    const untried = [...Array(settings.targets).keys()];
    for (let attempt = 1; attempt <= settings.maxAttempts; attempt += 1) {
      if (attempt > 1) {
        if (settings.budgeted && !budget.tryRetry('service')) break;
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
    answeredShare: successes / settings.requests,
    retries,
    successes,
  };
}
