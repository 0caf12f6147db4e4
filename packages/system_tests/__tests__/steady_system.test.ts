import * as http from 'node:http';
import type {Plan, RouteIntent} from '@cuminsill/types';
import {jsonBody} from '@cuminsill/standins';
import {
  askPlan,
  askStatus,
  confirmPlan,
  lookupTtlS,
  operatorToken,
  sendOrder,
  sendTo,
  SystemHarness,
  waitUntil,
} from '../src';

// Generous because the machine may be slow; nothing is asserted about time.
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

async function planOf(index: number, id: string, northShare: number): Promise<Plan> {
  const reply = await askPlan(system.operators(index), {
    action: 'put',
    intent: routeIntent(id, northShare),
  });
  expect(reply.status).toBe(200);
  return reply.body;
}

/**
 * Waits until all instances have the same version in force.
 * @param least A version that was accepted: before any instance has adopted it, all agree on the one before.
 */
async function untilSettled(least = 0): Promise<number> {
  return waitUntil(async () => {
    const versions = await Promise.all(
      system.instances.map(async (_, index) => (await system.readiness(index)).configVersion),
    );
    const [version = 0] = versions;
    return new Set(versions).size === 1 && version >= least ? version : undefined;
  });
}

async function namedInstances(index: number): Promise<readonly string[]> {
  const answer = await sendTo(system.instance(index).callerAddress, {
    path: '/v1/lookup?service=reads',
  });
  const body = jsonBody<{instances: ReadonlyArray<{instanceId: string}>}>(answer.body);
  return body?.instances.map(one => one.instanceId) ?? [];
}

// Guards against callers that do not find a serving instance.
it('answers look-ups with all instances, those of the caller first', async () => {
  const named = await namedInstances(2);
  expect([...named].sort()).toEqual(['instance-1', 'instance-2', 'instance-3']);
  expect(named[2]).toBe('instance-3');
});

// Guards against requests that reach no target, the wrong service, or run more than once.
it('forwards requests and operations through every instance', async () => {
  for (const [index, instance] of system.instances.entries()) {
    const read = await sendTo(instance.callerAddress, {path: '/svc/reads/item'});
    expect([read.status, read.body.toString()]).toEqual([200, expect.stringContaining('"reads"')]);
    const key = `steady-${index}`;
    expect((await sendOrder(instance, key)).status).toBe(200);
    const repeated = await waitUntil(async () => {
      const answer = await sendOrder(system.instance((index + 1) % 3), key);
      // The outcome is recorded shortly after the answer; until then the operation is in progress.
      return answer.code === 3001 ? undefined : answer;
    });
    expect([repeated.status, system.runsOf(key)]).toEqual([200, 1]);
  }
});

// Guards against operators' operations on a port that every caller reaches.
it.each([
  ['GET', '/v1/status'],
  ['GET', '/v1/intents'],
  ['GET', '/v1/explain/x'],
  ['POST', '/v1/plans'],
  ['POST', '/v1/plans/confirm'],
])('offers no %s %s to callers', async (method, path) => {
  const answer = await sendTo(system.instance(0).callerAddress, {
    method,
    path,
    headers: {authorization: `Bearer ${operatorToken}`},
  });
  expect([answer.status, answer.code]).toEqual([404, 4008]);
});

// Guards against a change that is in force at some instances only, and against one that is applied twice.
it('plans and confirms an intent once, at any instance', async () => {
  const plan = await planOf(0, 'move-once', 0.8);
  const first = await confirmPlan(system.operators(1), plan);
  expect([first.status, first.body.state]).toEqual([200, 'accepted']);
  const again = await confirmPlan(system.operators(2), plan);
  expect(again.body).toMatchObject({
    configVersion: first.body.configVersion,
    repeated: true,
  });
  expect(await untilSettled(first.body.configVersion)).toBe(first.body.configVersion);
});

// Guards against two operators who both believe that their plan, made from one state, is in force.
it('refuses the second of two plans made from one version', async () => {
  await untilSettled();
  const plans = await Promise.all([planOf(0, 'race', 0.7), planOf(1, 'race', 0.6)]);
  const replies = await Promise.all(
    plans.map((plan, index) => confirmPlan(system.operators(index), plan)),
  );
  const winner = replies.findIndex(reply => reply.status < 300);
  const loser = replies[1 - winner];
  expect(replies.filter(reply => reply.status < 300)).toHaveLength(1);
  expect(loser?.body).toMatchObject({code: 4004, outcome: 'not-run'});
  await untilSettled(replies[winner]?.body.configVersion);
  const status = await askStatus(system.operators(2));
  const move = status.moves.find(one => one.intentId === 'race');
  const expected = plans[winner]?.change;
  expect(expected?.kind === 'put-intent' && expected.intent).toMatchObject({shares: move?.target});
});

// Guards against a planned stop that cuts requests or that look-ups still advertise.
it('cuts no request when an entry is stopped under steady load', async () => {
  await system.setServiceMs(60);
  const stopping = system.process(1, 'entry');
  const agent = new http.Agent({keepAlive: true});
  const others: string[] = [];
  let answered = 0;
  // As the design asks, callers use a look-up answer until its max-age has passed and then look up again.
  const callers = Array.from({length: 4}, async () => {
    let named: readonly string[] = [];
    let lookedUpAtMs = Number.NEGATIVE_INFINITY;
    for (;;) {
      if (performance.now() - lookedUpAtMs >= lookupTtlS * 1000) {
        lookedUpAtMs = performance.now();
        named = await namedInstances(0);
      }
      if (!named.includes('instance-2')) return;
      const call = {path: '/svc/reads/steady', agent};
      const result = await sendTo(system.instance(1).callerAddress, call);
      if (result.status === 200) answered += 1;
      else others.push(`${result.end} ${result.status} ${result.code}`);
    }
  });
  await waitUntil(async () => (answered > 20 ? true : undefined));
  stopping.signal('SIGTERM');
  await waitUntil(async () =>
    (await namedInstances(0)).includes('instance-2') ? undefined : true,
  );
  // A second signal during the stop ended the process at once.
  stopping.signal('SIGTERM');
  await Promise.all(callers);
  const end = await stopping.untilEnded();
  expect([others, end.code]).toEqual([[], 0]);
  expect(await namedInstances(2)).not.toContain('instance-2');
  agent.destroy();
  await system.setServiceMs(10);
  await system.startDaemon(1, 'entry');
  await system.untilServing(1);
});
