import fc from 'fast-check';
import type {Configuration, Intent, Plan, PlanRequest} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import {makePlan, movedShare} from '@cuminsill/planner';
import type {LiveLoads} from '@cuminsill/planner';
import {
  drainIntent,
  noLiveLoads,
  routeIntent,
  sampleConfiguration,
  signingKey,
  nowMs,
  withIntents,
} from '../__fixtures__/sample_configuration';

function planFor(
  request: PlanRequest | Intent,
  configuration = sampleConfiguration(),
  live: LiveLoads = noLiveLoads,
): Plan {
  const planRequest = 'action' in request ? request : ({action: 'put', intent: request} as const);
  return makePlan(configuration, planRequest, live, nowMs, signingKey);
}

function risksOf({risks}: Plan, severity: string): string {
  return risks.flatMap(risk => (risk.severity === severity ? [risk.text] : [])).join('\n');
}

function headroomOf(plan: Plan, regionId: string) {
  return plan.headroom.find(row => row.serviceId === 'proofs' && row.regionId === regionId);
}

describe('makePlan rejects invalid intents', () => {
  const sample = sampleConfiguration();
  const withoutTargetsInEste: Configuration = {
    ...sample,
    catalog: {
      ...sample.catalog,
      targets: sample.catalog.targets.filter(target => target.regionId !== 'este'),
    },
  };
  const localShares = {montevideo: 1};
  const cases: ReadonlyArray<{
    readonly intent: Intent;
    readonly expected: RegExp;
    readonly configuration?: Configuration;
  }> = [
    {
      intent: routeIntent(localShares, {serviceId: 'prooofs'}),
      expected: /serviceId: found "prooofs"; .*one of photos, proofs/,
    },
    {
      intent: routeIntent(localShares, {callerRegionId: 'sur'}),
      expected: /callerRegionId: found "sur"; .*este, litoral, mon/,
    },
    {
      intent: routeIntent({montevideo: 0.5, sur: 0.5}),
      expected: /shares\[1\].regionId: found "sur"; .*este, litoral/,
    },
    {
      intent: routeIntent({este: 1}),
      expected: /"este"; the region has no targets for service "proofs".*lito/,
      configuration: withoutTargetsInEste,
    },
    {
      intent: drainIntent('este-c'),
      expected: /siteId: found "este-c"; there is no such site.*este-a, este-b, lito/,
    },
    {intent: {kind: 'stop', id: 's', siteId: 'x'}, expected: /siteId: found "x"/},
    {
      intent: routeIntent({montevideo: 0.5}),
      expected: /shares: found a sum of 0.5; give shares .* add up to 1/,
    },
    {
      intent: routeIntent(localShares, {maxMovedShare: 0}),
      expected: /maxMovedShare: found 0; give a number above 0/,
    },
    {
      intent: routeIntent(localShares, {windowS: NaN}),
      expected: /windowS: found NaN; give a number of seconds/,
    },
  ];

  // Guards against plans that route traffic to missing targets, and errors without field, value or fix.
  test.each(cases)('$intent', ({intent, expected, configuration = sample}) => {
    let thrown: unknown;
    try {
      planFor(intent, configuration);
    } catch (error) {
      thrown = error;
    }
    expect(thrown).toBeInstanceOf(ResultError);
    expect((thrown as ResultError).result).toBe(resultCodes.invalidIntent);
    expect((thrown as ResultError).detail).toMatch(expected);
  });
});

describe('makePlan', () => {
  // Guards against wrong values for a simple move of traffic.
  test('a route shows shares, steps, duration and headroom', () => {
    const plan = planFor(routeIntent({montevideo: 0.6, litoral: 0.4}));
    expect(plan.shareChanges).toEqual([
      expect.objectContaining({
        callerRegionId: 'montevideo',
        before: [{regionId: 'montevideo', share: 1}],
        movedShare: expect.closeTo(0.4, 9),
      }),
    ]);
    expect(plan.change).toMatchObject({previousShares: [{regionId: 'montevideo', share: 1}]});
    expect(plan.steps.map(step => Math.round(step.afterS))).toEqual([30, 60, 90, 120]);
    expect(plan.expectedDurationS).toBeCloseTo(120, 6);
    expect(headroomOf(plan, 'montevideo')).toMatchObject({
      capacityRequestsPerS: 200,
      beforeRequestsPerS: 100,
      afterRequestsPerS: expect.closeTo(60, 9),
    });
    expect(headroomOf(plan, 'litoral')).toMatchObject({
      afterRequestsPerS: expect.closeTo(140, 9),
      headroomShare: expect.closeTo(0.3, 9),
    });
    expect(plan.risks).toEqual([]);
  });

  // Guards against drains that overload the rest of a region or leave a service without targets.
  test.each([
    ['fits', drainIntent('este-a'), sampleConfiguration(80), /^$/],
    [
      'overloads',
      drainIntent('este-a'),
      sampleConfiguration(120),
      /este would carry 120.0 req.*100.0 r/,
    ],
    [
      'suggests a remedy',
      {kind: 'stop', id: 's', siteId: 'este-a'} as const,
      sampleConfiguration(120),
      /What would help: add capacity for 20.0 .*move 20.0 .*would have 80.0 requests\/s free/,
    ],
    [
      'removes a region and overloads the others',
      drainIntent('este-b'),
      withIntents(sampleConfiguration(120), [drainIntent('este-a')]),
      /Region montevideo would carry 240.0 requests\/s of service photos/,
    ],
    [
      'leaves no target in any region',
      drainIntent('este-b'),
      withIntents(
        sampleConfiguration(1),
        ['este-a', 'litoral-a', 'litoral-b', 'montevideo-a', 'montevideo-b'].map(s =>
          drainIntent(s),
        ),
      ),
      /Service proofs would have no target left in any region: 0 of 2 targets/,
    ],
  ])('drain: %s', (_name, intent, configuration, blocking) => {
    expect(risksOf(planFor(intent, configuration), 'blocking')).toMatch(blocking);
  });

  // Guards against an overload that cannot be relieved because every plan is blocked.
  test('a plan that relieves an overload does not block', () => {
    const plan = planFor(
      routeIntent({montevideo: 0.9, litoral: 0.1}, {serviceId: 'proofs'}),
      sampleConfiguration(),
      {
        loads: [
          {serviceId: 'proofs', regionId: 'montevideo', requestsPerS: 250, measuredAtMs: nowMs},
        ],
        coldTargetIds: [],
      },
    );
    expect(headroomOf(plan, 'montevideo')).toMatchObject({
      beforeRequestsPerS: 250,
      afterRequestsPerS: expect.closeTo(225, 9),
    });
    expect(risksOf(plan, 'blocking')).toBe('');
    expect(risksOf(plan, 'warning')).toMatch(/carry 225.0.*does not raise this/);
  });

  const measuredLoad = {serviceId: 'proofs', regionId: 'litoral', requestsPerS: 150};
  const moveIntent = routeIntent({montevideo: 0.6, litoral: 0.4});
  const moving = withIntents(sampleConfiguration(), [routeIntent({litoral: 1})], nowMs - 30_000);
  const warnings: ReadonlyArray<readonly [string, Plan, RegExp]> = [
    [
      'low headroom',
      planFor(moveIntent, undefined, {
        loads: [{...measuredLoad, measuredAtMs: nowMs}],
        coldTargetIds: [],
      }),
      /litoral would have 5.0% headroom for service proofs, below 15.0%: 190.0/,
    ],
    [
      'stale load',
      planFor(moveIntent, undefined, {
        loads: [{...measuredLoad, measuredAtMs: nowMs - 10_001}],
        coldTargetIds: [],
      }),
      /service proofs in litoral, 150.0 requests\/s, is 10 s old/,
    ],
    [
      'cold targets',
      planFor(moveIntent, undefined, {loads: [], coldTargetIds: ['proofs-litoral-2']}),
      /1 of 4 targets of service proofs in litoral are cold/,
    ],
    [
      'cold targets take over load within a region',
      planFor(drainIntent('litoral-a'), sampleConfiguration(50), {
        loads: [],
        coldTargetIds: ['proofs-litoral-2'],
      }),
      /1 of 2 targets of service proofs in litoral are cold/,
    ],
    [
      'targets return from a drain',
      planFor(
        {action: 'remove', intentId: 'drain-este-a'},
        withIntents(sampleConfiguration(10), [drainIntent('este-a')]),
      ),
      /2 of 4 targets of service photos in este are cold/,
    ],
    [
      'two moves overlap',
      planFor(routeIntent({este: 1}, {id: 'r2'}), moving),
      /callers in montevideo \(intent r1\) is not finished; the two moves overlap/,
    ],
    [
      'region is lost at once',
      planFor(drainIntent('este-b'), withIntents(sampleConfiguration(10), [drainIntent('este-a')])),
      /Callers in este lose a region of service photos: 100.0% .* at once/,
    ],
  ];

  // Guards against risks that the operator is not warned about.
  test.each(warnings)('warns: %s', (_name, plan, expected) => {
    expect(risksOf(plan, 'warning')).toMatch(expected);
    expect(risksOf(plan, 'blocking')).toBe('');
  });

  // Guards against a move that starts from shares that are not in force yet.
  test('a move starts from the scheduled position of the move in progress', () => {
    const plan = planFor(routeIntent({este: 1}, {id: 'r2'}), moving);
    const [first] = plan.shareChanges;
    expect(first?.before).toEqual([
      {regionId: 'montevideo', share: expect.closeTo(0.9, 9)},
      {regionId: 'litoral', share: expect.closeTo(0.1, 9)},
    ]);
  });

  const drained = withIntents(sampleConfiguration(), [
    drainIntent('este-a'),
    drainIntent('este-a', 'again'),
  ]);
  const withRoute = withIntents(sampleConfiguration(), [routeIntent({litoral: 1})]);
  // Guards against plans without effect that look as if they had one.
  test.each<readonly [PlanRequest, Configuration, RegExp]>([
    [{action: 'put', intent: drainIntent('este-a', 'third')}, drained, /este-a is drained already/],
    [{action: 'remove', intentId: 'again'}, drained, /another intent keeps site este-a drained/],
    [{action: 'remove', intentId: 'nothing'}, drained, /no intent "nothing" is in force/],
    [{action: 'put', intent: routeIntent({litoral: 1})}, withRoute, /same shares and cap/],
  ])('says that nothing changes: %j', (request, configuration, expected) => {
    const plan = planFor(request, configuration);
    expect(plan.risks).toEqual([{severity: 'warning', text: expect.stringMatching(expected)}]);
    expect([plan.shareChanges, plan.steps, plan.expectedDurationS]).toEqual([[], [], 0]);
  });
});

const siteIds = ['este-a', 'este-b', 'litoral-a', 'litoral-b', 'montevideo-a', 'montevideo-b'];
const regionIds = ['este', 'litoral', 'montevideo'];
const anyIntent: fc.Arbitrary<Intent> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('drain' as const, 'stop' as const),
    id: fc.constantFrom('i1', 'i2', 'i3'),
    siteId: fc.constantFrom(...siteIds),
  }),
  fc
    .record({
      id: fc.constantFrom('i1', 'i2', 'i3'),
      callerRegionId: fc.constantFrom(...regionIds),
      maxMovedShare: fc.integer({min: 1, max: 1000}).map(n => n / 1000),
      windowS: fc.integer({min: 1, max: 600}),
      weights: fc.tuple(fc.nat(9), fc.nat(9), fc.integer({min: 1, max: 9})),
    })
    .map(({weights, ...other}) => {
      const sum = weights.reduce((a, b) => a + b);
      const shares = Object.fromEntries(regionIds.map((id, n) => [id, weights[n]! / sum]));
      return routeIntent(shares, other);
    }),
);
const anyRequest: fc.Arbitrary<PlanRequest> = fc.oneof(
  anyIntent.map(intent => ({action: 'put', intent}) as const),
  fc.constantFrom('i1', 'i2').map(intentId => ({action: 'remove', intentId}) as const),
);
const anyConfiguration = fc
  .record({
    intents: fc.array(anyIntent, {maxLength: 4}),
    ageS: fc.integer({min: 0, max: 2000}),
    rate: fc.integer({min: 0, max: 250}),
  })
  .map(({intents, ageS, rate}) =>
    withIntents(sampleConfiguration(rate), intents, nowMs - ageS * 1000),
  );
const propertyOptions = {seed: 20261203, numRuns: 200};

function deepFreeze<T>(value: T): T {
  if (typeof value === 'object' && value !== null) {
    Object.values(value).forEach(deepFreeze);
    Object.freeze(value);
  }
  return value;
}

describe('properties of plans', () => {
  // Guards against a plan that changes the configuration it was made from.
  test('making a plan never mutates its input', () => {
    fc.assert(
      fc.property(anyConfiguration, anyRequest, (configuration, request) => {
        const copy = structuredClone(configuration);
        planFor(deepFreeze(request), deepFreeze(configuration));
        expect(configuration).toEqual(copy);
      }),
      propertyOptions,
    );
  });

  // Guards against steps that exceed the cap or do not end at the final shares.
  test('steps move at most the cap in any window', () => {
    fc.assert(
      fc.property(anyConfiguration, anyRequest, (configuration, request) => {
        const plan = planFor(request, configuration);
        for (const change of plan.shareChanges) {
          const steps = plan.steps.filter(
            step =>
              step.serviceId === change.serviceId && step.callerRegionId === change.callerRegionId,
          );
          if (steps.length === 0) continue;
          const caps = capsAfter(configuration, request, change.callerRegionId, change.serviceId);
          const points = [{afterS: 0, shares: change.before}, ...steps];
          for (const cap of caps) {
            points.forEach((from, n) =>
              points.slice(n + 1).forEach(to => {
                const windows = Math.ceil((to.afterS - from.afterS) / cap.windowS - 1e-9);
                const moved = movedShare(from.shares, to.shares);
                expect(moved).toBeLessThanOrEqual(windows * cap.maxMovedShare + 1e-9);
              }),
            );
          }
          expect(movedShare(steps.at(-1)!.shares, change.after)).toBeLessThan(1e-9);
        }
      }),
      propertyOptions,
    );
  });

  // Guards against load that appears or disappears in the forecast.
  test('the load after a plan equals the load before, unless no target is left', () => {
    fc.assert(
      fc.property(anyConfiguration, anyRequest, (configuration, request) => {
        const plan = planFor(request, configuration);
        for (const serviceId of new Set(plan.headroom.map(row => row.serviceId))) {
          const rows = plan.headroom.filter(row => row.serviceId === serviceId);
          if (rows.every(row => row.capacityRequestsPerS === 0)) continue;
          const demands = configuration.catalog.demands.filter(d => d.serviceId === serviceId);
          const demand = demands.reduce((sum, entry) => sum + entry.requestsPerS, 0);
          const after = rows.reduce((sum, row) => sum + row.afterRequestsPerS, 0);
          expect(after).toBeCloseTo(demand, 6);
        }
      }),
      propertyOptions,
    );
  });
});

function capsAfter(
  configuration: Configuration,
  request: PlanRequest,
  callerRegionId: string,
  serviceId: string,
) {
  const changedId = request.action === 'put' ? request.intent.id : request.intentId;
  const kept = configuration.intents
    .map(entry => entry.intent)
    .filter(intent => intent.id !== changedId);
  const intents = request.action === 'put' ? [...kept, request.intent] : kept;
  const caps = intents.flatMap(intent =>
    intent.kind === 'route' &&
    intent.serviceId === serviceId &&
    intent.callerRegionId === callerRegionId
      ? [intent]
      : [],
  );
  return caps.length > 0 ? caps : [{maxMovedShare: 0.25, windowS: 60}];
}
