import * as http from 'node:http';
import type {Plan, RouteIntent} from '@cuminsill/types';
import {parseJsonBody} from '@cuminsill/standins';
import {
  confirmPlan,
  getStatus,
  lookupTtlS,
  operatorToken,
  requestPlan,
  sendCallerRequest,
  sendOrder,
  SystemHarness,
  waitUntil,
} from '../src';

// Long enough for a slow machine; the tests assert nothing about durations.
jest.setTimeout(120_000);

let system: SystemHarness;

beforeAll(async () => {
  system = await SystemHarness.start();
  await system.startAll();
});

afterAll(() => system.stop());

function routeIntent(id: string, northShare: number): RouteIntent {
  return {
    kind: 'route',
    id,
    serviceId: 'reads',
    callerRegionId: 'north',
    shares: [
      {regionId: 'north', share: northShare},
      {regionId: 'south', share: 1 - northShare},
    ],
    maxMovedShare: 0.5,
    windowS: 1,
  };
}

async function requestRoutePlan(index: number, id: string, northShare: number): Promise<Plan> {
  const reply = await requestPlan(system.operatorAddress(index), {
    action: 'put',
    intent: routeIntent(id, northShare),
  });
  expect(reply.status).toBe(200);
  return reply.body;
}

/**
 * Waits until all instances have the same configuration version in force.
 * @param minVersion The version that was accepted. Before any instance has adopted it, all agree on the previous one.
 */
async function waitUntilVersionsAgree(minVersion = 0): Promise<number> {
  return waitUntil(async () => {
    const versions = await Promise.all(
      system.instances.map(async (_, index) => (await system.readiness(index)).configVersion),
    );
    const [version = 0] = versions;
    return new Set(versions).size === 1 && version >= minVersion ? version : undefined;
  });
}

async function lookUpInstanceIds(index: number): Promise<readonly string[]> {
  const response = await sendCallerRequest(system.instance(index).callerAddress, {
    path: '/v1/lookup?service=reads',
  });
  const body = parseJsonBody<{instances: ReadonlyArray<{instanceId: string}>}>(response.body);
  return body?.instances.map(instance => instance.instanceId) ?? [];
}

// Guards against callers that cannot find a serving instance.
it('answers look-ups with all instances, those in the region of the caller first', async () => {
  const instanceIds = await lookUpInstanceIds(2);
  expect([...instanceIds].sort()).toEqual(['instance-1', 'instance-2', 'instance-3']);
  expect(instanceIds[2]).toBe('instance-3');
});

// Guards against requests that reach no target, the wrong service, or run more than once.
it('forwards requests and operations through every instance', async () => {
  for (const [index, instance] of system.instances.entries()) {
    const read = await sendCallerRequest(instance.callerAddress, {path: '/svc/reads/item'});
    expect([read.status, read.body.toString()]).toEqual([200, expect.stringContaining('"reads"')]);
    const key = `steady-${index}`;
    const first = await sendOrder(instance, key);
    expect([first.status, first.code]).toEqual([200, undefined]);
    const repeated = await waitUntil(async () => {
      const response = await sendOrder(system.instance((index + 1) % 3), key);
      // The outcome is recorded shortly after the response; until then the operation counts as in progress.
      return response.code === 3001 ? undefined : response;
    });
    expect([repeated.status, system.runCount(key)]).toEqual([200, 1]);
  }
});

// Guards against operations of the operator API on the port that every caller can reach.
it.each([
  ['GET', '/v1/status'],
  ['GET', '/v1/intents'],
  ['GET', '/v1/explain/x'],
  ['POST', '/v1/plans'],
  ['POST', '/v1/plans/confirm'],
])('does not offer %s %s on the caller port', async (method, path) => {
  const response = await sendCallerRequest(system.instance(0).callerAddress, {
    method,
    path,
    headers: {authorization: `Bearer ${operatorToken}`},
  });
  expect([response.status, response.code]).toEqual([404, 4008]);
});

// Guards against a change that only some instances adopt, and against one that is applied twice.
it('plans and confirms an intent once, at any instance', async () => {
  const plan = await requestRoutePlan(0, 'move-once', 0.8);
  const firstReply = await confirmPlan(system.operatorAddress(1), plan);
  expect([firstReply.status, firstReply.body.state]).toEqual([200, 'accepted']);
  const repeatedReply = await confirmPlan(system.operatorAddress(2), plan);
  expect(repeatedReply.body).toMatchObject({
    configVersion: firstReply.body.configVersion,
    repeated: true,
  });
  expect(await waitUntilVersionsAgree(firstReply.body.configVersion)).toBe(
    firstReply.body.configVersion,
  );
});

// Guards against two operators whose plans, made from the same version, are both accepted.
it('refuses the second of two plans made from the same version', async () => {
  await waitUntilVersionsAgree();
  const plans = await Promise.all([
    requestRoutePlan(0, 'race', 0.7),
    requestRoutePlan(1, 'race', 0.6),
  ]);
  const replies = await Promise.all(
    plans.map((plan, index) => confirmPlan(system.operatorAddress(index), plan)),
  );
  const winner = replies.findIndex(reply => reply.status < 300);
  const loser = replies[1 - winner];
  expect(replies.filter(reply => reply.status < 300)).toHaveLength(1);
  expect(loser?.body).toMatchObject({code: 4004, outcome: 'not-run'});
  await waitUntilVersionsAgree(replies[winner]?.body.configVersion);
  const status = await getStatus(system.operatorAddress(2));
  const move = status.moves.find(candidate => candidate.intentId === 'race');
  const expected = plans[winner]?.change;
  expect(expected?.kind === 'put-intent' && expected.intent).toMatchObject({shares: move?.target});
});

// Guards against a planned stop that interrupts requests, or after which look-ups still return the stopped instance.
it('interrupts no request when an entry is stopped under steady load', async () => {
  await system.setServiceMs(60);
  const stoppingEntry = system.process(1, 'entry');
  const agent = new http.Agent({keepAlive: true});
  const unsuccessfulResults: string[] = [];
  let answered = 0;
  // As the design requires, callers use a look-up answer until its max-age has passed and then look up again.
  const callers = Array.from({length: 4}, async () => {
    let instanceIds: readonly string[] = [];
    let lookedUpAtMs = Number.NEGATIVE_INFINITY;
    for (;;) {
      if (performance.now() - lookedUpAtMs >= lookupTtlS * 1000) {
        lookedUpAtMs = performance.now();
        instanceIds = await lookUpInstanceIds(0);
      }
      if (!instanceIds.includes('instance-2')) return;
      const request = {path: '/svc/reads/steady', agent};
      const result = await sendCallerRequest(system.instance(1).callerAddress, request);
      if (result.status === 200) answered += 1;
      else unsuccessfulResults.push(`${result.kind} ${result.status} ${result.code}`);
    }
  });
  await waitUntil(async () => (answered > 20 ? true : undefined));
  stoppingEntry.signal('SIGTERM');
  await waitUntil(async () =>
    (await lookUpInstanceIds(0)).includes('instance-2') ? undefined : true,
  );
  // Guards against an earlier fault: a second signal during the stop ended the process at once.
  stoppingEntry.signal('SIGTERM');
  await Promise.all(callers);
  const exit = await stoppingEntry.waitUntilExited();
  expect([unsuccessfulResults, exit.code]).toEqual([[], 0]);
  expect(await lookUpInstanceIds(2)).not.toContain('instance-2');
  agent.destroy();
  await system.setServiceMs(10);
  await system.startDaemon(1, 'entry');
  await system.waitUntilAllServing(1);
});
