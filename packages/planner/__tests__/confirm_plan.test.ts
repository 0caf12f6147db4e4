import fc from 'fast-check';
import type {Configuration, Intent, Plan} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import {applyChange, decideConfirmation, makePlan, verifyPlan} from '@cuminsill/planner';
import {
  drainIntent,
  noLiveLoads,
  routeIntent,
  sampleConfiguration,
  signingKey,
  nowMs,
} from '../__fixtures__/sample_configuration';

function planFor(intent: Intent, configuration = sampleConfiguration()): Plan {
  return makePlan(configuration, {action: 'put', intent}, noLiveLoads, nowMs, signingKey);
}

/** Handles confirmations as the control process does: applies an accepted change and records its digest. */
class ControlProcess {
  readonly digests = new Set<string>();
  constructor(public configuration: Configuration) {}

  confirm(plan: Plan): string {
    const decision = decideConfirmation(plan, this.configuration, this.digests);
    if (decision === 'repeated') return 'repeated';
    if (decision instanceof ResultError) return decision.result.name;
    const change = {...decision, author: 'ana', acceptedAtMs: nowMs};
    this.configuration = applyChange(this.configuration, change);
    this.digests.add(change.planDigest);
    return 'appended';
  }
}

describe('decideConfirmation', () => {
  const movePlan = planFor(routeIntent({litoral: 1}));
  const drainPlan = planFor(drainIntent('este-a'));
  const unsafePlan = planFor(drainIntent('este-a'), sampleConfiguration(120));
  // Guards against changes that are applied twice, overwrite a concurrent change or are unsafe.
  test.each<readonly [string, readonly Plan[], readonly string[], number]>([
    ['confirmed once', [movePlan], ['appended'], 5],
    [
      'confirmed again without effect',
      [movePlan, movePlan, movePlan],
      ['appended', 'repeated', 'repeated'],
      5,
    ],
    ['two concurrent plans', [movePlan, drainPlan], ['appended', 'plan-conflict'], 5],
    [
      'two concurrent plans in the other order',
      [drainPlan, movePlan],
      ['appended', 'plan-conflict'],
      5,
    ],
    ['an unsafe plan', [unsafePlan], ['plan-unsafe'], 4],
    [
      'confirmed again after another plan',
      [movePlan, drainPlan, movePlan],
      ['appended', 'plan-conflict', 'repeated'],
      5,
    ],
  ])('%s', (_name, plans, expected, version) => {
    const control = new ControlProcess(sampleConfiguration());
    expect(plans.map(plan => control.confirm(plan))).toEqual(expected);
    expect(control.configuration.version).toBe(version);
  });

  // Guards against refusals that do not say how to resolve them.
  test('refusals include the load and a remedy', () => {
    const refusal = decideConfirmation(unsafePlan, sampleConfiguration(), new Set());
    expect(refusal).toMatchObject({
      result: resultCodes.planUnsafe,
      detail: expect.stringMatching(/100\.0 requests\/s.*What would help/),
    });
  });

  // Guards against two changes made from the same version, in any order of confirmations.
  test('of plans made from one version at most one is confirmed', () => {
    const plans = [
      movePlan,
      drainPlan,
      planFor(routeIntent({este: 1})),
      planFor(drainIntent('litoral-b')),
    ];
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...plans), {minLength: 1}), order => {
        const control = new ControlProcess(sampleConfiguration());
        const results = order.map(plan => control.confirm(plan));
        expect(results.filter(result => result === 'appended')).toHaveLength(1);
        const repeats = order.slice(1).filter(plan => plan === order[0]).length;
        expect(results.filter(result => result === 'repeated')).toHaveLength(repeats);
      }),
      {seed: 7, numRuns: 200},
    );
  });
});

describe('verifyPlan', () => {
  const signedPlan = planFor(drainIntent('este-a'), sampleConfiguration(120));

  // Guards against valid plans that fail verification because an instance or a JSON library reordered fields.
  test('accepts the plan after a JSON round trip with reordered fields', () => {
    const reordered = Object.fromEntries(Object.entries(signedPlan).reverse());
    expect(verifyPlan(JSON.parse(JSON.stringify(reordered)) as Plan, signingKey)).toBe(true);
  });

  // Guards against an operator or attacker who edits a plan, for example its risks, before confirming it.
  test.each<readonly [string, Partial<Plan>]>([
    ['risks', {risks: []}],
    ['version', {configVersion: 5}],
    ['change', {change: {kind: 'remove-intent', intentId: 'r1'}}],
    ['digest', {digest: 'A'.repeat(43)}],
    ['signature', {signature: ''}],
    ['signature type', {signature: undefined}],
  ])('rejects a modified plan: %s', (_name, modifiedFields) => {
    expect(verifyPlan({...signedPlan, ...modifiedFields}, signingKey)).toBe(false);
  });

  // Guards against request bodies that make the handler throw a TypeError.
  test.each([null, undefined, 'plan', 7, [], {}])('rejects %j', body => {
    expect(verifyPlan(body as unknown as Plan, signingKey)).toBe(false);
  });

  test('rejects a plan of another deployment', () => {
    expect(verifyPlan(signedPlan, 'another-key')).toBe(false);
  });

  // Guards against parts of the plan that the signature does not cover.
  test('rejects a plan with any one character changed', () => {
    const text = JSON.stringify(signedPlan);
    fc.assert(
      fc.property(
        fc.nat(text.length - 1),
        fc.constantFrom('0', '7', 'x', 'Z'),
        (position, character) => {
          if (text[position] === character) return;
          const edited = text.slice(0, position) + character + text.slice(position + 1);
          let parsed: Plan;
          try {
            parsed = JSON.parse(edited) as Plan;
          } catch {
            return;
          }
          // An edit beyond the precision of a number gives the same number.
          if (JSON.stringify(parsed) === text) return;
          expect(verifyPlan(parsed, signingKey)).toBe(false);
        },
      ),
      {seed: 11, numRuns: 1000},
    );
  });
});
