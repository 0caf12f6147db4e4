import type {Configuration, ResultError, TrafficClass} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';
import {ManualTime} from '@cuminsill/utils';
import {
  makeConfiguration,
  makeMember,
  makeMembers,
  makeSteeringOptions,
  makeService,
  makeTargets,
} from '../__fixtures__/fleets';
import type {Assignment, AssignmentRequest} from '../src';
import {Steering} from '../src';

type Result = Assignment | ResultError;

const pagesService = makeService('pages');
const northTargets = makeTargets('pages', 'north', 2, 2);
const oneRegionConfiguration = makeConfiguration(['north'], [pagesService], northTargets);

function isAssignment(result: Result | undefined): result is Assignment {
  return result !== undefined && 'slotId' in result;
}

class Harness {
  readonly time = new ManualTime();
  readonly steering: Steering;

  constructor(
    configuration: Configuration = oneRegionConfiguration,
    members = makeMembers(['north'], 1),
  ) {
    this.steering = new Steering(makeSteeringOptions('north-e0', 'north'), this.time);
    this.steering.updateConfiguration(configuration);
    this.steering.updateMembers(members);
  }

  request(changes: Partial<AssignmentRequest> = {}): AssignmentRequest {
    return {
      serviceId: 'pages',
      callerRegionId: 'north',
      trafficClass: 'interactive',
      deadlineMs: this.time.monotonicMs() + 2000,
      excludedTargetIds: [],
      ...changes,
    };
  }

  /** Sends a request and returns the list of its results, which stays empty while the request waits. */
  assign(changes: Partial<AssignmentRequest> = {}): Result[] {
    const results: Result[] = [];
    this.steering.assign(this.request(changes), result => results.push(result));
    return results;
  }

  /** Sends requests and returns the assignments of those that get a slot at once; cancels the others. */
  acquireSlots(count: number): Assignment[] {
    const taken: Assignment[] = [];
    for (let index = 0; index < count; index += 1) {
      const cancel = this.steering.assign(this.request(), result => {
        if (isAssignment(result)) taken.push(result);
      });
      cancel();
    }
    return taken;
  }

  advance(durationMs: number): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      this.time.advance(50);
      this.steering.tick();
    }
  }
}

function codeOf(result: Result | undefined): number | undefined {
  return result !== undefined && 'result' in result ? result.result.code : undefined;
}

describe('Steering refuses requests and states the numbers', () => {
  test('without a configuration or a list of members', () => {
    const time = new ManualTime();
    const steering = new Steering(makeSteeringOptions('north-e0', 'north'), time);
    const results: Result[] = [];
    const request = new Harness().request();
    steering.assign(request, result => results.push(result));
    steering.updateConfiguration(oneRegionConfiguration);
    steering.assign(request, result => results.push(result));
    expect(results.map(codeOf)).toEqual([resultCodes.notReady.code, resultCodes.notReady.code]);
  });

  const cases: ReadonlyArray<{
    readonly name: string;
    readonly prepare?: (harness: Harness) => void;
    readonly request: Partial<AssignmentRequest>;
    readonly code: number;
    readonly detail: RegExp;
  }> = [
    {
      name: 'an unknown service',
      request: {serviceId: 'other'},
      code: resultCodes.unknownService.code,
      detail: /other is not in configuration version 1/,
    },
    {
      name: 'a deadline that has passed',
      request: {deadlineMs: 0},
      code: resultCodes.deadlineTooShort.code,
      detail: /4 slots held, 0 in flight/,
    },
    {
      name: 'a deadline that cannot be met because of the wait for a slot',
      prepare: harness => harness.acquireSlots(4),
      request: {deadlineMs: 1_700_000_000_000 + 110},
      code: resultCodes.deadlineTooShort.code,
      detail: /4 slots held, 4 in flight.*110 ms remain and 125 ms/,
    },
    {
      name: 'a full queue',
      prepare: harness => {
        harness.acquireSlots(4);
        for (let index = 0; index < 16; index += 1) harness.assign();
      },
      request: {},
      code: resultCodes.regionOverloaded.code,
      detail: /16 queued.*at most 16/,
    },
    {
      name: 'all targets have been tried before',
      request: {excludedTargetIds: northTargets.map(target => target.id)},
      code: resultCodes.noTarget.code,
      detail: /2 targets were tried/,
    },
    {
      name: 'all targets are leaving',
      prepare: harness => northTargets.forEach(target => harness.steering.markLeaving(target.id)),
      request: {},
      code: resultCodes.noTarget.code,
      detail: /none of them has a usable target/,
    },
  ];
  test.each(cases)('$name', ({prepare, request, code, detail}) => {
    const harness = new Harness();
    prepare?.(harness);
    const [result] = harness.assign(request);
    expect(codeOf(result)).toBe(code);
    expect((result as ResultError).detail).toMatch(detail);
  });
});

describe('Steering assigns slots', () => {
  test('no target gets more requests than it has slots', () => {
    const harness = new Harness();
    const counts = new Map<string, number>();
    for (const {target} of harness.acquireSlots(10)) {
      counts.set(target.id, (counts.get(target.id) ?? 0) + 1);
    }
    expect([...counts.values()]).toEqual([2, 2]);
  });

  test('a released slot goes to the most urgent waiting request', () => {
    const harness = new Harness();
    const [firstAssignment] = harness.acquireSlots(4);
    const order: TrafficClass[] = [];
    for (const trafficClass of ['batch', 'upload', 'interactive'] as const) {
      harness.steering.assign(harness.request({trafficClass}), result => {
        if (isAssignment(result)) order.push(trafficClass);
      });
    }
    harness.steering.release(firstAssignment as Assignment, 'answered', 100);
    expect(order).toEqual(['interactive']);
  });

  test('a full queue drops a batch request for an interactive one', () => {
    const harness = new Harness();
    harness.acquireSlots(4);
    const batch = Array.from({length: 16}, () => harness.assign({trafficClass: 'batch'}));
    const interactive = harness.assign();
    expect(interactive).toEqual([]);
    expect(batch.map(results => codeOf(results[0])).filter(code => code !== undefined)).toEqual([
      resultCodes.regionOverloaded.code,
    ]);
  });

  test('a cancelled wait is never answered', () => {
    const harness = new Harness();
    const [firstAssignment] = harness.acquireSlots(4);
    const results: Result[] = [];
    const cancel = harness.steering.assign(harness.request(), result => results.push(result));
    cancel();
    harness.steering.release(firstAssignment as Assignment, 'answered', 100);
    harness.advance(3000);
    expect(results).toEqual([]);
  });

  test('a waiting request is refused when it can no longer be answered before its deadline', () => {
    const harness = new Harness();
    harness.acquireSlots(4);
    const results = harness.assign({deadlineMs: harness.time.monotonicMs() + 500});
    harness.advance(450);
    expect(results.map(codeOf)).toEqual([resultCodes.deadlineTooShort.code]);
  });

  test('releasing twice frees the slot once', () => {
    const harness = new Harness();
    const [firstAssignment] = harness.acquireSlots(4);
    harness.steering.release(firstAssignment as Assignment, 'answered', 100);
    harness.steering.release(firstAssignment as Assignment, 'answered', 100);
    expect(harness.acquireSlots(4)).toHaveLength(1);
  });

  test.each([
    {name: 'leaves one slot in ten, rounded up, to other classes', otherClass: true, slots: 3},
    {name: 'uses all slots of a pool that no other class uses', otherClass: false, slots: 4},
  ])('batch $name', ({otherClass, slots}) => {
    const harness = new Harness();
    if (otherClass) {
      for (const used of harness.acquireSlots(1)) harness.steering.release(used, 'answered', 100);
    }
    const batch = Array.from({length: 4}, () => harness.assign({trafficClass: 'batch'})[0]);
    expect(batch.filter(isAssignment)).toHaveLength(slots);
    expect(isAssignment(harness.assign()[0])).toBe(otherClass);
  });

  test('a target that fails fast gets fewer requests than one that answers', () => {
    const harness = new Harness();
    const counts = new Map<string, number>();
    const failing = northTargets[0]?.id;
    for (let round = 0; round < 100; round += 1) {
      for (const assignment of harness.acquireSlots(4)) {
        const {id} = assignment.target;
        counts.set(id, (counts.get(id) ?? 0) + 1);
        harness.steering.release(assignment, id === failing ? 'failed' : 'answered', 100);
      }
      harness.advance(100);
    }
    expect(counts.get(failing ?? '') ?? 0).toBeLessThan(30);
    expect(counts.get(northTargets[1]?.id ?? '') ?? 0).toBeGreaterThan(150);
  });
});

describe('Steering follows the configuration', () => {
  test('an older configuration is ignored', () => {
    const harness = new Harness({...oneRegionConfiguration, version: 5});
    harness.steering.updateConfiguration(makeConfiguration([], [], [], {version: 4}));
    expect(isAssignment(harness.assign()[0])).toBe(true);
  });

  test('the targets of a drained site get no new requests', () => {
    const harness = new Harness();
    const held = harness.acquireSlots(1);
    harness.steering.updateConfiguration({
      ...oneRegionConfiguration,
      version: 2,
      intents: [
        {
          intent: {kind: 'drain', id: 'd', siteId: 'site-north-0'},
          version: 2,
          confirmedBy: 'operator',
          confirmedAtMs: 0,
          previousShares: [],
        },
      ],
    });
    for (const assignment of held) harness.steering.release(assignment, 'answered', 100);
    const targets = harness.acquireSlots(4).map(({target}) => target.id);
    expect(targets).toEqual(['pages-north-1', 'pages-north-1']);
  });

  test('a target that is new in the configuration starts with one slot', () => {
    const harness = new Harness(
      makeConfiguration(['north'], [pagesService], northTargets.slice(0, 1)),
    );
    harness.steering.updateConfiguration({...oneRegionConfiguration, version: 2});
    expect(harness.acquireSlots(9)).toHaveLength(3);
    harness.advance(2050);
    expect(harness.acquireSlots(9)).toHaveLength(1);
  });

  test('requests leave a region whose targets do not answer regardless of the cap', () => {
    const members = [makeMember('north-e0', 'north')];
    const targets = [
      ...makeTargets('pages', 'north', 2, 2),
      ...makeTargets('pages', 'south', 2, 2),
    ];
    const harness = new Harness(
      makeConfiguration(['north', 'south'], [pagesService], targets),
      members,
    );
    for (let round = 0; round < 40; round += 1) {
      const [result] = harness.assign();
      if (!isAssignment(result)) continue;
      const lost = result.target.regionId === 'north';
      harness.steering.release(result, lost ? 'connect-failed' : 'answered', lost ? 1 : 100);
      harness.advance(150);
    }
    const late = Array.from({length: 8}, () => harness.assign()[0]).filter(isAssignment);
    const south = late.filter(({target, overflow}) => target.regionId === 'south' && overflow);
    expect(south).toHaveLength(4);
  });
});
