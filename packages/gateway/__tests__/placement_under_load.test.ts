/**
 * Placement under a load that a service can only handle while most requests are cache hits. Uses a simulation without
 * a network.
 */
import {bySlotsAlone, leastInFlightWithHash, leastLoaded} from '../__fixtures__/baseline_policies';
import {
  archiveLoad,
  availabilityLoad,
  proofLoad,
  unevenRegionsLoad,
} from '../__fixtures__/service_loads';
import type {ServiceLoad, ServiceOutcome} from '../__fixtures__/service_load';
import {simulateService} from '../__fixtures__/service_simulation';

/**
 * A service must recover from an overload within this many consecutive service times: those of the remaining queue,
 * and one cache miss for each object.
 */
const maxServiceTimesToRecover = 17;
/** A service has recovered when its in-time fraction is at most this much below that of the run without a fault. */
const toleratedLoss = 0.1;

const seeds = [1, 2, 3];
const busyAvailability: ServiceLoad = {...availabilityLoad, requestsPerS: 172};
const busyProofs: ServiceLoad = {...proofLoad, requestsPerS: 320};

function recoveryTimeS({serviceTimeMs: workMs}: ServiceLoad): number {
  return Math.ceil((maxServiceTimesToRecover * workMs) / 1_000);
}

function inTimeFractionAfter(
  {inTimeFractionBySecond: inAimBySecond}: ServiceOutcome,
  fromS: number,
): number {
  const later = inAimBySecond.slice(fromS);
  return later.reduce((sum, fraction) => sum + fraction, 0) / later.length;
}

const loads: ReadonlyArray<readonly [string, ServiceLoad]> = [
  ['proofs', proofLoad],
  ['proofs on a busy day', busyProofs],
  ['availability', availabilityLoad],
  ['availability on a busy day', busyAvailability],
  ['archive', archiveLoad],
  ['archive on a busy day', {...archiveLoad, requestsPerS: 50}],
];

describe.each(loads)('placement of %s', (_name, load) => {
  /** Guards against a metastable overload in which almost every request is a cache miss and all answers are late. */
  test.each(seeds)('recovers from full queues within seconds (seed %i)', seed => {
    const undisturbed = simulateService({...load, seed});
    const disturbed = simulateService({...load, seed, initialQueueLength: load.queueLength});
    const fromS = recoveryTimeS(load);
    expect(inTimeFractionAfter(disturbed, fromS)).toBeGreaterThan(
      inTimeFractionAfter(undisturbed, fromS) - toleratedLoss,
    );
  });

  /** Guards against objects that stay scattered over targets after a period of random rejections. */
  test.each(seeds)('recovers cache hits after random rejections (seed %i)', seed => {
    const fault = {fromMs: 4_000, toMs: 8_000, fraction: 0.55};
    const fromS = fault.toMs / 1_000 + recoveryTimeS(load);
    const durationMs = (fromS + 8) * 1_000;
    const undisturbed = simulateService({...load, seed, durationMs});
    const disturbed = simulateService({...load, seed, durationMs, fault});
    expect(inTimeFractionAfter(disturbed, fromS)).toBeGreaterThan(
      inTimeFractionAfter(undisturbed, fromS) - toleratedLoss,
    );
  });

  test('answers more requests in time than the baselines', () => {
    const own = simulateService(load).inTimeCount;
    expect(own).toBeGreaterThan(simulateService(load, leastLoaded).inTimeCount);
    expect(own).toBeGreaterThan(simulateService(load, leastInFlightWithHash).inTimeCount);
  });
});

/** Control: without a preference for cached objects, the same load does not recover. */
test('balancing by load alone never recovers the busy service', () => {
  const outcome = simulateService(busyAvailability, leastLoaded);
  expect(inTimeFractionAfter(outcome, recoveryTimeS(busyAvailability))).toBeLessThan(0.2);
});

/** Maximum change of a region's out-of-region fraction between intervals of two seconds. */
const maxShift = 0.15;

/**
 * Guards against a small region that fills up and then sends many requests to other regions at the same moment. One
 * region has a tenth of the targets and a third of the callers.
 */
test.each(seeds)('a small region moves requests to other regions gradually (seed %i)', seed => {
  const outcome = simulateService({
    ...proofLoad,
    seed,
    regions: [
      {gateways: 8, targets: 43},
      {gateways: 8, targets: 9},
      {gateways: 8, targets: 36},
    ],
    requestsPerS: 280,
    slots: 4,
    cacheSize: 23,
    objectCount: 160,
    serviceTimeMs: 911,
    targetLatencyMs: 633,
    deadlineMs: 4_200,
  });
  for (const fractions of outcome.outOfRegionFractions) {
    const shifts = fractions
      .slice(1)
      .map((fraction, index) => Math.abs(fraction - (fractions[index] ?? 0)));
    expect(Math.max(...shifts)).toBeLessThan(maxShift);
  }
});

/** Twice the usual number of requests: a region's share in two seconds has a standard error below 0.04. */
const doubleUnevenLoad: ServiceLoad = {
  ...unevenRegionsLoad,
  requestsPerS: 2 * unevenRegionsLoad.requestsPerS,
  regions: unevenRegionsLoad.regions.map(({gateways, targets}) => ({
    gateways,
    targets: 2 * targets,
  })),
  objectCount: 2 * unevenRegionsLoad.objectCount,
  durationMs: 60_000,
};
const warmUpS = 18;

/** Mean utilization of the fullest region after the caches are filled. */
function fullestRegion({utilizationsBySecond}: ServiceOutcome): number {
  const means = utilizationsBySecond.map(values => {
    const later = values.slice(warmUpS);
    return later.reduce((sum, value) => sum + value, 0) / later.length;
  });
  return Math.max(...means);
}

/** Guards against targets of a region with too few of them that are full while other regions have free capacity. */
test('regions with too few targets use those of others before queues grow', () => {
  const before = simulateService(doubleUnevenLoad, bySlotsAlone);
  const outcome = simulateService(doubleUnevenLoad);
  expect(fullestRegion(before)).toBeGreaterThan(0.64);
  expect(fullestRegion(outcome)).toBeLessThan(0.55);
  expect(outcome.waitedFraction).toBeLessThan(before.waitedFraction);
  expect(outcome.meanWaitMs).toBeLessThan(before.meanWaitMs);
  expect(outcome.inTimeCount).toBeGreaterThan(before.inTimeCount);
  for (const fractions of outcome.outOfRegionFractions) {
    const later = fractions.slice(warmUpS / 2);
    const shifts = later.slice(1).map((value, index) => Math.abs(value - (later[index] ?? 0)));
    expect(Math.max(...shifts)).toBeLessThanOrEqual(maxShift);
  }
});
