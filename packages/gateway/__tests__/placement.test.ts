import {targetRecord, testRegions} from '../__fixtures__/test_records';
import type {TargetRecord} from '../src/gateway_types';
import {RegionalShare} from '../src/regional_shares';
import {RoundTripTimes} from '../src/targets/round_trip_times';
import type {PlacementRequest, PlacementView} from '../src/targets/placement';
import {placeRequest} from '../src/targets/placement';
import {ServiceTimeEstimator} from '../src/targets/service_time_estimator';
import {Target} from '../src/targets/target';

const nowMs = 10_000;

function target(id: string, changes: Partial<TargetRecord> = {}): Target {
  const record = targetRecord({id, ...changes});
  return new Target(record, testRegions.get(record.failureDomain) ?? '', nowMs);
}

const request: PlacementRequest = {
  objectKey: '17',
  homeRegions: [],
  bodyBytes: 0,
  attemptedTargetIds: new Set(),
  latencyObjectiveMs: 400,
};

function view(changes: Partial<PlacementView> = {}): PlacementView {
  return {
    nowMs,
    ownName: 'g-1',
    ownRegion: 'a',
    ownCallerFraction: 0.5,
    gatewayNames: ['g-1'],
    senderNames: ['g-1'],
    evacuatedDomains: new Set(),
    coldLimit: {requestsPerS: 16},
    serviceTime: new ServiceTimeEstimator(),
    roundTripTimes: new RoundTripTimes('a-1', testRegions),
    regionalShare: new RegionalShare(),
    ...changes,
  };
}

interface UsabilityCase {
  readonly name: string;
  readonly make: () => Target;
  readonly request?: Partial<PlacementRequest>;
  readonly view?: Partial<PlacementView>;
  readonly usable: boolean;
}

const usabilityCases: readonly UsabilityCase[] = [
  {name: 'a target that is ready', make: () => target('t'), usable: true},
  {name: 'one that is draining', make: () => target('t', {draining: true}), usable: false},
  {
    name: 'one that was removed',
    make: () => {
      const gone = target('t');
      gone.markRemoved();
      return gone;
    },
    usable: false,
  },
  {
    name: 'one that is unreachable',
    make: () => {
      const down = target('t');
      down.health.onConnectFailure(nowMs);
      return down;
    },
    usable: false,
  },
  {
    name: 'one that an earlier attempt went to',
    make: () => target('t'),
    request: {attemptedTargetIds: new Set(['t'])},
    usable: false,
  },
  {
    name: 'one in an evacuated failure domain',
    make: () => target('t', {failureDomain: 'a-2'}),
    view: {evacuatedDomains: new Set(['a-2'])},
    usable: false,
  },
  {
    name: 'one outside the home regions',
    make: () => target('t', {failureDomain: 'b-1'}),
    request: {homeRegions: ['a']},
    usable: false,
  },
  {
    name: 'one in a home region that is another region',
    make: () => target('t', {failureDomain: 'b-1'}),
    request: {homeRegions: ['b']},
    usable: true,
  },
  {name: 'a cold one', make: () => target('t', {coldForMs: 3_000}), usable: true},
  {
    name: 'a cold one that got a request just now',
    make: () => {
      const cold = target('t', {coldForMs: 3_000});
      cold.coldLimiter.recordSend(nowMs - 500);
      return cold;
    },
    usable: false,
  },
  {
    name: 'one that was cold until now',
    make: () => {
      const warm = new Target(targetRecord({id: 't', coldForMs: 3_000}), 'a', nowMs - 3_000);
      warm.coldLimiter.recordSend(nowMs - 500);
      return warm;
    },
    usable: true,
  },
];

describe('placeRequest', () => {
  /** Guards against requests to targets that are draining, cold, evacuated, or outside the home regions. */
  test.each(usabilityCases)('$name: usable $usable', ({make, usable, ...changes}) => {
    const placed = placeRequest({...request, ...changes.request}, [make()], view(changes.view));
    expect(placed !== undefined).toBe(usable);
  });

  /**
   * Guards against requests to targets that left during an outage of the store, and against an outage that empties a
   * service.
   */
  test.each([
    ['few entries are missing', 1, false],
    ['most entries are missing', 3, true],
  ])('when %s, their targets are used: %s of 4, %s', (_name, missing, used) => {
    const targets = ['t-1', 't-2', 't-3', 't-4'].map(id => target(id));
    for (const unlisted of targets.slice(0, missing)) unlisted.deferRemoval();
    const placed = ['1', '2', '3', '4', '5', '6', '7', '8', '9'].map(
      objectKey => placeRequest({...request, objectKey}, targets, view())?.target.isRemovalDeferred,
    );
    expect(placed.includes(true)).toBe(used);
  });

  test('an object keeps its preferred target while that has free slots', () => {
    const targets = ['t-1', 't-2', 't-3', 't-4'].map(id => target(id));
    const preferred = placeRequest(request, targets, view())?.target;
    for (let sent = 0; sent < 3; sent += 1) preferred?.load.recordStart();
    expect(placeRequest(request, targets, view())?.target).toBe(preferred);
    expect(placeRequest(request, [...targets].reverse(), view())?.target).toBe(preferred);
  });

  /** Guards against gateways that make several targets cache the same object. */
  test('all gateways of a region choose the same preferred target', () => {
    const ids = ['t-1', 't-2', 't-3', 't-4'];
    const choices = ['g-1', 'g-2', 'g-3'].map(ownName => {
      const targets = ids.map(id => target(id));
      return placeRequest(request, targets, view({ownName}))?.target.id;
    });
    expect(new Set(choices).size).toBe(1);
  });

  test('a request leaves a full preferred target for one with free slots', () => {
    const targets = ['t-1', 't-2', 't-3'].map(id => target(id));
    const preferred = placeRequest(request, targets, view())?.target;
    for (let sent = 0; sent < 40; sent += 1) preferred?.load.recordStart();
    const second = placeRequest(request, targets, view());
    expect(second?.target).not.toBe(preferred);
    expect(second?.waitMs).toBe(0);
  });

  /** Guards against slow or failing targets that keep their objects while other targets are healthy. */
  test.each([
    ['slow', (bad: Target) => bad.health.onCancel(nowMs, 30)],
    ['failing', (bad: Target) => [1, 2, 3, 4, 5].forEach(() => bad.health.onFailure(nowMs))],
  ])('a request leaves a %s preferred target', (_name, degrade) => {
    const targets = ['t-1', 't-2', 't-3'].map(id => target(id));
    const preferred = placeRequest(request, targets, view())?.target;
    if (preferred !== undefined) degrade(preferred);
    expect(placeRequest(request, targets, view())?.target).not.toBe(preferred);
  });

  test('a large body stays in the region although the preferred target of its object is elsewhere', () => {
    const targets = [
      target('near', {slots: 1}),
      ...['f-1', 'f-2', 'f-3'].map(id => target(id, {failureDomain: 'b-1', slots: 5_000})),
    ];
    const regionOf = (bodyBytes: number) =>
      ['1', '2', '3', '4', '5', '6'].map(
        objectKey =>
          placeRequest({...request, objectKey, bodyBytes}, targets, view())?.target.region,
      );
    expect(regionOf(60_000)).toEqual(['a', 'a', 'a', 'a', 'a', 'a']);
    expect(regionOf(0)).toEqual(['b', 'b', 'b', 'b', 'b', 'b']);
  });
});
