import {answerOf, EntryFixture} from '../__fixtures__/entry_fixture';
import type {Script} from '../__fixtures__/scripted_target';
import {echoPath} from '../__fixtures__/scripted_target';

let entry: EntryFixture;

async function startEntry(scripts: readonly Script[], slots = 3): Promise<void> {
  entry = new EntryFixture(scripts);
  await entry.start(slots);
}

afterEach(() => entry.stop());

describe('the answer that a caller gets', () => {
  // Guards against a cut answer that looks whole.
  it.each<[string, Script]>([
    [
      'stops before its content-length',
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
  ])('is not passed off as whole when the target %s', async (_name, script) => {
    await startEntry([script]);
    const answer = await entry.send('/svc/reads/a');
    expect(answer.whole).toBe(false);
    expect(answer.body).toBe('part');
  });

  // Guards against a late answer that reaches the next request on the same connection.
  it('is its own after an earlier request on the connection timed out', async () => {
    let answerLate: () => void = () => undefined;
    await startEntry([
      (request, response) => {
        if (request.url !== '/slow') echoPath(request, response);
        else answerLate = () => response.end('late answer to /slow');
      },
    ]);
    expect((await entry.send('/svc/reads/first')).body).toBe('/first');
    const slow = await entry.send('/svc/reads/slow', {headers: {'x-request-timeout-ms': '50'}});
    expect(slow.headers['x-result-code']).toBe('3004');
    const next = entry.send('/svc/reads/next');
    answerLate();
    expect((await next).body).toBe('/next');
  });

  // Guards against an answer to a cancelled request that reaches the next caller.
  it('is its own after an earlier caller went away', async () => {
    await startEntry([
      (request, response) => {
        if (request.url !== '/left') echoPath(request, response);
      },
    ]);
    const left = entry.open('/svc/reads/left');
    left.on('error', () => undefined);
    left.end();
    await entry.targets[0]?.untilArrived(1);
    left.destroy();
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
    const answer = await entry.send('/svc/reads/a');
    expect([answer.status, answer.body, answer.whole]).toEqual([200, '/a', true]);
  });

  // Guards against a connection that is used again while an unread body is on its way.
  it('is its own after an early final response to an upload', async () => {
    await startEntry([
      (request, response) => {
        if (request.method !== 'PUT') echoPath(request, response);
        else response.writeHead(409).end('no');
      },
    ]);
    const upload = entry.open('/svc/reads/upload', {method: 'PUT'});
    upload.on('error', () => undefined);
    upload.write(Buffer.alloc(100_000));
    const early = await answerOf(upload);
    expect([early.status, early.body]).toEqual([409, 'no']);
    upload.destroy();
    expect((await entry.send('/svc/reads/next')).body).toBe('/next');
  });

  it('is whole for a large body in both directions', async () => {
    const body = 'x'.repeat(2_000_000);
    await startEntry([(request, response) => void request.pipe(response)]);
    const answer = await entry.send('/svc/reads/large', {method: 'PUT'}, body);
    expect(answer.whole).toBe(true);
    expect(answer.body.length).toBe(body.length);
  });
});
