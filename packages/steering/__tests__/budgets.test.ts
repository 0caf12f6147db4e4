import fc from 'fast-check';
import {ResultError, resultCodes} from '@cuminsill/types';
import {
  HedgeBudget,
  parseTimeoutMs,
  computeNextHopTimeoutMs,
  RetryBudget,
} from '@cuminsill/steering';

describe('RetryBudget', () => {
  // Without this limit, retries multiply the load of a failing region.
  test('limits the retries of each service to 10% of its successes plus 10', () => {
    const events = fc.array(
      fc.record({
        service: fc.constantFrom('a', 'b'),
        kind: fc.constantFrom('success', 'retry'),
        count: fc.integer({min: 1, max: 60}),
      }),
      {maxLength: 60},
    );
    fc.assert(
      fc.property(events, history => {
        const budget = new RetryBudget();
        const counts = {a: {success: 0, retry: 0}, b: {success: 0, retry: 0}};
        for (const {service, kind, count} of history) {
          for (let n = 0; n < count; n += 1) {
            if (kind === 'success') budget.recordSuccess(service);
            if (kind === 'success' || budget.tryRetry(service)) counts[service][kind] += 1;
          }
          expect(counts[service].retry).toBeLessThanOrEqual(counts[service].success / 10 + 10);
        }
      }),
      {seed: 20261203, numRuns: 500},
    );
  });

  // Guards against a budget that never refills, one that saves up without limit, and rounding errors.
  test.each([
    ['allows the burst before any success', 0, 0, 10],
    ['9 successes earn no retry', 10, 9, 0],
    ['10 successes earn one retry', 10, 10, 1],
    ['100 successes earn ten retries', 10, 100, 10],
    ['saves up no more than the burst', 10, 100_000, 10],
  ])('%s', (_name, spent, successes, expectedRetries) => {
    const budget = new RetryBudget();
    for (let n = 0; n < spent; n += 1) budget.tryRetry('s');
    for (let n = 0; n < successes; n += 1) budget.recordSuccess('s');
    let retries = 0;
    while (budget.tryRetry('s')) retries += 1;
    expect(retries).toBe(expectedRetries);
  });
});

describe('HedgeBudget', () => {
  function budgetWithDurations(durations: readonly number[]): HedgeBudget {
    const budget = new HedgeBudget();
    for (const durationMs of durations) {
      budget.recordRead('s');
      budget.recordDuration('s', durationMs);
    }
    return budget;
  }

  // Guards against hedging on too few samples, and against a delay that does not follow the durations of the service.
  test.each([
    ['no samples', [], undefined],
    ['99 samples', Array<number>(99).fill(20), undefined],
    ['100 samples', Array<number>(100).fill(20), 20],
    ['4% slow reads', [...Array<number>(960).fill(20), ...Array<number>(40).fill(500)], 20],
    ['6% slow reads', [...Array<number>(940).fill(20), ...Array<number>(60).fill(500)], 500],
    [
      'old samples are dropped',
      [...Array<number>(1000).fill(500), ...Array<number>(1000).fill(20)],
      20,
    ],
    ['durations that are not numbers', [...Array<number>(100).fill(NaN)], 0.1],
  ])('delay: %s', (_name, durations, expected) => {
    const delayMs = budgetWithDurations(durations).hedgeDelayMs('s');
    if (expected === undefined) {
      expect(delayMs).toBeUndefined();
      return;
    }
    expect(delayMs).toBeGreaterThanOrEqual(expected);
    expect(delayMs).toBeLessThanOrEqual(expected * 1.1);
  });

  // Guards against hedges that add more than 2% load or begin before the delay is known.
  test('hedges are at most 2% of reads', () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(fc.nat(200), fc.nat(20)), {maxLength: 40}), history => {
        const budget = new HedgeBudget();
        let reads = 0;
        let hedges = 0;
        for (const [newReads, wantedHedges] of history) {
          for (let n = 0; n < newReads; n += 1) {
            budget.recordRead('s');
            budget.recordDuration('s', 10);
          }
          reads += newReads;
          for (let n = 0; n < wantedHedges; n += 1) if (budget.tryHedge('s')) hedges += 1;
          expect(hedges).toBeLessThanOrEqual(reads < 100 ? 0 : reads * 0.02);
        }
      }),
      {seed: 2, numRuns: 300},
    );
  });
});

describe('deadlines', () => {
  // A timeout that is parsed wrongly lets a request run for longer than its caller waits.
  test.each([
    [undefined, 5_000],
    ['1', 1],
    [' 250 ', 250],
    ['3600000', 3_600_000],
    ['0', undefined],
    ['-5', undefined],
    ['1.5', undefined],
    ['1e3', undefined],
    ['3600001', undefined],
    ['', undefined],
    ['10, 20', undefined],
    [['10', '20'], undefined],
  ])('header %j', (header, expected) => {
    const parsed = parseTimeoutMs(header, 5_000);
    if (expected !== undefined) {
      expect(parsed).toBe(expected);
      return;
    }
    expect(parsed).toBeInstanceOf(ResultError);
    expect((parsed as ResultError).result).toBe(resultCodes.malformedRequest);
    expect((parsed as ResultError).detail).toMatch(/x-request-timeout-ms: found ".*"; give one/);
  });

  // Guards against a next hop that continues after its caller has timed out, and against negative timeouts.
  test.each([
    [1_000, 0, 0, 998],
    [1_000, 0, 55, 888],
    [1_000, 990.4, 1, 5],
    [1_000, 997, 1, 0],
    [1_000, 2_000, 1, 0],
  ])('deadline %d at %d over %d ms leaves %d', (deadlineMs, nowMs, latencyMs, expected) => {
    expect(computeNextHopTimeoutMs(deadlineMs, nowMs, latencyMs)).toBe(expected);
  });
});
