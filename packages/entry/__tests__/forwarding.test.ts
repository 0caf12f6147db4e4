import type {ClaimDecision} from '@cuminsill/claims';
import {answerOf, EntryFixture} from '../__fixtures__/entry_fixture';
import type {Script} from '../__fixtures__/scripted_target';
import {echoPath} from '../__fixtures__/scripted_target';

let entry: EntryFixture;

async function startEntry(scripts: readonly Script[], slots = 3): Promise<void> {
  entry = new EntryFixture(scripts);
  await entry.start(slots);
}

afterEach(() => entry.stop());

const post = {method: 'POST', headers: {'idempotency-key': 'key'}};
const firstPost = {method: 'POST', headers: {'idempotency-key': 'key', 'x-attempt': '1'}};
const postBriefly = {
  method: 'POST',
  headers: {'idempotency-key': 'key', 'x-request-timeout-ms': '80'},
};
const shed: Script = (_request, response) => void response.writeHead(503).end();
const loseConnection: Script = request => {
  request.resume();
  request.on('end', () => request.socket.destroy());
};
const neverAnswer: Script = request => void request.resume();

describe('refusals and outcomes', () => {
  // Guards against a "not run" that is false and against outcomes that are reported wrongly.
  it.each<[string, readonly Script[], 'GET' | 'POST', number, string, number, string | undefined]>([
    ['an answer', [echoPath], 'POST', 200, '', 1, 'run'],
    ['one target that sheds', [shed, echoPath], 'POST', 200, '', -1, 'run'],
    ['all targets shed', [shed, shed], 'POST', 503, '2001|2002|2007', -1, 'not-run'],
    [
      'a lost connection, non-idempotent',
      [loseConnection, echoPath],
      'POST',
      -1,
      '',
      -1,
      undefined,
    ],
    [
      'two lost connections, idempotent',
      [loseConnection, loseConnection],
      'GET',
      502,
      '3003',
      2,
      undefined,
    ],
  ])('are true after %s', async (_name, scripts, method, status, code, arrivals, outcome) => {
    await startEntry(scripts);
    const service = method === 'POST' ? 'orders' : 'reads';
    const answer = await entry.send(`/svc/${service}/a`, method === 'POST' ? post : {}, '');
    if (status > 0) expect(answer.status).toBe(status);
    if (code !== '') expect(answer.headers['x-result-code']).toMatch(new RegExp(`^(${code})$`));
    if (arrivals >= 0) expect(entry.arrivals()).toBe(arrivals);
    if (outcome !== undefined) expect((await entry.claims.untilReported()).outcome).toBe(outcome);
  });

  it('says unknown when a non-idempotent request lost its connection, and sends it to no other target', async () => {
    await startEntry([loseConnection, loseConnection]);
    const answer = await entry.send('/svc/orders/a', post, 'body');
    expect(answer.headers['x-result-code']).toBe('3002');
    expect(entry.arrivals()).toBe(1);
    expect((await entry.claims.untilReported()).outcome).toBe('unknown');
  });

  it('says not run when no target accepts a connection', async () => {
    await startEntry([echoPath, echoPath]);
    for (const target of entry.targets) target.crash();
    const answer = await entry.send('/svc/orders/a', post, 'body');
    expect(JSON.parse(answer.body)).toMatchObject({outcome: 'not-run'});
    expect(entry.arrivals()).toBe(0);
    expect((await entry.claims.untilReported()).outcome).toBe('not-run');
  });

  // Guards against an outcome that stays unknown although the target answered after the deadline.
  it('reports a late answer of a non-idempotent request as run', async () => {
    let answerLate: () => void = () => undefined;
    await startEntry([(_request, response) => (answerLate = () => void response.end('late'))]);
    const answer = await entry.send('/svc/orders/a', postBriefly, 'body');
    expect(answer.headers['x-result-code']).toBe('3004');
    expect(entry.claims.outcomes).toEqual([]);
    answerLate();
    expect(await entry.claims.untilReported()).toMatchObject({
      outcome: 'run',
      answer: {status: 200},
    });
  });

  it('finishes a non-idempotent request whose caller went away', async () => {
    let answer: () => void = () => undefined;
    await startEntry([(_request, response) => (answer = () => void response.end('done'))]);
    const request = entry.open('/svc/orders/a', post);
    request.on('error', () => undefined);
    request.end('body');
    await entry.targets[0]?.untilArrived(1);
    request.destroy();
    answer();
    expect((await entry.claims.untilReported()).outcome).toBe('run');
  });

  it('releases the claim of a caller that goes away while it waits for a slot', async () => {
    await startEntry([neverAnswer], 1);
    const holder = entry.open('/svc/orders/holder', post);
    holder.on('error', () => undefined);
    holder.end();
    await entry.targets[0]?.untilArrived(1);
    const waiting = entry.open('/svc/orders/waiting', post);
    waiting.on('error', () => undefined);
    waiting.end();
    const queued = () => entry.steering.loads().some(load => load.queued > 0);
    while (!queued()) await new Promise(resolve => setImmediate(resolve));
    waiting.destroy();
    expect((await entry.claims.untilReported()).outcome).toBe('not-run');
    expect(entry.arrivals()).toBe(1);
    holder.destroy();
  });

  it.each([
    ['an unknown service', '/svc/none/a', {}, 404, 1002],
    ['a missing idempotency key', '/svc/orders/a', {method: 'POST'}, 400, 1003],
    ['a wrong deadline', '/svc/reads/a', {headers: {'x-request-timeout-ms': '0'}}, 400, 1001],
    ['a wrong tenant', '/svc/reads/a', {headers: {'x-tenant': 'a b'}}, 400, 1001],
    ['an unknown path', '/other', {}, 404, 4008],
    ['an outcome without a service', '/v1/outcomes/key', {}, 400, 1001],
  ])('refuse %s without sending anything', async (_name, path, options, status, code) => {
    await startEntry([echoPath]);
    const answer = await entry.send(path, options);
    expect(answer.status).toBe(status);
    expect(JSON.parse(answer.body)).toMatchObject({code, outcome: 'not-run'});
    expect(entry.arrivals()).toBe(0);
  });

  it('refuse a body over the limit', async () => {
    entry = new EntryFixture([echoPath], {maxBodyBytes: 1000, replayBufferBytes: 2000});
    await entry.start();
    const answer = await entry.send('/svc/reads/a', {method: 'PUT'}, 'x'.repeat(1500));
    expect(answer.headers['x-result-code']).toBe('1005');
  });

  it('refuse a non-idempotent request whose claim is not durable', async () => {
    await startEntry([echoPath]);
    entry.claims.decision = {decision: 'not-sent', reason: 'unavailable'};
    const answer = await entry.send('/svc/orders/a', firstPost);
    expect(JSON.parse(answer.body)).toMatchObject({code: 2004, outcome: 'not-run', retryAfterS: 1});
    expect(entry.arrivals()).toBe(0);
  });

  // Guards against "not run" for an operation whose earlier attempt ran and whose claim cannot be read now.
  it.each<[string, ClaimDecision, string]>([
    ['unavailable', {decision: 'not-sent', reason: 'unavailable'}, '3006'],
    ['no-owner', {decision: 'not-sent', reason: 'no-owner'}, '3006'],
    ['deadline', {decision: 'not-sent', reason: 'deadline'}, '3006'],
  ])(
    'do not say "not run" of earlier attempts when the claim is %s',
    async (_name, decision, code) => {
      await startEntry([echoPath]);
      entry.claims.decision = decision;
      const answer = await entry.send('/svc/orders/a', post);
      expect(answer.headers['x-result-code']).toBe(code);
      expect(JSON.parse(answer.body)).toMatchObject({outcome: 'unknown'});
    },
  );
});

describe('a request that crashes each target that runs it', () => {
  it('takes down at most two targets and is then refused', async () => {
    const crashOnPoison: Script = (request, response, target) => {
      if (request.url !== '/poison') echoPath(request, response);
      else target.crash();
    };
    await startEntry([crashOnPoison, crashOnPoison, crashOnPoison, crashOnPoison]);
    // Opens pooled connections: a loss on one of them must count too.
    await Promise.all(Array.from({length: 12}, (_, index) => entry.send(`/svc/reads/${index}`)));
    const codes: unknown[] = [];
    for (let attempt = 0; attempt < 4; attempt += 1) {
      codes.push((await entry.send('/svc/reads/poison')).headers['x-result-code']);
    }
    const lost = entry.targets.filter(target => target.arrived.includes('/poison'));
    expect(lost.length).toBeLessThanOrEqual(2);
    expect(codes.at(-1)).toBe('2005');
    expect((await entry.send('/svc/reads/other')).body).toBe('/other');
  });

  // Guards against quarantining a frequent request when a failure domain is lost.
  it('is told apart from a frequent request that was in flight at lost targets', async () => {
    await startEntry([echoPath, echoPath, echoPath, echoPath]);
    expect((await entry.send('/svc/reads/frequent')).status).toBe(200);
    for (const target of entry.targets.slice(0, 2)) target.use(() => target.crash());
    const statuses: number[] = [];
    for (let attempt = 0; attempt < 6; attempt += 1) {
      statuses.push((await entry.send('/svc/reads/frequent')).status);
    }
    expect(statuses.at(-1)).toBe(200);
  });
});

describe('a slow read', () => {
  // Guards against a slow target that decides the latency of reads, and against slots that hedges keep.
  it('is answered by a second target, and both slots are free afterwards', async () => {
    entry = new EntryFixture([echoPath, echoPath], {hedging: true});
    await entry.start();
    for (let count = 0; count < 20; count += 1) await entry.send('/svc/reads/a');
    const hang: Script = request => void request.resume();
    const [slow, fast] = entry.targets;
    const before = entry.arrivals();
    slow?.use((request, response, target) => {
      hang(request, response, target);
      fast?.use(echoPath);
    });
    fast?.use((request, response, target) => {
      hang(request, response, target);
      slow?.use(echoPath);
    });
    expect((await entry.send('/svc/reads/hedged')).body).toBe('/hedged');
    expect(entry.arrivals()).toBe(before + 2);
    expect(entry.steering.loads().every(load => load.inFlight === 0)).toBe(true);
  });
});

describe('the slot of a request', () => {
  // Guards against slots that are lost for ever, one with each request that ends early.
  it.each([
    ['its deadline passed', 'reads', {headers: {'x-request-timeout-ms': '50'}}],
    ['its caller went away', 'reads', {}],
  ])('is free again after %s', async (name, service, options) => {
    let hang = true;
    await startEntry(
      [
        (request, response) => {
          if (!hang) echoPath(request, response);
        },
      ],
      1,
    );
    const request = entry.open(`/svc/${service}/a`, options);
    request.on('error', () => undefined);
    const answered = name === 'its deadline passed' ? answerOf(request) : undefined;
    request.end();
    await entry.targets[0]?.untilArrived(1);
    if (answered === undefined) request.destroy();
    else expect((await answered).headers['x-result-code']).toBe('3004');
    hang = false;
    expect((await entry.send(`/svc/${service}/b`)).body).toBe('/b');
  });

  it('is free again after many callers went away while slots were granted', async () => {
    await startEntry([echoPath], 1);
    for (let round = 0; round < 30; round += 1) {
      const requests = Array.from({length: 4}, (_, index) => entry.open(`/svc/reads/${index}`));
      for (const request of requests) request.on('error', () => undefined).end();
      await entry.targets[0]?.untilArrived(1 + round);
      for (const request of requests) request.destroy();
    }
    expect((await entry.send('/svc/reads/last')).body).toBe('/last');
    expect(entry.steering.loads().every(load => load.inFlight === 0)).toBe(true);
  });
});

describe('a target that closes idle connections', () => {
  // Guards against a request that is refused, or suspected, because a pooled connection was stale.
  it('answers the request over a new connection', async () => {
    const used = new WeakSet<object>();
    await startEntry([
      (request, response) => {
        if (used.has(request.socket)) request.socket.destroy();
        else echoPath(request, response);
        used.add(request.socket);
      },
    ]);
    for (let count = 0; count < 6; count += 1) {
      expect((await entry.send('/svc/reads/a')).status).toBe(200);
    }
  });
});

describe('a target that is leaving', () => {
  it('gets no new work after it said so in a response', async () => {
    const leaving: Script = (request, response) => {
      response.setHeader('x-target-state', 'leaving');
      echoPath(request, response);
    };
    await startEntry([leaving, echoPath]);
    const sendAtOnce = () => Promise.all(Array.from({length: 6}, () => entry.send('/svc/reads/a')));
    await sendAtOnce();
    const before = entry.targets[0]?.arrived.length;
    expect(before).toBeGreaterThan(0);
    await sendAtOnce();
    expect(entry.targets[0]?.arrived.length).toBe(before);
    expect(entry.arrivals()).toBe(12);
  });
});

describe('an entry that stops', () => {
  it('answers what is in flight and asks callers to close their connections', async () => {
    let answer: () => void = () => undefined;
    await startEntry([(_request, response) => (answer = () => void response.end('whole'))]);
    const inFlight = entry.send('/svc/reads/a');
    await entry.targets[0]?.untilArrived(1);
    entry.state = 'leaving';
    entry.server.disableKeepAlive();
    const closed = entry.server.close();
    answer();
    const received = await inFlight;
    expect([received.body, received.whole]).toEqual(['whole', true]);
    expect(received.headers.connection).toBe('close');
    await closed;
  });
});
