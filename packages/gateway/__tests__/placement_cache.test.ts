import type {RandomSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';
import {placeWithoutCache} from '../__fixtures__/reference_placement';
import {targetRecord, testRegions} from '../__fixtures__/test_records';
import {RegionalShare} from '../src/regional_shares';
import type {PlacementRequest, PlacementView} from '../src/targets/placement';
import {placeRequest} from '../src/targets/placement';
import {RoundTripTimes} from '../src/targets/round_trip_times';
import {ServiceTimeEstimator} from '../src/targets/service_time_estimator';
import {Target} from '../src/targets/target';

const domains = [...testRegions.keys()];

function pick<T>(random: RandomSource, values: readonly T[]): T {
  return values[Math.floor(random.next() * values.length)] as T;
}

function randomTarget(random: RandomSource, index: number): Target {
  const record = targetRecord({
    id: `t-${index}`,
    failureDomain: pick(random, domains),
    slots: 1 + Math.floor(random.next() * 5),
    draining: random.next() < 0.05,
    coldForMs: random.next() < 0.1 ? 20_000 : 0,
  });
  return new Target(record, testRegions.get(record.failureDomain) ?? '', 0);
}

/** Changes the state of a target, as answers and records do. */
function disturb(random: RandomSource, target: Target, nowMs: number, view: PlacementView): void {
  const changes: ReadonlyArray<() => void> = [
    () => target.load.recordStart(),
    () => target.load.recordStart(),
    () => target.load.recordReport({running: 4, waiting: 3, slots: 4}, nowMs),
    () => target.load.recordReport({running: 1, waiting: 0, slots: 4}, nowMs),
    () => target.health.onCancel(nowMs, 1 + 5 * random.next()),
    () => target.health.onFailure(nowMs),
    () => target.health.onConnectFailure(nowMs),
    () => target.health.onProbeConnected(),
    () => target.recentObjects.recordUse(String(Math.floor(random.next() * 30)), nowMs),
    () => target.coldLimiter.recordSend(nowMs),
    () => target.deferRemoval(),
    () => target.update({...target.record, slots: 1 + Math.floor(random.next() * 5)}, nowMs),
    () =>
      target.workDuration.recordReport(4 * random.next(), nowMs, view.serviceTime.durationModel),
    () => view.serviceTime.observe(20 + 800 * random.next(), false),
  ];
  pick(random, changes)();
}

function randomRequest(random: RandomSource): PlacementRequest {
  return {
    objectKey: random.next() < 0.1 ? undefined : String(Math.floor(random.next() * 30)),
    homeRegions: random.next() < 0.1 ? ['b'] : [],
    bodyBytes: random.next() < 0.1 ? 60_000 : 0,
    attemptedTargetIds: new Set(random.next() < 0.2 ? ['t-0', 't-1', 't-2'] : []),
    latencyObjectiveMs: 400,
  };
}

/** Guards against cached rankings that are out of date, and against a search that ends before the best target. */
test.each([1, 2, 3, 4, 5, 6, 7, 8])('choices are the same as without caches (seed %i)', seed => {
  const random = seededRandom(seed);
  let targets = Array.from({length: 1 + 10 * seed}, (_v, index) => randomTarget(random, index));
  const view: PlacementView = {
    nowMs: 0,
    ownName: 'g-1',
    ownRegion: 'a',
    ownCallerFraction: 0.1 + 0.9 * random.next(),
    gatewayNames: ['g-1', 'g-2', 'g-3'],
    senderNames: ['g-1', 'g-2', 'g-3'],
    evacuatedDomains: new Set(),
    coldLimit: {requestsPerS: 2},
    serviceTime: new ServiceTimeEstimator(),
    roundTripTimes: new RoundTripTimes('a-1', testRegions),
    regionalShare: new RegionalShare(),
  };
  view.roundTripTimes.observe('b-2', 20);
  let placedCount = 0;
  for (let step = 0; step < 2_000; step += 1) {
    const nowMs = step * 10;
    for (let count = 0; count < 3; count += 1) disturb(random, pick(random, targets), nowMs, view);
    if (random.next() < 0.02) targets = [...targets].reverse();
    if (random.next() < 0.02) targets = [...targets.slice(1), randomTarget(random, 1_000 + step)];
    const evacuatedDomains = new Set(random.next() < 0.1 ? ['a-2'] : []);
    const request = randomRequest(random);
    // The share is updated by the first of the two calls only, so both choose with the same one.
    const expected = placeWithoutCache(request, targets, {...view, nowMs, evacuatedDomains});
    const placed = placeRequest(request, targets, {...view, nowMs, evacuatedDomains});
    expect(placed?.target.id).toBe(expected?.target.id);
    expect(placed?.expectedMs).toBe(expected?.expectedMs);
    expect(placed?.waitMs).toBe(expected?.waitMs);
    if (expected !== undefined) placedCount += 1;
  }
  expect(placedCount).toBeGreaterThan(100);
});
