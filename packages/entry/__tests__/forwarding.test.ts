import type {ClaimDecision} from '@cuminsill/claims';
import {readResponse, EntryFixture} from '../__fixtures__/entry_fixture';
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
const postWithShortTimeout = {
  method: 'POST',
  headers: {'idempotency-key': 'key', 'x-request-timeout-ms': '80'},
};
const rejectRequest: Script = (_request, response) => void response.writeHead(503).end();
const dropConnection: Script = request => {
  request.resume();
  request.on('end', () => request.socket.destroy());
};
const neverRespond: Script = request => void request.resume();

describe('refusals and outcomes', () => {
  // Guards against a false `not-run` and against wrong outcome reports.
  it.each<[string, readonly Script[], 'GET' | 'POST', number, string, number, string | undefined]>([
    ['a response', [echoPath], 'POST', 200, '', 1, 'run'],
    ['a rejection by one target', [rejectRequest, echoPath], 'POST', 200, '', -1, 'run'],
    [
      'rejections by all targets',
      [rejectRequest, rejectRequest],
      'POST',
      503,
      '2001|2002|2007',
      -1,
      'not-run',
    ],
    [
      'a lost connection, non-idempotent',
      [dropConnection, echoPath],
      'POST',
      -1,
      '',
      -1,
      undefined,
    ],
    [
      'two lost connections, idempotent',
      [dropConnection, dropConnection],
      'GET',
      502,
      '3003',
      2,
      undefined,
    ],
  ])('are correct after %s', async (_name, scripts, method, status, code, arrivals, outcome) => {
    await startEntry(scripts);
    const service = method === 'POST' ? 'orders' : 'reads';
    const response = await entry.send(`/svc/${service}/a`, method === 'POST' ? post : {}, '');
    if (status > 0) expect(response.status).toBe(status);
    if (code !== '') expect(response.headers['x-result-code']).toMatch(new RegExp(`^(${code})$`));
    if (arrivals >= 0) expect(entry.arrivalCount()).toBe(arrivals);
    if (outcome !== undefined) expect((await entry.claims.waitForOutcome()).outcome).toBe(outcome);
  });

  it('report unknown when a non-idempotent request loses its connection, and do not retry it', async () => {
    await startEntry([dropConnection, dropConnection]);
    const response = await entry.send('/svc/orders/a', post, 'body');
    expect(response.headers['x-result-code']).toBe('3002');
    expect(entry.arrivalCount()).toBe(1);
    expect((await entry.claims.waitForOutcome()).outcome).toBe('unknown');
  });

  it('report not-run when no target accepts a connection', async () => {
    await startEntry([echoPath, echoPath]);
    for (const target of entry.targets) target.crash();
    const response = await entry.send('/svc/orders/a', post, 'body');
    expect(JSON.parse(response.body)).toMatchObject({outcome: 'not-run'});
    expect(entry.arrivalCount()).toBe(0);
    expect((await entry.claims.waitForOutcome()).outcome).toBe('not-run');
  });

  // Guards against an outcome that stays unknown although the target responded after the deadline.
  it('report run when a non-idempotent request gets its response after the deadline', async () => {
    let respondLate: () => void = () => undefined;
    await startEntry([(_request, response) => (respondLate = () => void response.end('late'))]);
    const response = await entry.send('/svc/orders/a', postWithShortTimeout, 'body');
    expect(response.headers['x-result-code']).toBe('3004');
    expect(entry.claims.outcomes).toEqual([]);
    respondLate();
    expect(await entry.claims.waitForOutcome()).toMatchObject({
      outcome: 'run',
      answer: {status: 200},
    });
  });

  it('report run for a non-idempotent request whose caller disconnected', async () => {
    let respond: () => void = () => undefined;
    await startEntry([(_request, response) => (respond = () => void response.end('done'))]);
    const request = entry.openRequest('/svc/orders/a', post);
    request.on('error', () => undefined);
    request.end('body');
    await entry.targets[0]?.waitForArrivals(1);
    request.destroy();
    respond();
    expect((await entry.claims.waitForOutcome()).outcome).toBe('run');
  });

  it('report not-run when the caller disconnects while it waits for a slot', async () => {
    await startEntry([neverRespond], 1);
    const holder = entry.openRequest('/svc/orders/holder', post);
    holder.on('error', () => undefined);
    holder.end();
    await entry.targets[0]?.waitForArrivals(1);
    const waiting = entry.openRequest('/svc/orders/waiting', post);
    waiting.on('error', () => undefined);
    waiting.end();
    const queued = () => entry.steering.loads().some(load => load.queued > 0);
    while (!queued()) await new Promise(resolve => setImmediate(resolve));
    waiting.destroy();
    expect((await entry.claims.waitForOutcome()).outcome).toBe('not-run');
    expect(entry.arrivalCount()).toBe(1);
    holder.destroy();
  });

  it.each([
    ['an unknown service', '/svc/none/a', {}, 404, 1002],
    ['a missing idempotency key', '/svc/orders/a', {method: 'POST'}, 400, 1003],
    ['an invalid timeout', '/svc/reads/a', {headers: {'x-request-timeout-ms': '0'}}, 400, 1001],
    ['an invalid tenant', '/svc/reads/a', {headers: {'x-tenant': 'a b'}}, 400, 1001],
    ['an unknown path', '/other', {}, 404, 4008],
    ['an outcome query without a service', '/v1/outcomes/key', {}, 400, 1001],
  ])('refuse %s without sending it to a target', async (_name, path, options, status, code) => {
    await startEntry([echoPath]);
    const response = await entry.send(path, options);
    expect(response.status).toBe(status);
    expect(JSON.parse(response.body)).toMatchObject({code, outcome: 'not-run'});
    expect(entry.arrivalCount()).toBe(0);
  });

  it('refuse a body over the limit', async () => {
    entry = new EntryFixture([echoPath], {maxBodyBytes: 1000, replayBufferBytes: 2000});
    await entry.start();
    const response = await entry.send('/svc/reads/a', {method: 'PUT'}, 'x'.repeat(1500));
    expect(response.headers['x-result-code']).toBe('1005');
  });

  it('refuse a non-idempotent request whose claim could not be stored', async () => {
    await startEntry([echoPath]);
    entry.claims.decision = {decision: 'not-sent', reason: 'unavailable'};
    const response = await entry.send('/svc/orders/a', firstPost);
    expect(JSON.parse(response.body)).toMatchObject({
      code: 2004,
      outcome: 'not-run',
      retryAfterS: 1,
    });
    expect(entry.arrivalCount()).toBe(0);
  });

  // Guards against `not-run` for an operation whose earlier attempt ran and whose claim cannot be read now.
  it.each<[string, ClaimDecision, string]>([
    ['unavailable', {decision: 'not-sent', reason: 'unavailable'}, '3006'],
    ['no-owner', {decision: 'not-sent', reason: 'no-owner'}, '3006'],
    ['deadline', {decision: 'not-sent', reason: 'deadline'}, '3006'],
  ])(
    'do not report not-run for earlier attempts when the claim is not sent because of %s',
    async (_name, decision, code) => {
      await startEntry([echoPath]);
      entry.claims.decision = decision;
      const response = await entry.send('/svc/orders/a', post);
      expect(response.headers['x-result-code']).toBe(code);
      expect(JSON.parse(response.body)).toMatchObject({outcome: 'unknown'});
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
    // Opens pooled connections, because a loss of one of them must count too.
    await Promise.all(Array.from({length: 12}, (_, index) => entry.send(`/svc/reads/${index}`)));
    const codes: unknown[] = [];
    for (let attempt = 0; attempt < 4; attempt += 1) {
      codes.push((await entry.send('/svc/reads/poison')).headers['x-result-code']);
    }
    const lost = entry.targets.filter(target => target.arrivedPaths.includes('/poison'));
    expect(lost.length).toBeLessThanOrEqual(2);
    expect(codes.at(-1)).toBe('2005');
    expect((await entry.send('/svc/reads/other')).body).toBe('/other');
  });

  // Guards against the quarantine of a frequent request when a failure domain is lost.
  it('is distinguished from a frequent request that was in flight at lost targets', async () => {
    await startEntry([echoPath, echoPath, echoPath, echoPath]);
    expect((await entry.send('/svc/reads/frequent')).status).toBe(200);
    for (const target of entry.targets.slice(0, 2)) target.setScript(() => target.crash());
    const statuses: number[] = [];
    for (let attempt = 0; attempt < 6; attempt += 1) {
      statuses.push((await entry.send('/svc/reads/frequent')).status);
    }
    expect(statuses.at(-1)).toBe(200);
  });
});

describe('a slow read', () => {
  // Guards against reads that wait for a slow target, and against slots that hedges do not release.
  it('is answered by a second target, and both slots are free afterwards', async () => {
    entry = new EntryFixture([echoPath, echoPath], {hedging: true});
    await entry.start();
    for (let count = 0; count < 20; count += 1) await entry.send('/svc/reads/a');
    const hang: Script = request => void request.resume();
    const [slow, fast] = entry.targets;
    const before = entry.arrivalCount();
    slow?.setScript((request, response, target) => {
      hang(request, response, target);
      fast?.setScript(echoPath);
    });
    fast?.setScript((request, response, target) => {
      hang(request, response, target);
      slow?.setScript(echoPath);
    });
    expect((await entry.send('/svc/reads/hedged')).body).toBe('/hedged');
    expect(entry.arrivalCount()).toBe(before + 2);
    expect(entry.steering.loads().every(load => load.inFlight === 0)).toBe(true);
  });
});

describe('the slot of a request', () => {
  // Guards against slots that leak when a request ends early.
  it.each([
    ['its deadline passed', 'reads', {headers: {'x-request-timeout-ms': '50'}}],
    ['its caller disconnected', 'reads', {}],
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
    const request = entry.openRequest(`/svc/${service}/a`, options);
    request.on('error', () => undefined);
    const answered = name === 'its deadline passed' ? readResponse(request) : undefined;
    request.end();
    await entry.targets[0]?.waitForArrivals(1);
    if (answered === undefined) request.destroy();
    else expect((await answered).headers['x-result-code']).toBe('3004');
    hang = false;
    expect((await entry.send(`/svc/${service}/b`)).body).toBe('/b');
  });

  it('is free again after many callers disconnected while slots were granted', async () => {
    await startEntry([echoPath], 1);
    for (let round = 0; round < 30; round += 1) {
      const requests = Array.from({length: 4}, (_, index) =>
        entry.openRequest(`/svc/reads/${index}`),
      );
      for (const request of requests) request.on('error', () => undefined).end();
      await entry.targets[0]?.waitForArrivals(1 + round);
      for (const request of requests) request.destroy();
    }
    expect((await entry.send('/svc/reads/last')).body).toBe('/last');
    expect(entry.steering.loads().every(load => load.inFlight === 0)).toBe(true);
  });
});

describe('a target that closes idle connections', () => {
  // Guards against a stale pooled connection that makes a request refused or suspected as poison.
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
  it('gets no new requests after it says so in a response', async () => {
    const leaving: Script = (request, response) => {
      response.setHeader('x-target-state', 'leaving');
      echoPath(request, response);
    };
    await startEntry([leaving, echoPath]);
    const sendAtOnce = () => Promise.all(Array.from({length: 6}, () => entry.send('/svc/reads/a')));
    await sendAtOnce();
    const before = entry.targets[0]?.arrivedPaths.length;
    expect(before).toBeGreaterThan(0);
    await sendAtOnce();
    expect(entry.targets[0]?.arrivedPaths.length).toBe(before);
    expect(entry.arrivalCount()).toBe(12);
  });
});

describe('an entry that stops', () => {
  it('answers the requests in flight and asks callers to close their connections', async () => {
    let respond: () => void = () => undefined;
    await startEntry([(_request, response) => (respond = () => void response.end('whole'))]);
    const inFlight = entry.send('/svc/reads/a');
    await entry.targets[0]?.waitForArrivals(1);
    entry.state = 'leaving';
    entry.server.disableKeepAlive();
    const closed = entry.server.close();
    respond();
    const received = await inFlight;
    expect([received.body, received.isComplete]).toEqual(['whole', true]);
    expect(received.headers.connection).toBe('close');
    await closed;
  });
});
