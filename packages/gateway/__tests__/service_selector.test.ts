import fc from 'fast-check';
import {routeRule} from '../__fixtures__/test_records';
import {ServiceSelector} from '../src/service_selector';

function countShares(
  split: ServiceSelector,
  weights: readonly number[],
  requests: number,
): number[] {
  const services = weights.map((weight, index) => ({service: `s${index}`, weight}));
  const route = routeRule({services});
  const counts = weights.map(() => 0);
  for (let sent = 0; sent < requests; sent += 1) {
    const chosen = split.next(route);
    const index = services.findIndex(({service}) => service === chosen);
    counts[index] = (counts[index] ?? 0) + 1;
  }
  return counts;
}

describe('ServiceSplit', () => {
  /**
   * Guards against shares that drift from their weights over short spans. Credits add up to zero and the chosen part
   * has the largest, so no part is ahead by a whole request, and none lags by more than all others can be ahead.
   */
  test('no part gets a request too many, or lags by more than one for each other part', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 100}), {minLength: 2, maxLength: 5}),
        fc.integer({min: 1, max: 300}),
        (weights, requests) => {
          const total = weights.reduce((sum, weight) => sum + weight, 0);
          countShares(new ServiceSelector(), weights, requests).forEach((count, index) => {
            const due = (requests * (weights[index] ?? 0)) / total;
            expect(count - due).toBeLessThan(1);
            expect(due - count).toBeLessThan(weights.length - 1 + 1e-9);
          });
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });

  /** Guards against credits of former weights that distort the first requests of a new configuration. */
  test('starts anew when weights change', () => {
    const split = new ServiceSelector();
    countShares(split, [90, 10], 5);
    expect(countShares(split, [10, 90], 10)).toEqual([1, 9]);
  });

  test('a part with weight 0 gets nothing', () => {
    expect(countShares(new ServiceSelector(), [1, 0], 20)).toEqual([20, 0]);
  });
});
