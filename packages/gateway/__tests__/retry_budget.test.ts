import {ManualTime} from '@cuminsill/utils';
import fc from 'fast-check';
import {RetryBudget} from '../src/retry_budget';

const limit = {ratio: 0.2, windowMs: 10_000, slack: 60};

interface SentAttempt {
  readonly atMs: number;
  readonly isRetry: boolean;
}

/** Sends requests through gateways that retry as often as their budgets allow, and returns all attempts. */
function retryGreedily(gateways: number, requestsPerS: readonly number[]): readonly SentAttempt[] {
  const time = new ManualTime();
  const startMs = time.monotonicMs();
  const budgets = Array.from(
    {length: gateways},
    () =>
      new RetryBudget(
        () => limit,
        time,
        () => gateways,
      ),
  );
  const attempts: SentAttempt[] = [];
  for (const perSecond of requestsPerS) {
    for (let sent = 0; sent < perSecond; sent += 1) {
      const budget = budgets[sent % gateways];
      budget?.recordRequest('s');
      attempts.push({atMs: time.monotonicMs() - startMs, isRetry: false});
    }
    for (const budget of budgets) {
      while (budget.tryTake('s')) {
        attempts.push({atMs: time.monotonicMs() - startMs, isRetry: true});
      }
    }
    time.advance(1_000);
  }
  return attempts;
}

describe('RetryAllowance', () => {
  /** Guards against gateways that each stay within the limit and together exceed it. */
  test.each([1, 10, 87])('%i gateways together keep the limit in every window', gateways => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 300}), {minLength: 12, maxLength: 30}),
        requestsPerS => {
          const attempts = retryGreedily(gateways, requestsPerS);
          for (let startMs = 0; startMs < requestsPerS.length * 1_000; startMs += 1_000) {
            const inWindow = attempts.filter(
              ({atMs}) => atMs >= startMs && atMs < startMs + limit.windowMs,
            );
            const retryCount = inWindow.filter(({isRetry}) => isRetry).length;
            const requestCount = inWindow.length - retryCount;
            const savedCredit = gateways * 2;
            expect(retryCount).toBeLessThanOrEqual(
              limit.ratio * requestCount + limit.slack + savedCredit,
            );
          }
        },
      ),
      {seed: 1, numRuns: 20},
    );
  });

  test('each service has its own budget', () => {
    const budget = new RetryBudget(
      () => ({...limit, slack: 2}),
      new ManualTime(),
      () => 1,
    );
    expect([budget.tryTake('a'), budget.tryTake('a')]).toEqual([true, false]);
    expect(budget.tryTake('b')).toBe(true);
  });

  test('slack is available again after the window', () => {
    const time = new ManualTime();
    const budget = new RetryBudget(
      () => ({...limit, slack: 2}),
      time,
      () => 1,
    );
    expect([budget.tryTake('a'), budget.tryTake('a')]).toEqual([true, false]);
    time.advance(limit.windowMs);
    expect(budget.tryTake('a')).toBe(true);
  });
});
