import {once} from 'node:events';
import * as http2 from 'node:http2';
import type {AddressInfo} from 'node:net';
import {PeerSessionManager} from '../src/peer_session_manager';

const server = http2.createServer((_request, response) => void response.end('answer'));

beforeAll(async () => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterAll(() => void server.close());

// Guards against a process that exits when a peer stops: a connection that is no longer used can still emit an error.
it.each<[string, (manager: PeerSessionManager) => Promise<unknown>]>([
  ['replaced by a new one', manager => manager.connect()],
  ['closed', async manager => manager.abort()],
])('keeps an error listener on a connection that is %s', async (_name, dropConnection) => {
  const manager = new PeerSessionManager(
    `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  const stream = await manager.request('GET', '/', {}, {});
  const session = stream.session as http2.ClientHttp2Session;
  stream.resume();
  await once(stream, 'close');
  session.destroy();
  await dropConnection(manager);
  expect(() => session.emit('error', new Error('late error'))).not.toThrow();
  manager.abort();
});
