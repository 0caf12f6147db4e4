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
  await control.confirmPlan(await control.requestPlan({action: 'put-catalog', catalog}));
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

/** The content of a plan without its digest and signature. */
function unsignedContent(plan: Plan): PlanContent {
  return Object.fromEntries(
    Object.entries(plan).filter(([name]) => name !== 'digest' && name !== 'signature'),
  ) as unknown as PlanContent;
}

describe('authentication', () => {
  // Guards against operations that work without authentication.
  it.each(operations)('%s %s requires a known token', async (method, path, body) => {
    for (const token of [undefined, '', 'wrong', tokens.operator.slice(1), `${tokens.operator}x`]) {
      const response = await control.sendRequest({method, path, body, token});
      expect([response.status, response.body.code]).toEqual([401, 4001]);
    }
  });

  // Guards against viewers that can change the configuration, and against operators that cannot read.
  it.each(operations)('%s %s checks the role', async (method, path, body, role) => {
    const viewer = await control.sendRequest({method, path, body, token: tokens.viewer});
    const operator = await control.sendRequest({method, path, body, token: tokens.operator});
    if (role === 'operator') expect([viewer.status, viewer.body.code]).toEqual([403, 4002]);
    else expect(viewer.body.code).not.toBe(4002);
    expect([4001, 4002]).not.toContain(operator.body.code);
  });

  it('refuses every token when none are configured', async () => {
    const controlWithoutTokens = new ControlFixture();
    await controlWithoutTokens.start({operatorTokens: []});
    const response = await controlWithoutTokens.sendRequest({
      path: '/v1/status',
      token: tokens.operator,
    });
    expect(response.body.code).toBe(4001);
    await controlWithoutTokens.stop();
  });
});

describe('operations', () => {
  it('make and confirm plans, and list, show and remove an intent', async () => {
    const token = tokens.viewer;
    const plan = await control.requestPlan({action: 'put', intent});
    expect(plan.shareChanges).toMatchObject([{serviceId: 'reads', movedShare: 0.1}]);
    // There are no two peers to hold a copy of the change, so it is stored but not accepted.
    const confirmed = await control.confirmPlan(plan);
    expect([confirmed.status, confirmed.body['state']]).toEqual([202, 'stored']);
    const list = await control.sendRequest({path: '/v1/intents', token});
    expect(list.body).toMatchObject({intents: [{intent, confirmedBy: 'operator'}]});
    const fetched = await control.sendRequest({path: '/v1/intents/move', token});
    expect(fetched.body).toMatchObject({intent});
    const status = await control.sendRequest({path: '/v1/status', token});
    expect(status.body).toMatchObject({answeredBy: 'instance-1', storeReachable: true});
    const removal = await control.requestPlan({action: 'remove', intentId: 'move'});
    expect((await control.confirmPlan(removal)).status).toBe(202);
    const removed = await control.sendRequest({path: '/v1/intents/move', token});
    expect([removed.status, removed.body.code]).toEqual([404, 4008]);
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
    const response = await control.sendRequest({method, path, token: tokens.operator});
    expect([response.status, response.body.code]).toEqual([404, 4008]);
  });
});

describe('request bodies', () => {
  // Guards against memory exhaustion by an operator's request.
  it.each(['/v1/plans', '/v1/plans/confirm'])('to %s have a limited size', async path => {
    const body = `"${'x'.repeat(maxOperatorBodyBytes)}"`;
    const response = await control.sendRequest({
      method: 'POST',
      path,
      token: tokens.operator,
      body,
    });
    expect([response.status, response.body.code]).toEqual([413, 1005]);
  });

  it.each([
    ['no content', ''],
    ['a truncated object', '{"action":'],
    ['invalid UTF-8', Buffer.from([0xff, 0xfe, 0x00])],
    ['text after the object', '{} {}'],
  ])('with %s are refused', async (_name, body) => {
    const response = await control.sendRequest({
      method: 'POST',
      path: '/v1/plans',
      token: tokens.operator,
      body,
    });
    expect(response.body).toMatchObject({code: 4003, outcome: 'not-run'});
    expect(response.body.detail).toContain('JSON');
  });

  const withIntent = (change: object) => ({action: 'put', intent: {...intent, ...change}});
  const withCatalog = (change: object) => ({
    action: 'put-catalog',
    catalog: {...catalog, ...change},
  });
  const [target] = catalog.targets;
  const [service] = catalog.services;

  // Guards against errors that do not say which field is wrong and how to fix it.
  it.each<[string, unknown, string, string, string]>([
    ['a share', withIntent({shares: [{regionId: 'north', share: 2}]}), 'share', '2', 'from 0 to 1'],
    [
      'shares',
      withIntent({shares: [{regionId: 'north', share: 0.5}]}),
      'intent.shares',
      '0.5',
      'add up to 1',
    ],
    ['a window', withIntent({windowS: 0}), 'intent.windowS', '0', 'whole number from 1'],
    ['a cap', withIntent({maxMovedShare: 'all'}), 'intent.maxMovedShare', '"all"', 'number'],
    ['a name', withIntent({id: 'Not Valid'}), 'intent.id', '"Not Valid"', 'lower-case'],
    [
      'a missing field',
      withIntent({serviceId: undefined}),
      'intent.serviceId',
      'missing',
      'missing',
    ],
    ['an unknown field', withIntent({extra: 1}), 'intent.extra', '1', 'unexpected'],
    ['an unknown kind', withIntent({kind: 'other'}), 'intent.kind', '"other"', 'route'],
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
  ])(
    'with an invalid value get an error with field, value and fix: %s',
    async (_name, body, field, value, fix) => {
      const response = await control.sendRequest({
        method: 'POST',
        path: '/v1/plans',
        token: tokens.operator,
        body,
      });
      expect([response.status, response.body.code]).toEqual([400, 4003]);
      const line = response.body.detail
        ?.split('\n')
        .find(detailLine => detailLine.includes(`${field}: `));
      expect([line, line?.includes(value), line?.includes(fix)]).toEqual([line, true, true]);
    },
  );
});

describe('confirm', () => {
  const change = {action: 'put', intent: {...intent, id: 'confirm'}};

  it.each<[string, (plan: object) => object]>([
    ['another version', plan => ({...plan, configVersion: 99})],
    ['other risks', plan => ({...plan, risks: [{severity: 'warning', text: 'added'}]})],
    ['another change', plan => ({...plan, change: {kind: 'remove-intent', intentId: 'move'}})],
    ['another time', plan => ({...plan, madeAtMs: Date.now() + 1})],
    ['another digest', plan => ({...plan, digest: 'another'})],
    ['another signature', plan => ({...plan, signature: 'another'})],
    ['no signature', plan => ({...plan, signature: ''})],
  ])('refuses a plan with %s', async (_name, tamper) => {
    const response = await control.confirmPlan(tamper(await control.requestPlan(change)));
    expect(response.body).toMatchObject({code: 4003, outcome: 'not-run'});
  });

  it('refuses a plan signed with another key', async () => {
    const content = unsignedContent(await control.requestPlan(change));
    const response = await control.confirmPlan(signPlan(content, 'another-key'));
    expect(response.body).toMatchObject({code: 4003});
  });

  it('answers a repeated confirmation with the first result, even if the plan is outdated', async () => {
    const plan = await control.requestPlan({action: 'put-catalog', catalog});
    const first = await control.confirmPlan(plan);
    await control.confirmPlan(await control.requestPlan({action: 'put-catalog', catalog}));
    const repeatedResponse = await control.confirmPlan(plan);
    expect(repeatedResponse.body).toEqual({
      state: 'accepted',
      configVersion: first.body['configVersion'],
      repeated: true,
    });
  });

  it('refuses a plan made from an older configuration version', async () => {
    const plan = await control.requestPlan(change);
    await control.confirmPlan(await control.requestPlan({action: 'put-catalog', catalog}));
    const response = await control.confirmPlan(plan);
    expect([response.status, response.body.code]).toEqual([409, 4004]);
    expect(response.body.detail).toContain(`made from version ${plan.configVersion}`);
  });

  // Guards against a change that is assessed with outdated loads.
  it.each([
    [599_000, 202, undefined],
    [601_000, 409, 4004],
  ])('answers a plan made %d ms ago with status %d', async (ageMs, status, code) => {
    const content = unsignedContent(await control.requestPlan(change));
    const old = signPlan({...content, madeAtMs: Date.now() - ageMs}, peerKey);
    const reply = await control.confirmPlan(old);
    expect([reply.status, reply.body.code]).toEqual([status, code]);
    if (code !== undefined) expect(reply.body.detail).toMatch(/made 60\d s ago.*at most 600 s/);
  });
});

describe('explain', () => {
  const refusalFacts = {
    code: 2001,
    atMs: 1_700_000_000_000,
    serviceId: 'reads',
    regionId: 'north',
    configVersion: 3,
    instanceId: 'instance-gone',
    detail: '4 of 4 slots busy',
  };
  const requestExplanation = (requestId: string) =>
    control.sendRequest({
      path: `/v1/explain/${encodeURIComponent(requestId)}`,
      token: tokens.viewer,
    });

  it('returns the refusal that is encoded in a signed request id', async () => {
    const response = await requestExplanation(
      appendRefusalToken('instance-gone-1-1', refusalFacts, peerKey),
    );
    expect([response.status, response.body]).toEqual([
      200,
      expect.objectContaining({
        code: 2001,
        outcome: 'not-run',
        instanceId: 'instance-gone',
        source: 'request-id',
      }),
    ]);
  });

  // Guards against explanations of refusals that the system never gave.
  it.each([
    ['without a token', 'instance-1-1-1'],
    ['signed with another key', appendRefusalToken('instance-1-1-1', refusalFacts, 'another-key')],
    [
      'with a changed request number',
      appendRefusalToken('instance-1-1-1', refusalFacts, peerKey).replace('1-1-1', '1-1-2'),
    ],
    [
      'with a truncated signature',
      appendRefusalToken('instance-1-1-1', refusalFacts, peerKey).slice(0, -2),
    ],
    ['with a NUL', '\0~\0'],
  ])('refuses a request id %s', async (_name, requestId) => {
    const response = await requestExplanation(requestId);
    expect([response.status, response.body.code]).toEqual([400, 1001]);
  });
});
