import type {RegionShare} from '@cuminsill/types';
import {ManualTime} from '@cuminsill/utils';
import fc from 'fast-check';
import {makeConfiguration, makeRouteIntent, makeService, makeTargets} from '../__fixtures__/fleets';
import type {EffectiveRoute} from '../src';
import {movedShare, OverflowBudget, RegionAssignment, RouteTable, ShareRamp} from '../src';

const regionIds = ['a', 'b', 'c'];
const startMs = new ManualTime().nowMs();
const tolerance = 1e-9;

function toShares(weights: readonly number[]): readonly RegionShare[] {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight, index) => ({
    regionId: regionIds[index] ?? '',
    share: weight / total,
  }));
}

function makeRoute(
  shares: readonly RegionShare[],
  previousShares: readonly RegionShare[],
  maxMovedShare: number,
  confirmedAtMs = startMs,
): EffectiveRoute {
  return {
    serviceId: 's',
    callerRegionId: 'a',
    shares,
    previousShares,
    cap: {maxMovedShare, windowMs: 60_000},
    confirmedAtMs,
    regionIdsByPreference: regionIds,
  };
}

const sharesArbitrary = fc
  .array(fc.integer({min: 0, max: 10}), {minLength: 3, maxLength: 3})
  .filter(weights => weights.some(weight => weight > 0))
  .map(toShares);
const capArbitrary = fc.integer({min: 1, max: 100}).map(percent => percent / 100);

describe('RouteTable', () => {
  const services = [makeService('s')];
  const targets = ['b', 'c'].flatMap(regionId => makeTargets('s', regionId, 1, 3));
  const allToB = [{regionId: 'b', share: 1}];
  const halfEach = [
    {regionId: 'b', share: 0.5},
    {regionId: 'c', share: 0.5},
  ];
  const drain = {
    intent: {kind: 'drain', id: 'd', siteId: 'site-b-0'},
    version: 3,
    confirmedBy: 'operator',
    confirmedAtMs: 0,
    previousShares: [],
  } as const;
  const cases = [
    {name: 'the nearest region without an intent', intents: [], shares: allToB, cap: 0.25},
    {
      name: 'the shares of an intent',
      intents: [makeRouteIntent('s', 'a', halfEach, allToB)],
      shares: halfEach,
      cap: 0.2,
    },
    {
      name: 'the shares of the newer of two intents and the smaller cap',
      intents: [
        makeRouteIntent('s', 'a', halfEach, allToB, {version: 3, maxMovedShare: 0.4}),
        makeRouteIntent('s', 'a', allToB, halfEach, {version: 2, maxMovedShare: 0.1}),
      ],
      shares: halfEach,
      cap: 0.1,
    },
    {
      name: 'no share for a region whose sites are drained',
      intents: [makeRouteIntent('s', 'a', halfEach, allToB), drain],
      shares: [{regionId: 'c', share: 1}],
      cap: 0.2,
    },
  ];
  test.each(cases)('gives $name', ({intents, shares, cap}) => {
    const table = new RouteTable(makeConfiguration(regionIds, services, targets, {intents}));
    const route = table.route('s', 'a');
    expect(route.shares).toEqual(shares);
    expect(route.cap.maxMovedShare).toBe(cap);
  });
});

describe('ShareRamp', () => {
  const stepArbitrary = fc.oneof(
    {weight: 8, arbitrary: fc.record({advanceMs: fc.integer({min: 1, max: 3000})})},
    {weight: 1, arbitrary: fc.record({advanceMs: fc.integer({min: 3000, max: 7_200_000})})},
    {weight: 2, arbitrary: fc.record({shares: sharesArbitrary, cap: capArbitrary})},
    {weight: 1, arbitrary: fc.record({frozen: fc.boolean()})},
  );

  test('never moves more than the cap in a window, for any sequence of intents, pauses and freezes', () => {
    const property = fc.property(
      fc.array(stepArbitrary, {minLength: 20, maxLength: 120}),
      steps => {
        const time = new ManualTime();
        let shares = toShares([1, 0, 0]);
        let cap = 0.2;
        let frozen = false;
        const ramp = new ShareRamp(makeRoute(shares, shares, cap), time);
        const samples = [{atMs: time.nowMs(), shares, cap}];
        for (const step of steps) {
          if ('frozen' in step) frozen = step.frozen;
          if ('shares' in step) {
            cap = step.cap;
            ramp.setRoute(makeRoute(step.shares, shares, cap, time.nowMs()));
            shares = step.shares;
          }
          if ('advanceMs' in step) time.advance(step.advanceMs);
          ramp.advance(frozen);
          samples.push({atMs: time.nowMs(), shares: ramp.shares(), cap});
        }
        let maxExcess = -Infinity;
        samples.forEach((from, index) => {
          let maxCap = from.cap;
          for (const to of samples.slice(index)) {
            if (to.atMs - from.atMs > 60_000) break;
            maxCap = Math.max(maxCap, to.cap);
            const excess = movedShare(from.shares, to.shares) - maxCap;
            maxExcess = Math.max(maxExcess, excess);
          }
        });
        expect(maxExcess).toBeLessThanOrEqual(tolerance);
      },
    );
    fc.assert(property, {seed: 11, numRuns: 200});
  });

  test('callers that switch between entries that adopt late or restart stay under the cap', () => {
    const entryArbitrary = fc.record({
      adoptedAfterS: fc.integer({min: 0, max: 60}),
      restartedAtS: fc.option(fc.integer({min: 61, max: 400})),
    });
    const property = fc.property(
      fc.array(entryArbitrary, {minLength: 2, maxLength: 5}),
      sharesArbitrary,
      sharesArbitrary,
      capArbitrary,
      (entries, before, after, cap) => {
        const time = new ManualTime();
        const oldRoute = makeRoute(before, before, cap);
        const route = makeRoute(after, before, cap);
        const ramps = entries.map(() => new ShareRamp(oldRoute, time));
        const history: (readonly (readonly RegionShare[])[])[] = [];
        for (let second = 0; second <= 400; second += 1) {
          entries.forEach((entry, index) => {
            if (entry.adoptedAfterS === second) ramps[index]?.setRoute(route);
            if (entry.restartedAtS === second) ramps[index] = new ShareRamp(route, time);
            ramps[index]?.advance(false);
          });
          history.push(ramps.map(ramp => ramp.shares()));
          time.advance(1000);
        }
        let maxMoved = 0;
        for (let second = 60; second <= 400; second += 10) {
          for (const earlier of history[second - 60] ?? []) {
            for (const later of history[second] ?? []) {
              maxMoved = Math.max(maxMoved, movedShare(earlier, later));
            }
          }
        }
        expect(maxMoved).toBeLessThanOrEqual(cap + tolerance);
      },
    );
    fc.assert(property, {seed: 12, numRuns: 60});
  });

  test('a frozen ramp does not move, and continues at its normal rate afterwards', () => {
    const time = new ManualTime();
    const before = toShares([1, 0, 0]);
    const ramp = new ShareRamp(makeRoute(toShares([0, 1, 0]), before, 0.2), time);
    const advance = (seconds: number, frozen: boolean): number => {
      for (let second = 0; second < seconds; second += 1) {
        time.advance(1000);
        ramp.advance(frozen);
      }
      return movedShare(before, ramp.shares());
    };
    expect(advance(60, false)).toBeCloseTo(0.1);
    expect(advance(3600, true)).toBeCloseTo(0.1);
    expect(advance(60, false)).toBeCloseTo(0.2);
  });

  test('after the cap is reduced, the ramp pauses until the window has room under the new cap', () => {
    const time = new ManualTime();
    const before = toShares([1, 0, 0]);
    const ramp = new ShareRamp(makeRoute(toShares([0, 1, 0]), before, 0.8), time);
    const movedAfter = (seconds: number): number => {
      for (let second = 0; second < seconds; second += 1) {
        time.advance(1000);
        ramp.advance(false);
      }
      return movedShare(before, ramp.shares());
    };
    expect(movedAfter(60)).toBeCloseTo(0.4);
    ramp.setRoute(makeRoute(toShares([0, 1, 0]), before, 0.1));
    expect(movedAfter(40)).toBeCloseTo(0.4);
    expect(movedAfter(80)).toBeGreaterThan(0.41);
  });

  test('an instance that starts during a move begins at the scheduled position', () => {
    const time = new ManualTime();
    const before = toShares([1, 0, 0]);
    const route = makeRoute(toShares([0, 1, 0]), before, 0.2, time.nowMs() - 120_000);
    expect(movedShare(before, new ShareRamp(route, time).shares())).toBeCloseTo(0.2);
  });
});

describe('OverflowBudget', () => {
  test('in any interval, overflows stay below the part of the cap that the ramp left, plus one', () => {
    const requestArbitrary = fc.record({
      rampMoved: fc.integer({min: 0, max: 30}).map(percent => percent / 100),
      wantsOverflow: fc.boolean(),
    });
    const property = fc.property(
      fc.array(requestArbitrary, {minLength: 10, maxLength: 200}),
      requests => {
        const budget = new OverflowBudget();
        const excess = requests.map(({rampMoved, wantsOverflow}) => {
          budget.countRequest(0.25, rampMoved);
          const overflows = wantsOverflow && budget.hasCredit();
          if (overflows) budget.spend();
          return (overflows ? 1 : 0) - Math.max(0, 0.25 - rampMoved);
        });
        let maxExcess = 0;
        let current = 0;
        for (const value of excess) {
          current = Math.max(0, current + value);
          maxExcess = Math.max(maxExcess, current);
        }
        expect(maxExcess).toBeLessThanOrEqual(1 + tolerance);
      },
    );
    fc.assert(property, {seed: 13, numRuns: 300});
  });
});

describe('RegionAssignment', () => {
  test('the counts never differ from constant shares by more than one request', () => {
    const property = fc.property(
      sharesArbitrary,
      fc.integer({min: 1, max: 300}),
      (shares, total) => {
        let maxDifference = 0;
        const assignment = new RegionAssignment();
        const counts = new Map<string, number>();
        for (let sent = 1; sent <= total; sent += 1) {
          const regionId = assignment.nextRegionId(shares) ?? '';
          counts.set(regionId, (counts.get(regionId) ?? 0) + 1);
          for (const entry of shares) {
            const difference = (counts.get(entry.regionId) ?? 0) - entry.share * sent;
            maxDifference = Math.max(maxDifference, Math.abs(difference));
          }
        }
        expect(maxDifference).toBeLessThanOrEqual(1 + tolerance);
      },
    );
    fc.assert(property, {seed: 14, numRuns: 200});
  });
});
