/** Test fixture: a target that answers with bytes of the test's choice, and exchanges with it. */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';
import {systemTime} from '@cuminsill/utils';
import {Effect} from 'effect';
import {classifyResponse} from '../src/forwarding/judge_response';
import {classifyRelayed} from '../src/forwarding/relay_exchange';
import type {Exchange, ExchangeEnd} from '../src/forwarding/target_exchange';
import {exchangeWithTarget} from '../src/forwarding/target_exchange';
import {BodyMemory, bodyRoomOf} from '../src/memory/body_memory';
import type {CallerRequest} from '../src/requests/caller_request';
import type {RequestWire} from '../src/requests/request_wire';
import {TargetConnections} from '../src/targets/target_connections';

/** Id of all requests to the target. */
export const rawRequestId = 'r-1';

const requestWire = {
  readTarget: ({headers}) => ({
    requestId: headers['request-id'],
    signed: headers['response-stamp'] !== undefined,
  }),
} as RequestWire;

/** A read, or with a body an upload. */
function requestWith(body: Buffer): CallerRequest {
  return {
    requestId: rawRequestId,
    method: body.length === 0 ? 'GET' : 'POST',
    path: '/',
    body,
    rawHeaders: ['Host', 'one.example', 'Request-Id', rawRequestId],
  } as unknown as CallerRequest;
}

/** Who answers: a target, or another gateway that relays the request. */
export type Receiver = 'target' | 'relay';

/** Makes the judge of a receiver's responses. */
type Classifier = (request: CallerRequest) => Exchange['classify'];

const classifiers: Readonly<Record<Receiver, Classifier>> = {
  target: request => response => classifyResponse(response, request, requestWire),
  relay: request => response => classifyRelayed(requestWire, request, response),
};

/** Names of the receivers, for tables of cases. */
export const receivers = Object.keys(classifiers) as readonly Receiver[];

/** How the target ends a connection: writes its bytes and closes. It reads nothing more of the request. */
export type Closing = (socket: net.Socket, answer: Buffer) => void;

/** Closings by name, for tables of cases. */
export const closings = {
  'half-closes': (socket, answer) => void socket.end(answer),
  resets: (socket, answer) => {
    if (answer.length === 0) socket.resetAndDestroy();
    else socket.write(answer, () => socket.resetAndDestroy());
  },
  // The answer and the reset arrive together.
  'resets at once': (socket, answer) => {
    socket.write(answer);
    socket.resetAndDestroy();
  },
} as const satisfies Readonly<Record<string, Closing>>;

/** Parameters of an exchange that differ from its default: a read at a target. */
export interface RawExchangeOptions {
  readonly receiver?: Receiver;
  /** Body of the request. */
  readonly body?: Buffer;
}

/** The target. */
export class RawTarget {
  private answer: Buffer = Buffer.alloc(0);
  private close: Closing = closings['half-closes'];
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      this.close(socket, this.answer);
    });
  });

  async start(): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
  }

  /** A connection whose bytes are not read does not notice that the other side has closed it. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Sends a request on a connection of its own; the target answers with these bytes and closes. */
  exchange(
    answer: Buffer,
    close: Closing,
    {receiver = 'target', body = Buffer.alloc(0)}: RawExchangeOptions = {},
  ): Promise<ExchangeEnd> {
    this.answer = answer;
    this.close = close;
    const request = requestWith(body);
    const connections = new TargetConnections(net.connect);
    const {port} = this.server.address() as AddressInfo;
    return Effect.runPromise(
      exchangeWithTarget({
        request,
        receiver: {id: 'target', address: {host: '127.0.0.1', port}},
        addedHeaders: {},
        replacedHeaders: new Set(),
        classify: classifiers[receiver](request),
        connections,
        memory: new BodyMemory(bodyRoomOf(350)),
        time: systemTime,
        remainingMs: 5_000,
        connectTimeoutMs: 5_000,
        isAtMostOnce: true,
        onConnected: () => undefined,
      }),
    ).finally(() => connections.destroy());
  }
}
