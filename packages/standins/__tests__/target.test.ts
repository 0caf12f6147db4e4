import * as http from 'node:http';
import type {Target} from '@cuminsill/types';
import {ManualTime, seededRandom, systemTime} from '@cuminsill/utils';
import type {TimeSource} from '@cuminsill/utils';
import {makeDeployment} from '../src/example_deployments';
import {exchange} from '../src/http_exchange';
import type {ExchangeResult} from '../src/http_exchange';
import {StandinTarget} from '../src/target';
import {checkAnswer} from '../src/target_answer';
import {defaultTargetMode} from '../src/target_mode';
import type {TargetMode} from '../src/target_mode';

const catalogTarget = makeDeployment('carpas').catalog.targets[0]!;

describe('StandinTarget', () => {
  const agent = new http.Agent({keepAlive: true});
  let target: StandinTarget;
  let port: number;

  async function start(
    mode: Partial<TargetMode>,
    changes: Partial<Target> = {},
    time: TimeSource = systemTime,
  ): Promise<void> {
    target = new StandinTarget(
      {...catalogTarget, slots: 2, address: {host: '127.0.0.1', port: 0}, ...changes},
      {...defaultTargetMode, serviceMs: 0, ...mode},
      seededRandom(1),
      time,
    );
    port = await target.start();
  }

  function send(path: string, headers: Record<string, string> = {}, body = Buffer.alloc(0)) {
    const method = body.byteLength === 0 ? 'GET' : 'POST';
    const address = {host: '127.0.0.1', port};
    return exchange({address, method, path, headers, body, timeoutMs: 10_000, agent});
  }

  const statusOf = (result: ExchangeResult) =>
    result.kind === 'answered' ? result.status : result.kind;
  const bodyOf = (result: ExchangeResult) =>
    result.kind === 'answered' ? (JSON.parse(String(result.body)) as unknown) : result.kind;

  async function inFlightReaches(count: number): Promise<void> {
    while (target.statistics().inFlight !== count) await new Promise(setImmediate);
  }

  afterEach(async () => {
    await target.close();
    agent.destroy();
  });

  // Guards against callers that accept an answer that is truncated or belongs to another request.
  it('echoes bodies so that a caller can tell whether the answer is complete and its own', async () => {
    await start({});
    const body = Buffer.from('line 1\nline 2\n'.repeat(10_000));
    const headers = {'x-standin-request-number': '7', 'x-standin-answer-bytes': '2000'};
    const result = await send('/x', headers, body);
    if (result.kind !== 'answered') throw new Error(result.detail);
    expect(checkAnswer(result.body, '7', body)).toMatchObject({isIntact: true});
    expect(checkAnswer(result.body, '8', body)).toMatchObject({isIntact: false});
    expect(checkAnswer(result.body, '7', Buffer.from('other'))).toMatchObject({isIntact: false});
    expect(checkAnswer(result.body.subarray(0, -10), '7', body)).toMatchObject({isIntact: false});
  });

  it('rejects requests above its slots and records the most requests at a time', async () => {
    await start({serviceMs: 60_000}, {slots: 1});
    void send('/a');
    await inFlightReaches(1);
    expect(statusOf(await send('/b'))).toBe(503);
    expect(target.statistics()).toMatchObject({peakInFlight: 1, peakOffered: 2, shed: 1});
  });

  it('counts the runs of each idempotency key, but not rejected requests', async () => {
    await start({}, {slots: 1});
    await send('/a', {'idempotency-key': 'first'});
    await send('/a', {'idempotency-key': 'first'});
    await target.changeMode({serviceMs: 60_000});
    void send('/a');
    await inFlightReaches(1);
    await send('/b', {'idempotency-key': 'second'});
    expect(bodyOf(await send('/runs'))).toMatchObject({runs: {first: 2}});
  });

  it.each([
    [{}, 200, {state: 'healthy'}, {inFlight: 0, slots: 2}],
    [
      {statedHealth: 'failing', statedLoad: 'full'},
      503,
      {state: 'failing'},
      {inFlight: 2, slots: 2},
    ],
  ] as const)('reports its health and load with %j', async (mode, status, health, load) => {
    await start(mode);
    const answer = await send('/health');
    expect([statusOf(answer), bodyOf(answer)]).toEqual([status, health]);
    expect(bodyOf(await send('/load'))).toEqual(load);
  });

  it('announces that it is leaving, later in health reports that lag', async () => {
    const time = new ManualTime();
    await start({reportLagMs: 1000}, {}, time);
    time.advance(5000);
    await target.changeMode({state: 'leaving'});
    expect(bodyOf(await send('/health'))).toEqual({state: 'healthy'});
    time.advance(1000);
    expect(bodyOf(await send('/health'))).toEqual({state: 'leaving'});
    const answer = await send('/work');
    expect(answer).toMatchObject({status: 200, headers: {'x-target-state': 'leaving'}});
    expect(target.statistics().lastWorkAfterLeavingMs).toBe(1000);
  });

  it('cancels a request at its deadline', async () => {
    await start({serviceMs: 60_000});
    expect(statusOf(await send('/slow', {'x-request-timeout-ms': '20'}))).toBe(504);
    expect(target.statistics()).toMatchObject({deadlineExceeded: 1, inFlight: 0});
  });

  it('cancels the request of a caller that closes its connection', async () => {
    await start({serviceMs: 60_000});
    const socketAgent = new http.Agent();
    const request = http.get({host: '127.0.0.1', port, path: '/slow', agent: socketAgent});
    request.on('error', () => undefined);
    await inFlightReaches(1);
    request.destroy();
    await inFlightReaches(0);
    expect(target.statistics()).toMatchObject({cancelled: 1, answered: 0});
  });

  it('closes its connections in a crash, counts the run, and restarts', async () => {
    await start({serviceMs: 60_000, crashMs: 50});
    const waiting = send('/waiting');
    await inFlightReaches(1);
    const crash = await send('/bad', {'x-standin-crash': '1', 'idempotency-key': 'bad'});
    expect([statusOf(crash), statusOf(await waiting)]).toEqual(['lost', 'lost']);
    expect(target.statistics()).toMatchObject({crashes: 1, cut: 1, runs: {bad: 1}});
    let health = await send('/health');
    while (health.kind !== 'answered') health = await send('/health');
    expect(health.status).toBe(200);
  });

  it('refuses connections above its limit', async () => {
    await start({serviceMs: 60_000}, {maxConnections: 1});
    void send('/a');
    await inFlightReaches(1);
    expect(statusOf(await send('/b'))).toBe('lost');
    expect(target.statistics().refusedConnections).toBe(1);
  });
});
