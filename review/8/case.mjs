/** A configuration is acknowledged while the store's serializable reads are some seconds old, which its page allows. */
import {Endpoint, Store, configuration, route, sleep} from '../lib-2/platform.mjs';
import {bounds, endpointPort, main, send, storePort} from '../lib-2/gateways.mjs';

/** PROTOCOL.md: with `serializable` = 1 a call "may return data that is seconds old"; `kinds` names 3 s. */
const lagMs = 3_000;
const host = 'hulo84.example';

await main(new URL('record.txt', import.meta.url).pathname, async (run, hasTrouble) => {
  const store = new Store();
  await store.listen(run.address(1), storePort);
  const former = new Endpoint('i-former');
  const next = new Endpoint('i-next');
  await former.listen(run.endpointAddress(0), endpointPort);
  await next.listen(run.endpointAddress(1), endpointPort);
  const hosts = service => [{host, paths: [route('pago', '/pago/', 'non_idempotent', service)]}];
  store.put('config', 'main', configuration(3, hosts('cobranza'), ['cobranza', 'tablero']));
  store.put('servers', former.id, former.entry('cobranza', 'mvd-cordon'));
  store.put('servers', next.id, next.entry('tablero', 'mvd-cordon'));
  if (hasTrouble) store.serializableLagMs = lagMs;

  await run.startGateway('front-1', run.address(2), 'mvd-cordon');
  await sleep(bounds.stabilityMs + 2_000);
  const before = await send(run.address(2), {path: '/pago/0', method: 'POST', body: 'x'});
  run.record(`before the change: ${before.status} ${before.body}`);
  if (before.status !== 200) throw new Error('the gateway does not serve');

  const ackMs = store.put(
    'config',
    'main',
    configuration(8, hosts('tablero'), ['cobranza', 'tablero']),
  );
  run.record('version 8 is acknowledged: the route goes to tablero');
  let lateCount = 0;
  for (let number = 1; performance.now() < ackMs + 5_000; number += 1) {
    const sentMs = performance.now() - ackMs;
    const answer = await send(run.address(2), {path: `/pago/${number}`, method: 'POST', body: 'x'});
    const isOld = former.runs.some(({requestId}) => requestId === answer.requestId);
    run.record(
      `sent ${Math.round(sentMs)} ms after the acknowledgement: ${answer.status} ${answer.body}`,
    );
    if (isOld && sentMs > bounds.configApplyMs) lateCount += 1;
    await sleep(60);
  }
  run.record(
    `${lateCount} requests sent later than ${bounds.configApplyMs} ms were run by the old service`,
  );
  return lateCount > 0;
});
