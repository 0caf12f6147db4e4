import fc from 'fast-check';
import type {Configuration, Intent, Plan} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import {applyChange, decideConfirmation, makePlan, verifyPlan} from '@cuminsill/planner';
import {
  drain,
  noLoads,
  route,
  sampleConfiguration,
  signingKey,
  startMs,
} from '../__fixtures__/sample_configuration';

function plan(intent: Intent, configuration = sampleConfiguration()): Plan {
  return makePlan(configuration, {action: 'put', intent}, noLoads, startMs, signingKey);
}

/** Confirms like the control daemon does: an accepted change is applied and its digest kept. */
class Operator {
  readonly digests = new Set<string>();
  constructor(public configuration: Configuration) {}

  confirm(made: Plan): string {
    const decision = decideConfirmation(made, this.configuration, this.digests);
    if (decision === 'repeated') return 'repeated';
    if (decision instanceof ResultError) return decision.result.name;
    const change = {...decision, author: 'ana', acceptedAtMs: startMs};
    this.configuration = applyChange(this.configuration, change);
    this.digests.add(change.planDigest);
    return 'appended';
  }
}

describe('decideConfirmation', () => {
  const move = plan(route({litoral: 1}));
  const other = plan(drain('este-a'));
  const unsafe = plan(drain('este-a'), sampleConfiguration(120));
  // Guards against a change that is made twice, lost in a race or made against a promise.
  test.each<readonly [string, readonly Plan[], readonly string[], number]>([
    ['once', [move], ['appended'], 5],
    ['twice equals once', [move, move, move], ['appended', 'repeated', 'repeated'], 5],
    ['two racing plans', [move, other], ['appended', 'plan-conflict'], 5],
    ['the same in the other order', [other, move], ['appended', 'plan-conflict'], 5],
    ['unsafe', [unsafe], ['plan-unsafe'], 4],
    ['repeated after others', [move, other, move], ['appended', 'plan-conflict', 'repeated'], 5],
  ])('%s', (_name, plans, expected, version) => {
    const operator = new Operator(sampleConfiguration());
    expect(plans.map(made => operator.confirm(made))).toEqual(expected);
    expect(operator.configuration.version).toBe(version);
  });

  // Guards against a refusal that does not say what to do about it.
  test('refusals carry the figures', () => {
    const refused = decideConfirmation(unsafe, sampleConfiguration(), new Set());
    expect(refused).toMatchObject({
      result: resultCodes.planUnsafe,
      detail: expect.stringMatching(/100\.0 requests\/s.*What would help/),
    });
  });

  // Guards against two confirmed changes from one version, whatever the order of confirmations.
  test('of plans made from one version at most one is confirmed', () => {
    const plans = [move, other, plan(route({este: 1})), plan(drain('litoral-b'))];
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...plans), {minLength: 1}), order => {
        const operator = new Operator(sampleConfiguration());
        const results = order.map(made => operator.confirm(made));
        expect(results.filter(result => result === 'appended')).toHaveLength(1);
        const repeats = order.slice(1).filter(made => made === order[0]).length;
        expect(results.filter(result => result === 'repeated')).toHaveLength(repeats);
      }),
      {seed: 7, numRuns: 200},
    );
  });
});

describe('verifyPlan', () => {
  const made = plan(drain('este-a'), sampleConfiguration(120));

  // Guards against plans that are refused because another instance or a JSON library reordered fields.
  test('accepts the plan after a JSON round trip with reordered fields', () => {
    const reordered = Object.fromEntries(Object.entries(made).reverse());
    expect(verifyPlan(JSON.parse(JSON.stringify(reordered)) as Plan, signingKey)).toBe(true);
  });

  // Guards against an operator or an attacker who edits a plan, for example its risks, before confirming it.
  test.each<readonly [string, Partial<Plan>]>([
    ['risks', {risks: []}],
    ['version', {configVersion: 5}],
    ['change', {change: {kind: 'remove-intent', intentId: 'r1'}}],
    ['digest', {digest: 'A'.repeat(43)}],
    ['signature', {signature: ''}],
    ['signature type', {signature: undefined}],
  ])('refuses a changed plan: %s', (_name, changed) => {
    expect(verifyPlan({...made, ...changed}, signingKey)).toBe(false);
  });

  // Guards against a request body that ends the handler with a TypeError.
  test.each([null, undefined, 'plan', 7, [], {}])('refuses %j', body => {
    expect(verifyPlan(body as unknown as Plan, signingKey)).toBe(false);
  });

  test('refuses a plan of another deployment', () => {
    expect(verifyPlan(made, 'another-key')).toBe(false);
  });

  // Guards against parts of the plan that the signature does not cover.
  test('refuses any change of one character', () => {
    const text = JSON.stringify(made);
    fc.assert(
      fc.property(fc.nat(text.length - 1), fc.constantFrom('0', '7', 'x', 'Z'), (at, character) => {
        if (text[at] === character) return;
        const edited = text.slice(0, at) + character + text.slice(at + 1);
        let parsed: Plan;
        try {
          parsed = JSON.parse(edited) as Plan;
        } catch {
          return;
        }
        // An edit behind the last digit that a number can hold gives the same number.
        if (JSON.stringify(parsed) === text) return;
        expect(verifyPlan(parsed, signingKey)).toBe(false);
      }),
      {seed: 11, numRuns: 1000},
    );
  });
});
