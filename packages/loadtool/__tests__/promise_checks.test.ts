import {makeDeployment} from '@cuminsill/standins';
import type {CallResult, TargetStatistics} from '@cuminsill/standins';
import type {LoadSample} from '../src/run_load';
import {promiseChecks} from '../src/demo/promise_checks';
import type {RunObservations} from '../src/demo/promise_checks';

const {catalog} = makeDeployment('carpas');
const [fromRegionId, toRegionId] = catalog.regions.map(region => region.id) as [string, string];
const targetIdIn = (regionId: string) =>
  catalog.targets.find(
    target => target.serviceId === 'availability' && target.regionId === regionId,
  )!.id;

function makeSample(
  dueAtMs: number,
  targetId: string,
  changes: Partial<CallResult> = {},
): LoadSample {
  return {
    serviceId: 'availability',
    callerRegionId: fromRegionId,
    dueAtMs,
    latencyMs: 1,
    result: {
      serviceId: 'availability',
      requestNumber: '1',
      kind: 'answered',
      status: 200,
      code: 0,
      isIntact: true,
      targetId,
      timedOut: false,
      notRunRefusals: 0,
      attempts: 1,
      durationMs: 1,
      detail: '',
      ...changes,
    },
  };
}

/** Makes 100 samples a second for 30 s; `shareAt` gives the share that goes to the other region at a time. */
function makeSamplesWithShare(shareAt: (atS: number) => number): readonly LoadSample[] {
  let accumulatedShare = 0;
  return Array.from({length: 3000}, (_, index) => {
    accumulatedShare += shareAt(index / 100);
    const isMoved = accumulatedShare >= 1;
    if (isMoved) accumulatedShare -= 1;
    return makeSample(index * 10, targetIdIn(isMoved ? toRegionId : fromRegionId));
  });
}

const passingRecord: TargetStatistics = {
  targetId: targetIdIn(fromRegionId),
  slots: 3,
  inFlight: 0,
  peakInFlight: 3,
  peakOffered: 3,
  answered: 1000,
  shed: 1,
  cancelled: 0,
  deadlineExceeded: 0,
  cut: 0,
  crashes: 0,
  refusedConnections: 0,
  lastWorkAfterLeavingMs: 900,
  runs: {k1: 1},
};

const passingRun: RunObservations = {
  catalog,
  samples: makeSamplesWithShare(atS => Math.min(0.5, (atS / 8) * 0.15)),
  records: [passingRecord, {...passingRecord, runs: {k2: 1}}],
  move: {
    kind: 'route',
    id: 'move',
    serviceId: 'availability',
    callerRegionId: fromRegionId,
    shares: [],
    maxMovedShare: 0.3,
    windowS: 8,
  },
  entryCount: 10,
  adoptionMs: 2000,
};

const refusedButRunSample = makeSample(0, '', {
  kind: 'refused',
  idempotencyKey: 'k1',
  targetId: undefined,
});

const brokenPromiseCases: ReadonlyArray<readonly [string, Partial<RunObservations>]> = [
  ['moved share stays under its cap', {samples: makeSamplesWithShare(atS => (atS < 15 ? 0 : 0.5))}],
  ['no target is overloaded', {records: [{...passingRecord, peakInFlight: 4}]}],
  ['no target is overloaded', {records: [{...passingRecord, shed: 100}]}],
  [
    'every answer is complete and belongs to its request',
    {samples: [makeSample(0, 't', {isIntact: false})]},
  ],
  [
    'operations refused as not run were not run',
    {samples: [...passingRun.samples, refusedButRunSample]},
  ],
  ['operations run at most once', {records: [passingRecord, passingRecord]}],
  [
    'leaving targets get no new work',
    {records: [{...passingRecord, lastWorkAfterLeavingMs: 9000}]},
  ],
  ['planned stops interrupt no request', {records: [{...passingRecord, cut: 1}]}],
  [
    'planned stops interrupt no request',
    {samples: [...passingRun.samples, makeSample(0, '', {kind: 'unknown'})]},
  ],
  [
    'requests end by their deadline',
    {samples: [...passingRun.samples, makeSample(0, '', {kind: 'unknown', timedOut: true})]},
  ],
  ['changes are in force everywhere', {adoptionMs: 16_000}],
];

describe('promiseChecks', () => {
  it('all pass for a run that keeps every promise', () => {
    const failedChecks = promiseChecks
      .map(check => check(passingRun))
      .filter(check => !check.holds);
    expect(failedChecks).toEqual([]);
  });

  // Guards against a demo that passes although a promise is broken.
  it.each(brokenPromiseCases)('detect a broken promise: %s (%#)', (name, changes) => {
    const results = promiseChecks.map(check => check({...passingRun, ...changes}));
    expect(results.find(check => check.name === name)?.holds).toBe(false);
  });
});
