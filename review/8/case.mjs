/** A gateway is killed while a client reads a long answer that has no length: the part looks like a whole answer. */
import * as net from 'node:net';
import {Endpoint, Store, configuration, route, sleep} from '../lib-2/platform.mjs';
import {bounds, endpointPort, frontPort, main, storePort} from '../lib-2/gateways.mjs';

const bodyBytes = 8 * 1024 * 1024;
const host = 'hulo84.example';

await main(new URL('record.txt', import.meta.url).pathname, async (run, hasTrouble) => {
  const store = new Store();
  await store.listen(run.address(1), storePort);
  const body = Buffer.alloc(bodyBytes, 'pages of an archive. ');
  // RULES.md: "An endpoint's answer may have no length and end with its connection".
  const answer = (response, headers) => {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {...headers, Connection: 'close'});
    response.end(body);
  };
  const endpoint = new Endpoint('i-archivo', {answer});
  await endpoint.listen(run.endpointAddress(0), endpointPort);
  const paths = [route('archivo', '/archivo/', 'idempotent', 'archivo')];
  store.put('config', 'main', configuration(3, [{host, paths}], ['archivo']));
  store.put('servers', endpoint.id, endpoint.entry('archivo', 'mvd-cordon'));

  const gateway = await run.startGateway('front-1', run.address(2), 'mvd-cordon');
  await sleep(bounds.stabilityMs + 500);
  const reading = readSlowly(run.address(2));
  await sleep(1_000);
  run.record(`the client has received ${reading.bytes()} bytes and reads on`);
  if (hasTrouble) {
    gateway.kill('SIGKILL');
    run.record('front-1 is killed');
  }
  const result = await reading.ended;
  run.record(
    `the client's connection ended ${result.isReset ? 'by a reset' : 'in order'}: ` +
      `${result.head.split('\r\n')[0]}, body of ${result.bodyBytes} bytes of ${bodyBytes}`,
  );
  run.record(result.head.replaceAll('\r\n', ' | '));
  const headers = result.head.toLowerCase();
  const isFramed = headers.includes('content-length:') || headers.includes('transfer-encoding:');
  const looksComplete = headers.startsWith('http/1.1 2') && !isFramed && !result.isReset;
  return looksComplete && headers.includes('response-stamp:') && result.bodyBytes !== bodyBytes;
});

/** Sends a request and reads its answer at about 1 MB/s, until the connection ends. */
function readSlowly(address) {
  const socket = net.connect({host: address, port: frontPort});
  socket.write(
    [
      'GET /archivo/1 HTTP/1.1',
      `Host: ${host}`,
      'Request-Id: 9c41d07be2a35f68',
      'Deadline-Ms: 10000',
      '',
      '',
    ].join('\r\n'),
  );
  const chunks = [];
  let isReset = false;
  const ended = new Promise(resolve => {
    socket.on('data', chunk => {
      chunks.push(chunk);
      socket.pause();
      setTimeout(() => socket.resume(), chunk.length / 1_000);
    });
    socket.on('error', () => (isReset = true));
    socket.on('close', () => {
      const all = Buffer.concat(chunks);
      const end = all.indexOf('\r\n\r\n');
      const head = all.subarray(0, end).toString('latin1');
      resolve({isReset, head, bodyBytes: all.length - end - 4});
    });
  });
  return {ended, bytes: () => chunks.reduce((sum, {length}) => sum + length, 0)};
}
