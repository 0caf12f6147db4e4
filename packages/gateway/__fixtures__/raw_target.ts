/** Test fixture: a target that answers with bytes of the test's choice, and exchanges with it. */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';
import {systemTime} from '@cuminsill/utils';
import {Effect} from 'effect';
import {classifyResponse} from '../src/forwarding/judge_response';
import type {ExchangeEnd} from '../src/forwarding/target_exchange';
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

const request = {
  requestId: rawRequestId,
  method: 'GET',
  path: '/',
  body: Buffer.alloc(0),
  rawHeaders: ['Host', 'one.example', 'Request-Id', rawRequestId],
} as unknown as CallerRequest;

/** How the target closes a connection after its bytes. */
export type Closing = (socket: net.Socket) => void;

/** Closings by name, for tables of cases. */
export const closings = {
  'half-closes': socket => void socket.end(),
  resets: socket => void socket.resetAndDestroy(),
} as const satisfies Readonly<Record<string, Closing>>;

/** The target. */
export class RawTarget {
  private answer: Buffer = Buffer.alloc(0);
  private close: Closing = closings['half-closes'];
  private readonly connections = new TargetConnections(net.connect);
  private readonly server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      if (this.answer.length === 0) this.close(socket);
      else socket.write(this.answer, () => this.close(socket));
    });
  });

  async start(): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
  }

  stop(): void {
    this.connections.destroy();
    this.server.close();
  }

  /** Sends a request on a connection of its own; the target answers with these bytes and closes. */
  exchange(answer: Buffer, close: Closing): Promise<ExchangeEnd> {
    this.answer = answer;
    this.close = close;
    const {port} = this.server.address() as AddressInfo;
    return Effect.runPromise(
      exchangeWithTarget({
        request,
        receiver: {id: 'target', address: {host: '127.0.0.1', port}},
        addedHeaders: {},
        replacedHeaders: new Set(),
        classify: response => classifyResponse(response, request, requestWire),
        connections: this.connections,
        memory: new BodyMemory(bodyRoomOf(350)),
        time: systemTime,
        remainingMs: 5_000,
        connectTimeoutMs: 5_000,
        isAtMostOnce: true,
        onConnected: () => undefined,
      }),
    );
  }
}
