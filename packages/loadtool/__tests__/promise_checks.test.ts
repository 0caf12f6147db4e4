import {makeDeployment} from '@cuminsill/standins';
import type {CallResult, TargetRecord} from '@cuminsill/standins';
import type {LoadSample} from '../src/load_run';
import {promiseChecks} from '../src/demo/promise_checks';
import type {RunEvidence} from '../src/demo/promise_checks';

const {catalog} = makeDeployment('carpas');
const [from, to] = catalog.regions.map(region => region.id) as [string, string];
const targetIn = (regionId: string) =>
  catalog.targets.find(
    target => target.serviceId === 'availability' && target.regionId === regionId,
  )!.id;

function sample(dueAtMs: number, targetId: string, changes: Partial<CallResult> = {}): LoadSample {
  return {
    serviceId: 'availability',
    callerRegionId: from,
    dueAtMs,
    latencyMs: 1,
    result: {
      serviceId: 'availability',
      requestNumber: '1',
      kind: 'answered',
      status: 200,
      code: 0,
      whole: true,
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

/** 100 requests a second for 30 s; `shareAt` gives the share that goes to the other region. */
function samplesWithShare(shareAt: (atS: number) => number): readonly LoadSample[] {
  let debt = 0;
  return Array.from({length: 3000}, (_, index) => {
    debt += shareAt(index / 100);
    const moves = debt >= 1;
    if (moves) debt -= 1;
    return sample(index * 10, targetIn(moves ? to : from));
  });
}

const goodRecord: TargetRecord = {
  targetId: targetIn(from),
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

const good: RunEvidence = {
  catalog,
  samples: samplesWithShare(atS => Math.min(0.5, (atS / 8) * 0.15)),
  records: [goodRecord, {...goodRecord, runs: {k2: 1}}],
  move: {
    kind: 'route',
    id: 'move',
    serviceId: 'availability',
    callerRegionId: from,
    shares: [],
    maxMovedShare: 0.3,
    windowS: 8,
  },
  entryCount: 10,
  adoptionMs: 2000,
};

const refusedKey = sample(0, '', {kind: 'refused', idempotencyKey: 'k1', targetId: undefined});

const brokenCases: ReadonlyArray<readonly [string, Partial<RunEvidence>]> = [
  ['moved share stays under its cap', {samples: samplesWithShare(atS => (atS < 15 ? 0 : 0.5))}],
  ['no target is overloaded', {records: [{...goodRecord, peakInFlight: 4}]}],
  ['no target is overloaded', {records: [{...goodRecord, shed: 100}]}],
  ['every answer is whole and its own', {samples: [sample(0, 't', {whole: false})]}],
  ['not-run refusals are true', {samples: [...good.samples, refusedKey]}],
  ['operations run at most once', {records: [goodRecord, goodRecord]}],
  ['leaving targets get no new work', {records: [{...goodRecord, lastWorkAfterLeavingMs: 9000}]}],
  ['planned stops interrupt no request', {records: [{...goodRecord, cut: 1}]}],
  [
    'planned stops interrupt no request',
    {samples: [...good.samples, sample(0, '', {kind: 'unknown'})]},
  ],
  [
    'requests end by their deadline',
    {samples: [...good.samples, sample(0, '', {kind: 'unknown', timedOut: true})]},
  ],
  ['changes are in force everywhere', {adoptionMs: 16_000}],
];

describe('promiseChecks', () => {
  it('hold for a run that keeps all promises', () => {
    const broken = promiseChecks.map(check => check(good)).filter(check => !check.holds);
    expect(broken).toEqual([]);
  });

  // Guards against a demo that passes although a promise was broken.
  it.each(brokenCases)('find a broken promise: %s (%#)', (name, changes) => {
    const found = promiseChecks.map(check => check({...good, ...changes}));
    expect(found.find(check => check.name === name)?.holds).toBe(false);
  });
});
