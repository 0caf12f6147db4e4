/**
 * The load that placement answers: more work than a service can do unless most requests meet a target that knows their
 * object. Played in a model without a network.
 */
import {leastInFlightWithHash, leastLoaded} from '../__fixtures__/baseline_policies';
import {archiveLoad, availabilityLoad, proofLoad} from '../__fixtures__/service_loads';
import type {ServiceLoad, ServiceOutcome} from '../__fixtures__/service_simulation';
import {simulateService} from '../__fixtures__/service_simulation';

/**
 * A service must have left the trouble that it started from after its targets could have done this much work one
 * after the other: the queue that was left, and each object once.
 */
const worksToRecover = 17;
/** A service counts as recovered when as many requests are in time as without the trouble, but for this part. */
const tolerated = 0.1;

const seeds = [1, 2, 3];
const busyAvailability: ServiceLoad = {...availabilityLoad, requestsPerS: 172};
const busyProofs: ServiceLoad = {...proofLoad, requestsPerS: 320};

function recoverWithinS({serviceTimeMs: workMs}: ServiceLoad): number {
  return Math.ceil((worksToRecover * workMs) / 1_000);
}

function shareAfter(
  {inTimeFractionBySecond: inAimBySecond}: ServiceOutcome,
  fromS: number,
): number {
  const later = inAimBySecond.slice(fromS);
  return later.reduce((sum, share) => sum + share, 0) / later.length;
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
  /** Guards against the state in which no request meets its object any more and all answers are late. */
  test.each(seeds)('leaves full queues within seconds (seed %i)', seed => {
    const calm = simulateService({...load, seed});
    const troubled = simulateService({...load, seed, initialQueueLength: load.queueLength});
    const fromS = recoverWithinS(load);
    expect(shareAfter(troubled, fromS)).toBeGreaterThan(shareAfter(calm, fromS) - tolerated);
  });

  /** Guards against objects that stay scattered after a time in which targets declined at random. */
  test.each(seeds)('gathers objects again after targets declined at random (seed %i)', seed => {
    const fault = {fromMs: 4_000, toMs: 8_000, fraction: 0.55};
    const fromS = fault.toMs / 1_000 + recoverWithinS(load);
    const durationMs = (fromS + 8) * 1_000;
    const calm = simulateService({...load, seed, durationMs});
    const troubled = simulateService({...load, seed, durationMs, fault});
    expect(shareAfter(troubled, fromS)).toBeGreaterThan(shareAfter(calm, fromS) - tolerated);
  });

  test('answers more requests in time than the baselines', () => {
    const own = simulateService(load).inTimeCount;
    expect(own).toBeGreaterThan(simulateService(load, leastLoaded).inTimeCount);
    expect(own).toBeGreaterThan(simulateService(load, leastInFlightWithHash).inTimeCount);
  });
});

/** The counter-test: without a preference for known objects the same load stays in the bad state. */
test('balancing by load alone loses the busy service for good', () => {
  const outcome = simulateService(busyAvailability, leastLoaded);
  expect(shareAfter(outcome, recoverWithinS(busyAvailability))).toBeLessThan(0.2);
});

/** Most requests of a region that may change the region in which they run from one span of two seconds to the next. */
const largestShift = 0.15;

/**
 * Guards against a small region that fills up and then sends many requests elsewhere at the same moment. The load is
 * that of a fleet in which one region has a tenth of the targets and a third of the callers.
 */
test.each(seeds)('a small region does not move its requests in a rush (seed %i)', seed => {
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
  for (const shares of outcome.outOfRegionFractions) {
    const shifts = shares.slice(1).map((share, span) => Math.abs(share - (shares[span] ?? 0)));
    expect(Math.max(...shifts)).toBeLessThan(largestShift);
  }
});
