import type {PlanContent} from '@cuminsill/planner';
import {appendRefusalToken, signPlan} from '@cuminsill/planner';
import type {Plan} from '@cuminsill/types';
import {catalog, ControlFixture, peerKey, tokens} from '../__fixtures__/control_fixture';

const control = new ControlFixture();
const maxOperatorBodyBytes = 20_000;

const intent = {
  kind: 'route',
  id: 'move',
  serviceId: 'reads',
  callerRegionId: 'north',
  shares: [
    {regionId: 'north', share: 0.9},
    {regionId: 'south', share: 0.1},
  ],
  maxMovedShare: 0.1,
  windowS: 60,
} as const;

beforeAll(async () => {
  await control.start({maxOperatorBodyBytes});
  await control.confirm(await control.plan({action: 'put-catalog', catalog}));
});

afterAll(() => control.stop());

const operations = [
  ['POST', '/v1/plans', {action: 'put', intent}, 'operator'],
  ['POST', '/v1/plans/confirm', {}, 'operator'],
  ['GET', '/v1/intents', undefined, 'viewer'],
  ['GET', '/v1/intents/move', undefined, 'viewer'],
  ['GET', '/v1/status', undefined, 'viewer'],
  ['GET', '/v1/explain/x', undefined, 'viewer'],
] as const;

/** A plan before it was signed. */
function unsigned(plan: Plan): PlanContent {
  return Object.fromEntries(
    Object.entries(plan).filter(([name]) => name !== 'digest' && name !== 'signature'),
  ) as unknown as PlanContent;
}

describe('authentication', () => {
  // Guards against operations that anybody may use.
  it.each(operations)('%s %s needs a token that is known', async (method, path, body) => {
    for (const token of [undefined, '', 'wrong', tokens.operator.slice(1), `${tokens.operator}x`]) {
      const answer = await control.ask({method, path, body, token});
      expect([answer.status, answer.body.code]).toEqual([401, 4001]);
    }
  });

  // Guards against viewers that change the configuration, and against operators that cannot read.
  it.each(operations)('%s %s checks the role', async (method, path, body, role) => {
    const viewer = await control.ask({method, path, body, token: tokens.viewer});
    const operator = await control.ask({method, path, body, token: tokens.operator});
    if (role === 'operator') expect([viewer.status, viewer.body.code]).toEqual([403, 4002]);
    else expect(viewer.body.code).not.toBe(4002);
    expect([4001, 4002]).not.toContain(operator.body.code);
  });

  it('lets nobody in without configured tokens', async () => {
    const closed = new ControlFixture();
    await closed.start({operatorTokens: []});
    const answer = await closed.ask({path: '/v1/status', token: tokens.operator});
    expect(answer.body.code).toBe(4001);
    await closed.stop();
  });
});

describe('operations', () => {
  it('plan, confirm, list, show and remove an intent', async () => {
    const token = tokens.viewer;
    const plan = await control.plan({action: 'put', intent});
    expect(plan.shareChanges).toMatchObject([{serviceId: 'reads', movedShare: 0.1}]);
    // Without two peers that hold the change it is stored, not accepted.
    const confirmed = await control.confirm(plan);
    expect([confirmed.status, confirmed.body['state']]).toEqual([202, 'stored']);
    const list = await control.ask({path: '/v1/intents', token});
    expect(list.body).toMatchObject({intents: [{intent, confirmedBy: 'operator'}]});
    const shown = await control.ask({path: '/v1/intents/move', token});
    expect(shown.body).toMatchObject({intent});
    const status = await control.ask({path: '/v1/status', token});
    expect(status.body).toMatchObject({answeredBy: 'instance-1', storeReachable: true});
    const removal = await control.plan({action: 'remove', intentId: 'move'});
    expect((await control.confirm(removal)).status).toBe(202);
    const gone = await control.ask({path: '/v1/intents/move', token});
    expect([gone.status, gone.body.code]).toEqual([404, 4008]);
  });

  it.each([
    ['GET', '/v1/plans'],
    ['PUT', '/v1/plans'],
    ['DELETE', '/v1/intents/move'],
    ['GET', '/v1/lookup?service=reads'],
    ['GET', '/svc/reads/item'],
    ['GET', '/v1/intents/%zz'],
    ['GET', '//v1/status'],
  ])('answer %s %s with not found', async (method, path) => {
    const answer = await control.ask({method, path, token: tokens.operator});
    expect([answer.status, answer.body.code]).toEqual([404, 4008]);
  });
});

describe('bodies', () => {
  // Guards against an operator's request that fills the memory.
  it.each(['/v1/plans', '/v1/plans/confirm'])('of %s are limited', async path => {
    const body = `"${'x'.repeat(maxOperatorBodyBytes)}"`;
    const answer = await control.ask({method: 'POST', path, token: tokens.operator, body});
    expect([answer.status, answer.body.code]).toEqual([413, 1005]);
  });

  it.each([
    ['nothing', ''],
    ['half an object', '{"action":'],
    ['no UTF-8', Buffer.from([0xff, 0xfe, 0x00])],
    ['text after the object', '{} {}'],
  ])('with %s are refused', async (_name, body) => {
    const answer = await control.ask({
      method: 'POST',
      path: '/v1/plans',
      token: tokens.operator,
      body,
    });
    expect(answer.body).toMatchObject({code: 4003, outcome: 'not-run'});
    expect(answer.body.detail).toContain('JSON');
  });

  const put = (change: object) => ({action: 'put', intent: {...intent, ...change}});
  const withCatalog = (change: object) => ({
    action: 'put-catalog',
    catalog: {...catalog, ...change},
  });
  const [target] = catalog.targets;
  const [service] = catalog.services;

  // Guards against an error that leaves the operator guessing which field is wrong, and how to fix it.
  it.each<[string, unknown, string, string, string]>([
    ['a share', put({shares: [{regionId: 'north', share: 2}]}), 'share', '2', 'from 0 to 1'],
    [
      'shares',
      put({shares: [{regionId: 'north', share: 0.5}]}),
      'intent.shares',
      '0.5',
      'add up to 1',
    ],
    ['a window', put({windowS: 0}), 'intent.windowS', '0', 'whole number from 1'],
    ['a cap', put({maxMovedShare: 'all'}), 'intent.maxMovedShare', '"all"', 'number'],
    ['a name', put({id: 'Not Valid'}), 'intent.id', '"Not Valid"', 'lower-case'],
    ['a missing field', put({serviceId: undefined}), 'intent.serviceId', 'missing', 'missing'],
    ['an unknown field', put({extra: 1}), 'intent.extra', '1', 'unexpected'],
    ['an unknown kind', put({kind: 'other'}), 'intent.kind', '"other"', 'route'],
    ['an unknown action', {action: 'other'}, 'action', '"other"', 'put'],
    ['a removal', {action: 'remove', intentId: ''}, 'intentId', '""', 'lower-case'],
    [
      'slots',
      withCatalog({targets: [{...target, slots: 0}]}),
      'catalog.targets[0].slots',
      '0',
      'whole number from 1',
    ],
    [
      'a region',
      withCatalog({targets: [{...target, regionId: 'west'}]}),
      'targets[0].regionId',
      'west',
      'name a region of this catalog',
    ],
    [
      'a failure domain',
      withCatalog({targets: [{...target, failureDomainId: 'west-1'}]}),
      'targets[0].failureDomainId',
      'west-1',
      'name a failure domain of this catalog',
    ],
    [
      'a service',
      withCatalog({targets: [{...target, serviceId: 'none'}]}),
      'targets[0].serviceId',
      'none',
      'name a service of this catalog',
    ],
    [
      'a link',
      withCatalog({links: [{fromRegionId: 'north', toRegionId: 'west', oneWayLatencyMs: 1}]}),
      'links[0].toRegionId',
      'west',
      'name a region of this catalog',
    ],
    [
      'a client block',
      withCatalog({clientBlocks: [{prefix: '10.0.0.0/8', regionId: 'west'}]}),
      'clientBlocks[0].regionId',
      'west',
      'name a region of this catalog',
    ],
    [
      'a demand',
      withCatalog({demands: [{serviceId: 'none', callerRegionId: 'north', requestsPerS: 1}]}),
      'demands[0].serviceId',
      'none',
      'name a service of this catalog',
    ],
    [
      'a repeated id',
      withCatalog({services: [service, service]}),
      'services[1].id',
      'reads',
      'use each id once',
    ],
    [
      'the prefix of a client block',
      withCatalog({clientBlocks: [{prefix: 'north', regionId: 'north'}]}),
      'clientBlocks[0].prefix',
      'north',
      'use an IP prefix',
    ],
  ])('name the field, the value and the fix for %s', async (_name, body, field, value, fix) => {
    const answer = await control.ask({
      method: 'POST',
      path: '/v1/plans',
      token: tokens.operator,
      body,
    });
    expect([answer.status, answer.body.code]).toEqual([400, 4003]);
    const line = answer.body.detail?.split('\n').find(one => one.includes(`${field}: `));
    expect([line, line?.includes(value), line?.includes(fix)]).toEqual([line, true, true]);
  });
});

describe('confirm', () => {
  const change = {action: 'put', intent: {...intent, id: 'confirm'}};

  it.each<[string, (plan: object) => object]>([
    ['another version', plan => ({...plan, configVersion: 99})],
    ['no risks', plan => ({...plan, risks: [{severity: 'warning', text: 'added'}]})],
    ['another change', plan => ({...plan, change: {kind: 'remove-intent', intentId: 'move'}})],
    ['another time', plan => ({...plan, madeAtMs: Date.now() + 1})],
    ['another digest', plan => ({...plan, digest: 'another'})],
    ['another signature', plan => ({...plan, signature: 'another'})],
    ['no signature', plan => ({...plan, signature: ''})],
  ])('refuses a plan with %s', async (_name, tamper) => {
    const answer = await control.confirm(tamper(await control.plan(change)));
    expect(answer.body).toMatchObject({code: 4003, outcome: 'not-run'});
  });

  it('refuses a plan that another key signed', async () => {
    const content = unsigned(await control.plan(change));
    const answer = await control.confirm(signPlan(content, 'another-key'));
    expect(answer.body).toMatchObject({code: 4003});
  });

  it('answers a repeated confirmation with the first result, also when the plan is old', async () => {
    const plan = await control.plan({action: 'put-catalog', catalog});
    const first = await control.confirm(plan);
    await control.confirm(await control.plan({action: 'put-catalog', catalog}));
    const again = await control.confirm(plan);
    expect(again.body).toEqual({
      state: 'accepted',
      configVersion: first.body['configVersion'],
      repeated: true,
    });
  });

  it('refuses a plan of an old version', async () => {
    const plan = await control.plan(change);
    await control.confirm(await control.plan({action: 'put-catalog', catalog}));
    const answer = await control.confirm(plan);
    expect([answer.status, answer.body.code]).toEqual([409, 4004]);
    expect(answer.body.detail).toContain(`made from version ${plan.configVersion}`);
  });

  // Guards against a change that is judged by loads of long ago.
  it.each([
    [599_000, 202, undefined],
    [601_000, 409, 4004],
  ])('judges a plan that was made %d ms ago', async (ageMs, status, code) => {
    const content = unsigned(await control.plan(change));
    const old = signPlan({...content, madeAtMs: Date.now() - ageMs}, peerKey);
    const answer = await control.confirm(old);
    expect([answer.status, answer.body.code]).toEqual([status, code]);
    if (code !== undefined) expect(answer.body.detail).toMatch(/made 60\d s ago.*at most 600 s/);
  });
});

describe('explain', () => {
  const facts = {
    code: 2001,
    atMs: 1_700_000_000_000,
    serviceId: 'reads',
    regionId: 'north',
    configVersion: 3,
    instanceId: 'instance-gone',
    detail: '4 of 4 slots busy',
  };
  const explain = (requestId: string) =>
    control.ask({path: `/v1/explain/${encodeURIComponent(requestId)}`, token: tokens.viewer});

  it('tells what a signed request id holds', async () => {
    const answer = await explain(appendRefusalToken('instance-gone-1-1', facts, peerKey));
    expect([answer.status, answer.body]).toEqual([
      200,
      expect.objectContaining({
        code: 2001,
        outcome: 'not-run',
        instanceId: 'instance-gone',
        source: 'request-id',
      }),
    ]);
  });

  // Guards against explanations that the system never gave.
  it.each([
    ['without a token', 'instance-1-1-1'],
    ['of another key', appendRefusalToken('instance-1-1-1', facts, 'another-key')],
    [
      'with another number',
      appendRefusalToken('instance-1-1-1', facts, peerKey).replace('1-1-1', '1-1-2'),
    ],
    ['that is cut', appendRefusalToken('instance-1-1-1', facts, peerKey).slice(0, -2)],
    ['with a NUL', '\0~\0'],
  ])('refuses a request id %s', async (_name, requestId) => {
    const answer = await explain(requestId);
    expect([answer.status, answer.body.code]).toEqual([400, 1001]);
  });
});
