/** Targets and gateways that send an answer twice: the copy must never become the answer to another request. */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';
import {systemTime} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {Exchange, ExchangeEnd} from '../src/forwarding/target_exchange';
import {exchangeWithTarget} from '../src/forwarding/target_exchange';
import {classifyRelayed} from '../src/forwarding/relay_exchange';
import {classifyResponse} from '../src/forwarding/judge_response';
import {BodyMemory, bodyRoomOf} from '../src/memory/body_memory';
import type {CallerRequest} from '../src/requests/caller_request';
import type {RequestWire} from '../src/requests/request_wire';
import {TargetConnections} from '../src/targets/target_connections';

const requestWire = {
  readTarget: ({headers}) => ({requestId: headers['request-id'], signed: true}),
} as RequestWire;

/** When the copy of the first answer is sent. */
type CopyTime = 'in the same packet' | 'while the connection is idle' | 'after the next request';

const copyTimes: readonly CopyTime[] = [
  'in the same packet',
  'while the connection is idle',
  'after the next request',
];

const answerTo = (id: string) =>
  `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`;

let server: net.Server;
/** Connection on which the first request was answered. */
let firstConnection: net.Socket | undefined;
let connections: TargetConnections;

beforeEach(() => (connections = new TargetConnections(net.connect)));
afterEach(() => {
  connections.destroy();
  server.close();
});

/** Answers each request with its id, and the first one again. */
async function startServer(copyTime: CopyTime): Promise<void> {
  let hasCopied = false;
  server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', data => {
      const id = /request-id: (.*)\r/i.exec(String(data))?.[1] ?? '';
      const isFirst = id === 'first';
      if (isFirst) firstConnection = socket;
      if (isFirst && copyTime === 'in the same packet') socket.write(answerTo(id));
      socket.write(answerTo(id));
    });
    socket.prependListener('data', data => {
      if (hasCopied || copyTime !== 'after the next request') return;
      hasCopied = !String(data).includes('first');
      if (hasCopied) socket.write(answerTo('first'));
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
}

/** Sends the copy and waits until the gateway has closed the connection because of it. */
async function sendCopyWhileIdle(): Promise<void> {
  const connection = firstConnection;
  if (connection === undefined) throw new Error('no request was received');
  const closed = new Promise(resolve => connection.once('close', resolve));
  connection.write(answerTo('first'));
  await closed;
}

function exchange(id: string, classify: Exchange['classify']): Promise<ExchangeEnd> {
  const {port} = server.address() as AddressInfo;
  return Effect.runPromise(
    exchangeWithTarget({
      request: requestOf(id),
      receiver: {id: 'target', address: {host: '127.0.0.1', port}},
      addedHeaders: {},
      replacedHeaders: new Set(),
      classify,
      connections,
      memory: new BodyMemory(bodyRoomOf(350)),
      time: systemTime,
      remainingMs: 2_000,
      connectTimeoutMs: 1_000,
      isAtMostOnce: false,
      onConnected: () => undefined,
    }),
  );
}

function requestOf(id: string): CallerRequest {
  const rawHeaders = ['Host', 'one.example', 'Request-Id', id];
  const request = {requestId: id, method: 'GET', path: '/', body: Buffer.alloc(0), rawHeaders};
  return request as unknown as CallerRequest;
}

type Classifier = (id: string) => Exchange['classify'];

const targetClassifier: Classifier = id => response =>
  classifyResponse(response, requestOf(id), requestWire);
const relayClassifier: Classifier = id => response =>
  classifyRelayed(requestWire, requestOf(id), response);
const receivers: ReadonlyArray<readonly [string, Classifier]> = [
  ['target', targetClassifier],
  ['relay', relayClassifier],
];

describe.each(receivers)('a %s that answers twice', (_name, classifierOf) => {
  test.each(copyTimes)('%s', async copyTime => {
    await startServer(copyTime);
    const bodies: string[] = [];
    for (const id of ['first', 'second', 'third']) {
      const end = await exchange(id, classifierOf(id));
      bodies.push(end.kind === 'answered' ? `${id} ${String(end.answer.body)}` : id);
      if (id === 'first' && copyTime === 'while the connection is idle') await sendCopyWhileIdle();
    }
    const isLost = copyTime === 'after the next request';
    expect(bodies).toEqual(['first first', isLost ? 'second' : 'second second', 'third third']);
  });
});
