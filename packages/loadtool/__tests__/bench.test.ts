import * as http from 'node:http';
import {listen} from '@cuminsill/standins';
import {runBenchLoad} from '../src/bench_load';
import {parseReadyLine} from '../src/child_process';
import {frameResponse} from '../src/http_framing';

describe('frameResponse', () => {
  const whole = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc';
  const chunked = 'HTTP/1.1 503 No\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n';

  // Guards against a bench that counts one answer twice, or waits for one that is complete.
  it.each([
    [whole, 200, whole.length],
    [`${whole}HTTP/1.1 200`, 200, whole.length],
    [chunked, 503, chunked.length],
    [whole.slice(0, -1), undefined, undefined],
    [whole.slice(0, 20), undefined, undefined],
    [chunked.slice(0, -1), undefined, undefined],
  ])('finds the end of %j', (text, status, byteLength) => {
    const framed = frameResponse(Buffer.from(text, 'latin1'));
    expect([framed?.status, framed?.byteLength]).toEqual([status, byteLength]);
  });
});

describe('runBenchLoad', () => {
  it.each([
    ['saturated', undefined],
    ['at a rate', 500],
  ])('%s counts answers and failures apart', async (_name, ratePerS) => {
    let requests = 0;
    const server = http.createServer((_request, response) => {
      requests += 1;
      response.writeHead(requests % 2 === 0 ? 200 : 503, {'content-length': 2});
      response.end('ok');
    });
    const running = await listen(server, '127.0.0.1', 0);
    const result = await runBenchLoad({
      address: running.address,
      requestText: 'GET / HTTP/1.1\r\nhost: x\r\n\r\n',
      connections: 2,
      ratePerS,
      seed: 1,
      warmUpMs: 0,
      measureMs: 200,
    });
    await running.close();
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
