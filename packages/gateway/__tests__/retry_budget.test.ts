import {ManualTime} from '@cuminsill/utils';
import fc from 'fast-check';
import {RetryBudget} from '../src/retry_budget';

const limit = {ratio: 0.2, windowMs: 10_000, slack: 60};

interface Sending {
  readonly atMs: number;
  readonly repeated: boolean;
}

/** Lets every gateway repeat as often as it may while the callers send, and returns all sendings. */
function repeatGreedily(gateways: number, requestsPerS: readonly number[]): readonly Sending[] {
  const time = new ManualTime();
  const startMs = time.monotonicMs();
  const allowances = Array.from(
    {length: gateways},
    () =>
      new RetryBudget(
        () => limit,
        time,
        () => gateways,
      ),
  );
  const sendings: Sending[] = [];
  for (const perSecond of requestsPerS) {
    for (let sent = 0; sent < perSecond; sent += 1) {
      const allowance = allowances[sent % gateways];
      allowance?.recordRequest('s');
      sendings.push({atMs: time.monotonicMs() - startMs, repeated: false});
    }
    for (const allowance of allowances) {
      while (allowance.tryTake('s')) {
        sendings.push({atMs: time.monotonicMs() - startMs, repeated: true});
      }
    }
    time.advance(1_000);
  }
  return sendings;
}

describe('RetryAllowance', () => {
  /** Guards against gateways that each keep the limit and together exceed it. */
  test.each([1, 10, 87])('%i gateways together keep the limit in every window', gateways => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 300}), {minLength: 12, maxLength: 30}),
        requestsPerS => {
          const sendings = repeatGreedily(gateways, requestsPerS);
          for (let startMs = 0; startMs < requestsPerS.length * 1_000; startMs += 1_000) {
            const inWindow = sendings.filter(
              ({atMs}) => atMs >= startMs && atMs < startMs + limit.windowMs,
            );
            const repeats = inWindow.filter(({repeated}) => repeated).length;
            const requests = inWindow.length - repeats;
            const saved = gateways * 2;
            expect(repeats).toBeLessThanOrEqual(limit.ratio * requests + limit.slack + saved);
          }
        },
      ),
      {seed: 1, numRuns: 20},
    );
  });

  test('services have allowances of their own', () => {
    const allowance = new RetryBudget(
      () => ({...limit, slack: 2}),
      new ManualTime(),
      () => 1,
    );
    expect([allowance.tryTake('a'), allowance.tryTake('a')]).toEqual([true, false]);
    expect(allowance.tryTake('b')).toBe(true);
  });

  test('slack returns after the window', () => {
    const time = new ManualTime();
    const allowance = new RetryBudget(
      () => ({...limit, slack: 2}),
      time,
      () => 1,
    );
    expect([allowance.tryTake('a'), allowance.tryTake('a')]).toEqual([true, false]);
    time.advance(limit.windowMs);
    expect(allowance.tryTake('a')).toBe(true);
  });
});
