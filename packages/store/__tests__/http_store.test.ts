/** A store, or a proxy before it, whose answers are broken: a part of a value must not count as the value. */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';
import {Effect} from 'effect';
import {HttpStore} from '../src/http_store';

let server: net.Server;
let store: HttpStore;

afterEach(() => {
  store.close();
  server.close();
});

/** Sends the bytes to each call, and ends the connection in the same turn of the event loop. */
async function startStore(bytes: string, end: (socket: net.Socket) => void): Promise<void> {
  server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(bytes);
      end(socket);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  store = new HttpStore({host: '127.0.0.1', port, timeoutMs: 2_000});
}

const closeInOrder = (socket: net.Socket) => void socket.end();
const reset = (socket: net.Socket) => void socket.resetAndDestroy();
const unframed = 'HTTP/1.1 200 OK\r\nx-version: 7\r\n\r\nvalue';

const cases = [
  {name: 'closed in order', bytes: unframed, end: closeInOrder, read: 'value', write: 7n},
  {
    name: 'reset',
    bytes: unframed,
    end: reset,
    read: 'StoreUnavailableError',
    write: 'StoreAmbiguousError',
  },
  {
    name: 'malformed',
    bytes: unframed.replace('x-version', ' x-version'),
    end: closeInOrder,
    read: 'StoreUnavailableError',
    write: 'StoreAmbiguousError',
  },
] as const;

/** Guards against a part of a value that counts as the whole, and against a write that counts as done. */
test.each(cases)('an answer without a length: $name', async ({bytes, end, read, write}) => {
  await startStore(bytes, end);
  const value = Effect.map(store.get('key'), object => String(object?.value));
  const readResult = Effect.catchAll(value, ({_tag}) => Effect.succeed(_tag));
  expect(await Effect.runPromise(readResult)).toBe(read);
  const written = Effect.catchAll(store.create('key', Buffer.from('x')), ({_tag}) =>
    Effect.succeed(_tag),
  );
  expect(await Effect.runPromise(written)).toBe(write);
});
