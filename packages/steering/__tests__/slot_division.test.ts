import type {Member} from '@cuminsill/types';
import fc from 'fast-check';
import {makeConfiguration, makeMembers, makeService, makeTargets} from '../__fixtures__/fleets';
import type {PoolDivision} from '../src';
import {DivisionCache, divideSlots, orderByScore, RouteTable} from '../src';

const regionIds = ['a', 'b', 'c'];
const targets = regionIds.flatMap(regionId => makeTargets('s', regionId, 12, 3));

function divide(
  members: readonly Member[],
  demands: readonly number[] = [1, 1, 1],
): readonly PoolDivision[] {
  const configuration = makeConfiguration(regionIds, [makeService('s')], targets, {
    demands: regionIds.map((callerRegionId, index) => ({
      serviceId: 's',
      callerRegionId,
      requestsPerS: demands[index] ?? 0,
    })),
  });
  return divideSlots(configuration, new RouteTable(configuration), members);
}

function ownersOf(pools: readonly PoolDivision[]): ReadonlyMap<string, string> {
  const owners = new Map<string, string>();
  for (const {entries} of pools) {
    for (const {instanceId, slots} of entries) {
      for (const {targetId, slotIndex} of slots) {
        const key = `${targetId}/${slotIndex}`;
        if (owners.has(key)) throw new Error(`slot ${key} has two owners`);
        owners.set(key, instanceId);
      }
    }
  }
  return owners;
}

describe('orderByScore', () => {
  // Entries that order candidates of equal score differently would claim the same slot.
  test('orders like a stable sort by descending score', () => {
    const scoreArbitrary = fc.oneof(
      fc.integer({min: 0, max: 3}),
      fc.constantFrom(0x7fffffff, 0x80000000, 0xffffffff),
    );
    const property = fc.property(fc.array(scoreArbitrary, {maxLength: 60}), scores => {
      const expected = scores
        .map((score, index) => ({score, index}))
        .sort((a, b) => b.score - a.score || a.index - b.index)
        .map(({index}) => index);
      expect([...orderByScore(Uint32Array.from(scores))]).toEqual(expected);
    });
    fc.assert(property, {seed: 24, numRuns: 200});
  });

  // Above 2^21 candidates, a score and an index no longer fit into one number without losing digits.
  test('orders more candidates than can be packed with their scores', () => {
    const count = 2 ** 21 + 2;
    const scores = new Uint32Array(count).fill(5);
    scores[count - 1] = 0xffffffff;
    const order = orderByScore(scores);
    expect([order[0], order[1], order[2], order[count - 1]]).toEqual([count - 1, 0, 1, count - 2]);
  });
});

describe('divideSlots', () => {
  const members = makeMembers(regionIds, 5);
  const subsetArbitrary = fc.subarray([...members], {minLength: 1});
  const demandsArbitrary = fc.array(fc.integer({min: 0, max: 50}), {minLength: 3, maxLength: 3});

  test('gives each slot to exactly one entry, whatever the members and demands', () => {
    const property = fc.property(subsetArbitrary, demandsArbitrary, (subset, demands) => {
      expect(ownersOf(divide(subset, demands)).size).toBe(targets.length * 3);
    });
    fc.assert(property, {seed: 21, numRuns: 100});
  });

  // Guards against a cached division that is used after targets, demands or members have changed.
  test('gives the same result with a cache of other divisions', () => {
    const round = fc.record({
      subset: subsetArbitrary,
      demands: demandsArbitrary,
      slots: fc.integer({min: 1, max: 4}),
      targetCount: fc.integer({min: 1, max: 6}),
    });
    const property = fc.property(fc.array(round, {minLength: 2, maxLength: 5}), rounds => {
      const memory = new DivisionCache();
      for (const {subset, demands, slots, targetCount} of [...rounds, ...rounds]) {
        const configuration = makeConfiguration(
          regionIds,
          [makeService('s')],
          regionIds.flatMap(regionId => makeTargets('s', regionId, targetCount, slots)),
          {
            demands: regionIds.map((callerRegionId, index) => ({
              serviceId: 's',
              callerRegionId,
              requestsPerS: demands[index] ?? 0,
            })),
          },
        );
        const routes = new RouteTable(configuration);
        expect(divideSlots(configuration, routes, subset, memory)).toEqual(
          divideSlots(configuration, routes, subset),
        );
      }
    });
    fc.assert(property, {seed: 25, numRuns: 50});
  });

  test('does not depend on the order of the members', () => {
    const property = fc.property(fc.shuffledSubarray([...members], {minLength: 1}), subset => {
      const sorted = [...subset].sort((a, b) => (a.instance.id < b.instance.id ? -1 : 1));
      expect([...ownersOf(divide(subset))]).toEqual([...ownersOf(divide(sorted))]);
    });
    fc.assert(property, {seed: 22, numRuns: 50});
  });

  test('entries of equal weight differ by at most one slot per pool', () => {
    const property = fc.property(subsetArbitrary, demandsArbitrary, (subset, demands) => {
      const regionOf = new Map(subset.map(({instance}) => [instance.id, instance.regionId]));
      for (const {entries} of divide(subset, demands)) {
        const byRegion = new Map<string, number[]>();
        for (const {instanceId, slots} of entries) {
          const regionId = regionOf.get(instanceId) ?? '';
          byRegion.set(regionId, [...(byRegion.get(regionId) ?? []), slots.length]);
        }
        for (const counts of byRegion.values()) {
          expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
        }
      }
    });
    fc.assert(property, {seed: 23, numRuns: 100});
  });

  test('members that leave or cannot be reached hold no slots', () => {
    const [first, second, ...others] = members;
    if (first === undefined || second === undefined) throw new Error('members are missing');
    const changed: readonly Member[] = [
      {...first, state: 'leaving'},
      {...second, reachability: 'unreachable'},
      ...others,
    ];
    const holders = new Set(ownersOf(divide(changed)).values());
    expect(holders.has(first.instance.id)).toBe(false);
    expect(holders.has(second.instance.id)).toBe(false);
    expect(holders.size).toBe(others.length);
  });

  test('slots follow the expected traffic', () => {
    const pools = divide(
      members.filter(({instance}) => instance.regionId !== 'c'),
      [10, 10, 30],
    );
    const slotsIn = (regionId: string): number =>
      pools
        .filter(pool => pool.regionId === regionId)
        .flatMap(pool => pool.entries)
        .filter(entry => entry.instanceId.startsWith('a'))
        .reduce((sum, entry) => sum + entry.slots.length, 0);
    expect([slotsIn('a'), slotsIn('b')]).toEqual([36, 0]);
  });
});
