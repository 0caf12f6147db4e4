import {applyStoreFaults} from '@cuminsill/standins';
import type {Instance} from '@cuminsill/types';
import type {CallerResult} from '../src';
import {askPlan, askStatus, confirmPlan, sendOrder, sendTo, SystemHarness, waitUntil} from '../src';

// Generous because the machine may be slow; nothing is asserted about time.
jest.setTimeout(180_000);

let system: SystemHarness;

beforeAll(async () => {
  system = await SystemHarness.start();
  await system.startAll();
});

afterAll(() => system.stop());

/** An attempt of a caller to have an operation run. */
interface Attempt {
  readonly key: string;
  readonly result: CallerResult;
}

/** Sends an operation again and again until an answer says how it ended. */
async function untilDefinite(
  instance: Instance,
  key: string,
  attempts: Attempt[],
): Promise<CallerResult> {
  return waitUntil(async () => {
    const result = await sendOrder(instance, key);
    attempts.push({key, result});
    return result.status === 200 || result.outcome === 'run' || result.code === 3002
      ? result
      : undefined;
  });
}

/** Problems with what callers were told about operations that targets have run so often. */
function problemsOf(attempts: readonly Attempt[], runsOf: (key: string) => number) {
  const keys = [...new Set(attempts.map(attempt => attempt.key))];
  return keys.flatMap(key => {
    const runs = runsOf(key);
    const results = attempts.filter(attempt => attempt.key === key).map(({result}) => result);
    const mayHaveRun = results.filter(result => result.outcome !== 'not-run').length;
    const saidRun = results.some(result => result.status === 200 || result.outcome === 'run');
    const internal = results.some(result => result.code === 5001);
    return [
      ...(runs > 1 ? [`${key} ran ${runs} times`] : []),
      ...(runs > mayHaveRun ? [`${key} ran although all attempts were answered "not run"`] : []),
      ...(saidRun && runs === 0 ? [`${key} did not run although an answer says so`] : []),
      ...(internal ? [`${key} was answered with 5001`] : []),
    ];
  });
}

// Guards against an operation that runs twice, or is called not run, when its entry dies after sending it.
it('runs an operation once when its entry is killed between send and answer', async () => {
  // Longer than the test, so that no answer can come before the entry is killed.
  await system.setServiceMs(600_000);
  const keys = Array.from({length: 4}, (_, number) => `killed-${number}`);
  const first = keys.map(async key => ({key, result: await sendOrder(system.instance(1), key)}));
  await waitUntil(async () => (keys.every(key => system.runsOf(key) > 0) ? true : undefined));
  const retriedAtOnce = keys.map(async key => ({
    key,
    result: await sendOrder(system.instance(0), key),
  }));
  await system.process(1, 'entry').kill();
  const attempts = [...(await Promise.all(first)), ...(await Promise.all(retriedAtOnce))];
  for (const key of keys) {
    attempts.push({key, result: await sendOrder(system.instance(2), key)});
  }
  expect(attempts.slice(0, 4).map(({result}) => result.end)).toEqual(Array(4).fill('lost'));
  // The claim is durable and its owner lives, so no retry may be told that the operation was not run.
  const said = attempts.slice(4).map(({result}) => result.code);
  expect(said.filter(code => code !== 3001 && code !== 3002)).toEqual([]);
  expect(keys.map(key => system.runsOf(key))).toEqual([1, 1, 1, 1]);
  await system.setServiceMs(10);
  await system.startDaemon(1, 'entry');
  await system.untilServing(1);
});

// Guards against a paused owner of claims that grants a claim which its successor has granted too.
it('runs operations at most once while the owner of their claims is paused and resumed', async () => {
  const paused = 0;
  const others = [system.instance(1), system.instance(2)];
  const attempts: Attempt[] = [];
  const earlier = system.keysOwnedBy(paused, 'earlier', 2);
  const during = system.keysOwnedBy(paused, 'during', 4);
  for (const key of earlier) await untilDefinite(others[0] as Instance, key, attempts);
  const control = system.process(paused, 'control');
  // Some of these reach the owner before it stops; nobody knows how far they come.
  const overtaken = during.map(async key => {
    attempts.push({key, result: await sendOrder(others[0] as Instance, key)});
  });
  control.signal('SIGSTOP');
  await Promise.all(overtaken);
  const keys = [...earlier, ...during];
  await Promise.all(
    keys.map((key, number) => untilDefinite(others[number % 2] as Instance, key, attempts)),
  );
  control.signal('SIGCONT');
  const afterwards = keys.map(async key => {
    for (const instance of system.instances) {
      attempts.push({key, result: await sendOrder(instance, key)});
    }
  });
  await Promise.all(afterwards);
  await system.untilServing(1);
  for (const key of keys) await untilDefinite(system.instance(paused), key, attempts);
  expect(problemsOf(attempts, key => system.runsOf(key))).toEqual([]);
});

// Guards against reads that need the store, and against operations that run without a durable claim.
it('reads on and refuses operations and changes during an outage of the store', async () => {
  const {catalog} = system.deployment;
  const change = {action: 'put-catalog', catalog} as const;
  applyStoreFaults(system.store, {outage: true});
  const read = await sendTo(system.instance(0).callerAddress, {path: '/svc/reads/item'});
  expect(read.status).toBe(200);
  const refused = await Promise.all(
    system.instances.map(instance =>
      sendOrder(instance, `outage-${instance.id}`, {'x-attempt': '1'}),
    ),
  );
  // Without the caller's word that it is the first, an attempt cannot speak for the operation.
  const unsure = await sendOrder(system.instance(0), `outage-${system.instance(0).id}`);
  expect([unsure.code, unsure.outcome]).toEqual([3006, 'unknown']);
  expect(refused.map(({code, outcome}) => [code, outcome])).toEqual(
    Array(3).fill([2004, 'not-run']),
  );
  const plan = await askPlan(system.operators(0), change);
  expect(plan.status).toBe(200);
  const reply = await confirmPlan(system.operators(0), plan.body);
  expect(reply.body).toMatchObject({code: 4006, outcome: 'not-run'});
  expect(system.instances.map(({id}) => system.runsOf(`outage-${id}`))).toEqual([0, 0, 0]);
  applyStoreFaults(system.store, {});
  await system.untilOrdersAreTaken();
  expect(system.instances.map(({id}) => system.runsOf(`outage-${id}`))).toEqual([0, 0, 0]);
  const confirmed = await waitUntil(async () => {
    const again = await confirmPlan(system.operators(0), plan.body);
    return again.status < 300 ? again : undefined;
  });
  expect(confirmed.body.configVersion).toBe(plan.body.configVersion + 1);
});

// Guards against a configuration that reverts when no instance is left that has seen it.
it('never lowers the configuration version while all instances are replaced', async () => {
  const version = (await system.putCatalog(0)) ?? 0;
  expect(version).toBeGreaterThan(1);
  const seen: number[] = [];
  for (const [index] of system.instances.entries()) {
    await Promise.all([
      system.process(index, 'entry').kill(),
      system.process(index, 'control').kill(),
    ]);
    await system.startInstance(index);
    await waitUntil(async () => {
      const readiness = await system.readiness(index);
      const status = await askStatus(system.operators(index));
      // Before the first configuration an instance is not ready and states version 0.
      if (readiness.ready) seen.push(readiness.configVersion);
      if (status.configVersion > 0) seen.push(status.configVersion);
      return readiness.ready ? true : undefined;
    });
    for (const [other] of system.instances.entries()) {
      seen.push((await system.readiness(other)).configVersion);
      seen.push((await askStatus(system.operators(other))).configVersion);
    }
    await system.untilServing(version);
  }
  expect(seen.filter(one => one < version)).toEqual([]);
});

// Guards against instances without a configuration that claim to be ready or refuse with a wrong reason.
it('is not ready after a restart of all instances during an outage, and says so', async () => {
  applyStoreFaults(system.store, {outage: true});
  await Promise.all(
    system.instances.flatMap((_, index) => [
      system.process(index, 'entry').kill(),
      system.process(index, 'control').kill(),
    ]),
  );
  await Promise.all(system.instances.map((_, index) => system.startInstance(index)));
  for (const [index, instance] of system.instances.entries()) {
    expect(await system.readiness(index)).toMatchObject({ready: false, configVersion: 0});
    const lookup = await sendTo(instance.callerAddress, {path: '/v1/lookup'});
    const read = await sendTo(instance.callerAddress, {path: '/svc/reads/item'});
    const order = await sendOrder(instance, `restart-${index}`);
    expect([lookup, read, order].map(({code, outcome}) => [code, outcome])).toEqual(
      Array(3).fill([2006, 'not-run']),
    );
  }
  applyStoreFaults(system.store, {});
  await system.untilServing(1);
  expect(system.instances.map((_, index) => system.runsOf(`restart-${index}`))).toEqual([0, 0, 0]);
});

// Guards against secrets in logs; the earlier tests made the daemons log every kind of trouble.
it('writes no key and no token', () => {
  const written = system.written();
  expect(written).toContain('"ready":true');
  expect(written).not.toMatch(/system-tests-(peer-key|operator-token|viewer-token)/);
});
