import * as http from 'node:http';
import type {ErrorBody} from '@cuminsill/types';
import {systemTime} from '@cuminsill/utils';
import {StandinCaller} from '../src/caller';
import type {CallerRequest} from '../src/caller';
import {listen, requestUrl, sendJson} from '../src/http_server';
import type {RouteHandler, RunningServer} from '../src/http_server';
import {makeAnswerStream} from '../src/target_answer';

const refusal = (code: number, outcome: ErrorBody['outcome'], retryAfterS?: number): ErrorBody => ({
  code,
  name: 'test',
  outcome,
  reason: 'test',
  retryAfterS,
});

const echoWithNumber =
  (numberOf: (request: http.IncomingMessage) => string): RouteHandler =>
  (request, response) => {
    const head = {
      targetId: 't-1',
      serviceId: 's',
      requestNumber: numberOf(request),
      idempotencyKey: '',
      method: '',
      path: '',
    };
    request.pipe(makeAnswerStream(head, 0)).pipe(response);
  };
const echoOwnNumber = echoWithNumber(request =>
  String(request.headers['x-standin-request-number']),
);
const refuse =
  (status: number, body: ErrorBody): RouteHandler =>
  (_request, response) =>
    sendJson(response, status, body);
const loseConnection: RouteHandler = request => void request.socket.destroy();

interface CallerCase {
  readonly name: string;
  readonly handlers: readonly RouteHandler[];
  readonly outcomes?: readonly string[];
  readonly request?: Partial<CallerRequest>;
  readonly expected: object;
}

const cases: readonly CallerCase[] = [
  {
    name: 'accepts a complete answer to its own request',
    handlers: [echoOwnNumber],
    expected: {kind: 'answered', status: 200, isIntact: true, targetId: 't-1', attempts: 1},
  },
  {
    name: 'detects the answer to another request',
    handlers: [echoWithNumber(() => 'other')],
    expected: {kind: 'answered', isIntact: false},
  },
  {
    name: 'retries a request with a not-run refusal after its retryAfterS',
    handlers: [refuse(503, refusal(2001, 'not-run', 0.001)), echoOwnNumber],
    expected: {kind: 'answered', isIntact: true, attempts: 2, notRunRefusals: 1},
  },
  {
    name: 'does not retry after a refusal without retryAfterS',
    handlers: [refuse(400, refusal(1003, 'not-run'))],
    expected: {kind: 'refused', code: 1003, attempts: 1},
  },
  {
    name: 'queries the outcome of an operation until it is known',
    handlers: [refuse(502, refusal(3002, 'unknown'))],
    outcomes: ['unknown', 'run'],
    expected: {kind: 'run', code: 3002},
  },
  {
    name: 'does not report an operation as not run before its deadline',
    handlers: [refuse(502, refusal(3002, 'unknown'))],
    outcomes: ['not-run', 'not-run', 'not-run'],
    expected: {kind: 'unknown', code: 3002},
  },
  {
    name: 'uses the next address when a connection is lost',
    handlers: [loseConnection, echoOwnNumber],
    expected: {kind: 'answered', isIntact: true, attempts: 2},
  },
  {
    name: 'does not repeat an operation without an idempotency key after a lost connection',
    handlers: [loseConnection, echoOwnNumber],
    request: {idempotencyKey: undefined},
    expected: {kind: 'unknown', attempts: 1},
  },
];

describe('StandinCaller', () => {
  let server: RunningServer;
  let caller: StandinCaller;

  async function start(testCase: CallerCase): Promise<void> {
    const handlers = [...testCase.handlers];
    const outcomes = [...(testCase.outcomes ?? [])];
    const instance = {instanceId: 'i', host: '127.0.0.1'};
    const httpServer = http.createServer((request, response) => {
      const {pathname} = requestUrl(request);
      const {port} = server.address;
      if (pathname === '/v1/lookup') {
        const instances = [1, 2].map(() => ({...instance, port}));
        sendJson(response, 200, {instances, maxAgeS: 5});
      } else if (pathname.startsWith('/v1/outcomes/')) {
        sendJson(response, 200, {state: outcomes.shift()});
      } else {
        void handlers.shift()?.(request, response);
      }
    });
    server = await listen(httpServer, '127.0.0.1', 0);
    caller = new StandinCaller(
      {
        lookupAddresses: [server.address],
        localAddress: '127.1.0.1',
        maxAttempts: 3,
        maxOutcomeQueries: 3,
        outcomeIntervalMs: 1,
      },
      systemTime,
    );
  }

  afterEach(async () => {
    caller.close();
    await server.close();
  });

  // Guards against a stand-in that hides or causes the faults that the tests use it to find.
  it.each(cases)('$name', async testCase => {
    await start(testCase);
    const result = await caller.send({
      serviceId: 's',
      method: 'POST',
      path: '/x',
      body: Buffer.from('body'),
      idempotencyKey: 'key',
      timeoutMs: 10_000,
      ...testCase.request,
    });
    expect(result).toMatchObject(testCase.expected);
  });

  it('reports that no instance was reachable', async () => {
    await start(cases[0] as CallerCase);
    await server.close();
    const request = {serviceId: 's', method: 'GET', path: '/', timeoutMs: 10_000};
    expect(await caller.send(request)).toMatchObject({kind: 'unreachable', attempts: 3});
  });
});
