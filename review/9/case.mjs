/** An endpoint reports that it leaves while a starting gateway reads the list of endpoints, which has more than one page. */
import {Endpoint, Store, configuration, route, sleep} from '../lib-2/platform.mjs';
import {bounds, endpointPort, main, send, storePort} from '../lib-2/gateways.mjs';

/** More entries than one page holds: "about 500". */
const otherCount = 520;
/** `sites/bpp-cuminsill.toml`: 55 ms one way between regions, 4 ms an answer of the store. */
const oneWayMs = 55;
const host = 'hulo84.example';

await main(new URL('record.txt', import.meta.url).pathname, async (run, hasTrouble) => {
  const store = new Store();
  store.oneWayMs = oneWayMs;
  await store.listen(run.address(1), storePort);
  const leaving = new Endpoint('i-000-leaving');
  const staying = new Endpoint('i-000-staying');
  const others = Array.from({length: otherCount}, (_, index) => new Endpoint(`i-${1_000 + index}`));
  for (const [index, endpoint] of [leaving, staying, ...others].entries()) {
    await endpoint.listen(run.endpointAddress(index), endpointPort);
    store.put(
      'servers',
      endpoint.id,
      endpoint.entry(index < 2 ? 'tiraje' : 'archivo', 'lit-paysandu'),
    );
  }
  const paths = [
    route('tiraje', '/tiraje/', 'non_idempotent', 'tiraje'),
    route('archivo', '/archivo/', 'idempotent', 'archivo'),
  ];
  store.put('config', 'main', configuration(3, [{host, paths}], ['tiraje', 'archivo']));

  // The endpoint's report is made after the first page was read, or, without the trouble, after the last one.
  let ackMs;
  const report = () => {
    leaving.isLeaving = true;
    ackMs = store.put(
      'servers',
      leaving.id,
      leaving.entry('tiraje', 'lit-paysandu', {state: 'draining'}),
    );
    run.record(`${leaving.id} reports that it is draining; the store acknowledges that`);
  };
  store.onCall = ({kind, query}) => {
    if (kind !== 'servers' || query.has('watch')) return;
    const isFirst = !query.has('after');
    run.record(`the gateway reads ${isFirst ? 'the first page' : 'the next page'} of endpoints`);
    if (isFirst === hasTrouble && ackMs === undefined)
      setTimeout(report, store.answerMs + oneWayMs);
  };
  await run.startGateway('front-1', run.address(2), 'lit-paysandu');
  await sleep(bounds.stabilityMs + 1_500);
  let lateCount = 0;
  for (let number = 0; number < 20; number += 1) {
    const sentMs = performance.now() - ackMs;
    const answer = await send(run.address(2), {
      path: `/tiraje/${number}`,
      method: 'POST',
      key: String(number),
      body: 'x',
    });
    const hasArrived = leaving.runs.some(({requestId}) => requestId === answer.requestId);
    run.record(
      `sent ${Math.round(sentMs)} ms after the acknowledgement: ${answer.status} ${answer.body}`,
    );
    if (hasArrived && sentMs > bounds.drainMs) lateCount += 1;
  }
  run.record(`${lateCount} requests reached the endpoint later than ${bounds.drainMs} ms`);
  return lateCount > 0;
});
