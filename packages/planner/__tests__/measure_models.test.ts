import fc from 'fast-check';
import {runHedgingCase} from '../src/measure/hedging_model';
import {runPoisonCase} from '../src/measure/poison_model';
import type {PoisonCase} from '../src/measure/poison_model';
import {runRetryCase} from '../src/measure/retry_model';

describe('retries', () => {
  // Guards against retries that multiply the load of a failing region.
  test.each([0, 2, 10, 18, 20])('%d of 20 failing targets: attempts stay within 10%%', failing => {
    const settings = {
      targets: 20,
      failingTargets: failing,
      requests: 5_000,
      maxAttempts: 3,
      seed: 1,
    };
    const result = runRetryCase({...settings, hasBudget: true});
    expect(result.retries).toBeLessThanOrEqual(result.successes / 10 + 10);
    const unlimited = runRetryCase({...settings, hasBudget: false});
    if (failing === 20) expect(unlimited.attemptsPerRequest).toBe(3);
  });
});

describe('poison requests', () => {
  const baseCase = {entries: 10, targets: 400, restartMs: 1e9, durationMs: 15_000};

  /**
   * Upper bound on lost targets: each caller reaches at most `visits` entries that do not yet know of two lost
   * targets, and loses at most two targets through each of them.
   */
  function lossBound(settings: PoisonCase): number {
    const {callers, entries, gossipDelayMs, retryIntervalMs, crashMs} = settings;
    const visits = 1 + Math.floor((gossipDelayMs + 2 * crashMs) / (retryIntervalMs + 2 * crashMs));
    return 2 * callers * Math.min(entries, visits);
  }

  const anyCase = fc.record({
    callers: fc.integer({min: 1, max: 4}),
    gossipDelayMs: fc.integer({min: 0, max: 5_000}),
    retryIntervalMs: fc.integer({min: 0, max: 5_000}),
    crashMs: fc.integer({min: 1, max: 500}),
    entryOrder: fc.constantFrom('round-robin' as const, 'random' as const),
    seed: fc.integer({min: 1, max: 1_000}),
  });

  // Guards against a poison request that crashes more targets than docs/decisions/retries.md states.
  test('the loss stays within the stated bound', () => {
    fc.assert(
      fc.property(anyCase, poisonCase => {
        const settings = {...baseCase, ...poisonCase, hasGuard: true};
        expect(runPoisonCase(settings).targetsLost).toBeLessThanOrEqual(lossBound(settings));
      }),
      {seed: 20261203, numRuns: 150},
    );
  });

  // Guards against a simulation in which the guard makes no difference.
  test('without the guard, every retry loses more targets', () => {
    const settings = {
      ...baseCase,
      callers: 1,
      gossipDelayMs: 0,
      retryIntervalMs: 1_000,
      crashMs: 50,
      entryOrder: 'round-robin' as const,
      seed: 1,
    };
    expect(runPoisonCase({...settings, hasGuard: false}).targetsLost).toBe(28);
    expect(runPoisonCase({...settings, hasGuard: true}).targetsLost).toBe(2);
  });
});

describe('hedging', () => {
  const settings = {
    targets: 12,
    slotsPerTarget: 3,
    entries: 1,
    load: 0.5,
    requests: 20_000,
    slowCause: 'target' as const,
    cancels: true,
    seed: 1,
  };

  // Guards against a simulation that is not reproducible or sends more hedges than the budget allows.
  test('is reproducible and reduces tail latency within the budget', () => {
    const off = runHedgingCase({...settings, hedging: false});
    const on = runHedgingCase({...settings, hedging: true});
    expect(runHedgingCase({...settings, hedging: true})).toEqual(on);
    expect(off.hedges).toBe(0);
    expect(on.hedges).toBeLessThanOrEqual(settings.requests * 0.02);
    expect(on.p99Ms).toBeLessThan(off.p99Ms * 0.8);
  });
});
