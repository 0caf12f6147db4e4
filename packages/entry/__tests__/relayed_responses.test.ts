import {readResponse, EntryFixture} from '../__fixtures__/entry_fixture';
import type {Script} from '../__fixtures__/scripted_target';
import {echoPath} from '../__fixtures__/scripted_target';

const post = {method: 'POST', headers: {'idempotency-key': 'key'}};

let entry: EntryFixture;

async function startEntry(scripts: readonly Script[], slots = 3): Promise<void> {
  entry = new EntryFixture(scripts);
  await entry.start(slots);
}

afterEach(() => entry.stop());

describe('the response to a caller', () => {
  // Guards against a truncated response that looks complete.
  it.each<[string, Script]>([
    [
      'stops before the end of its content-length',
      (_request, response) => {
        response.writeHead(200, {'content-length': 1000});
        response.write('part', () => response.destroy());
      },
    ],
    [
      'stops before its last chunk',
      (_request, response) => {
        response.writeHead(200);
        response.write('part', () => response.destroy());
      },
    ],
    [
      'resets its connection behind a part without a length',
      request => {
        request.socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart');
        // In the same turn of the event loop: the reset must arrive with the part.
        request.socket.resetAndDestroy();
      },
    ],
  ])('does not look complete when the target %s', async (_name, script) => {
    await startEntry([script]);
    const response = await entry.send('/svc/reads/a');
    expect(response.isComplete).toBe(false);
    expect(response.body).toBe('part');
  });

  // Guards against a malformed head that reaches a caller, and against an entry that fails because of it.
  it.each<[string, string]>([
    ['status 000', '000 OK\r\nContent-Length: 0'],
    ['a control character in the reason phrase', '200 O\x07\r\nContent-Length: 0'],
    ['a blank at the start of a name', '200 OK\r\nA: b\r\n C: d\r\nContent-Length: 0'],
    ['a transfer coding that is not decoded', '200 OK\r\nTransfer-Encoding: gzip'],
  ])('says that the outcome is unknown when the target sends %s', async (_name, head) => {
    await startEntry([request => void request.socket.end(`HTTP/1.1 ${head}\r\n\r\n`)]);
    const response = await entry.send('/svc/orders/a', post, 'body');
    expect(response.headers['x-result-code']).toBe('3002');
  });

  // Guards against a late response that is relayed to the next request on the same connection.
  it('belongs to its own request after an earlier request on the connection timed out', async () => {
    let respondLate: () => void = () => undefined;
    await startEntry([
      (request, response) => {
        if (request.url !== '/slow') echoPath(request, response);
        else respondLate = () => response.end('late answer to /slow');
      },
    ]);
    expect((await entry.send('/svc/reads/first')).body).toBe('/first');
    const slow = await entry.send('/svc/reads/slow', {headers: {'x-request-timeout-ms': '50'}});
    expect(slow.headers['x-result-code']).toBe('3004');
    const next = entry.send('/svc/reads/next');
    respondLate();
    expect((await next).body).toBe('/next');
  });

  // Guards against a response to a cancelled request that reaches the next caller.
  it('belongs to its own request after an earlier caller disconnected', async () => {
    await startEntry([
      (request, response) => {
        if (request.url !== '/left') echoPath(request, response);
      },
    ]);
    const abandoned = entry.openRequest('/svc/reads/left');
    abandoned.on('error', () => undefined);
    abandoned.end();
    await entry.targets[0]?.waitForArrivals(1);
    abandoned.destroy();
    expect((await entry.send('/svc/reads/next')).body).toBe('/next');
  });

  it('is the final one when interim responses come first', async () => {
    await startEntry([
      (request, response) => {
        response.writeProcessing();
        response.writeEarlyHints({link: '</style.css>; rel=preload'});
        echoPath(request, response);
      },
    ]);
    const response = await entry.send('/svc/reads/a');
    expect([response.status, response.body, response.isComplete]).toEqual([200, '/a', true]);
  });

  // Guards against the reuse of a connection that still carries an unread request body.
  it('belongs to its own request after an early final response to an upload', async () => {
    await startEntry([
      (request, response) => {
        if (request.method !== 'PUT') echoPath(request, response);
        else response.writeHead(409).end('no');
      },
    ]);
    const upload = entry.openRequest('/svc/reads/upload', {method: 'PUT'});
    upload.on('error', () => undefined);
    upload.write(Buffer.alloc(100_000));
    const early = await readResponse(upload);
    expect([early.status, early.body]).toEqual([409, 'no']);
    upload.destroy();
    expect((await entry.send('/svc/reads/next')).body).toBe('/next');
  });

  it('is complete for a large body in both directions', async () => {
    const body = 'x'.repeat(2_000_000);
    await startEntry([(request, response) => void request.pipe(response)]);
    const response = await entry.send('/svc/reads/large', {method: 'PUT'}, body);
    expect(response.isComplete).toBe(true);
    expect(response.body.length).toBe(body.length);
  });
});
