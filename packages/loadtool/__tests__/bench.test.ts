import * as http from 'node:http';
import {listen} from '@cuminsill/standins';
import {runBenchLoad} from '../src/bench_load';
import {parseReadyLine} from '../src/managed_process';
import {findFirstResponse} from '../src/http_framing';

describe('findFirstResponse', () => {
  const complete = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc';
  const chunked = 'HTTP/1.1 503 No\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n';

  // Guards against a load generator that counts an answer twice or waits for an answer that is already complete.
  it.each([
    [complete, 200, complete.length],
    [`${complete}HTTP/1.1 200`, 200, complete.length],
    [chunked, 503, chunked.length],
    [complete.slice(0, -1), undefined, undefined],
    [complete.slice(0, 20), undefined, undefined],
    [chunked.slice(0, -1), undefined, undefined],
  ])('finds the end of %j', (text, status, byteLength) => {
    const frame = findFirstResponse(Buffer.from(text, 'latin1'));
    expect([frame?.status, frame?.byteLength]).toEqual([status, byteLength]);
  });
});

describe('runBenchLoad', () => {
  it.each([
    ['saturated', undefined],
    ['at a rate', 500],
  ])('%s counts answers and failures separately', async (_name, ratePerS) => {
    let requestCount = 0;
    const server = http.createServer((_request, response) => {
      requestCount += 1;
      response.writeHead(requestCount % 2 === 0 ? 200 : 503, {'content-length': 2});
      response.end('ok');
    });
    const runningServer = await listen(server, '127.0.0.1', 0);
    const result = await runBenchLoad({
      address: runningServer.address,
      requestText: 'GET / HTTP/1.1\r\nhost: x\r\n\r\n',
      connections: 2,
      ratePerS,
      seed: 1,
      warmUpMs: 0,
      measureMs: 200,
    });
    await runningServer.close();
    expect(result.count).toBeGreaterThan(0);
    expect(result.failed).toBeGreaterThan(0);
    expect(Math.abs(result.count - result.failed)).toBeLessThanOrEqual(3);
  });
});

describe('parseReadyLine', () => {
  it.each([
    ['{"ready":true,"port":1}', {ready: true, port: 1}],
    ['{"ready":false}', undefined],
    ['null', undefined],
    ['starting', undefined],
  ])('reads %s', (line, expected) => {
    expect(parseReadyLine(line)).toEqual(expected);
  });
});
