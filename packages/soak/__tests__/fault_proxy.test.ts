/** Guards against a proxy that loses or adds data where a faulty network link would only delay it. */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';
import {once} from 'node:events';
import {FaultProxy, healthyLink} from '../src';

let server: net.Server;
let proxy: FaultProxy;
let received: string[];
let client: net.Socket;
let port: number;

beforeEach(async () => {
  received = [];
  server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('end', () => received.push('end'));
    socket.on('data', data => {
      received.push(data.toString('utf8'));
      socket.write(`echo ${data.toString('utf8')}`);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  proxy = new FaultProxy({host: '127.0.0.1', port: (server.address() as AddressInfo).port});
  port = await proxy.start();
  client = net.connect(port, '127.0.0.1');
  client.on('error', () => undefined);
  await once(client, 'connect');
});

afterEach(() => {
  client.destroy();
  proxy.stop();
  server.close();
});

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
}

async function nextAnswer(): Promise<string> {
  const [data] = (await once(client, 'data')) as [Buffer];
  return data.toString('utf8');
}

test('forwards data in both directions, with and without a delay', async () => {
  client.write('a');
  expect(await nextAnswer()).toBe('echo a');
  proxy.setState({...healthyLink, delayMs: 20});
  client.write('b');
  expect(await nextAnswer()).toBe('echo b');
});

test('holds data back while one direction is cut, and delivers it afterwards', async () => {
  proxy.setState({...healthyLink, passesForward: false});
  client.write('held');
  await new Promise(resolve => setTimeout(resolve, 30));
  expect(received).toEqual([]);
  proxy.setState(healthyLink);
  expect(await nextAnswer()).toBe('echo held');
});

test('delivers held-back data even if the sender has closed its connection meanwhile', async () => {
  proxy.setState({...healthyLink, passesForward: false});
  client.end('last');
  await new Promise(resolve => setTimeout(resolve, 30));
  proxy.setState(healthyLink);
  await waitUntil(() => received.includes('end'));
  expect(received).toEqual(['last', 'end']);
});

test('delivers requests while only the direction of the answers is cut', async () => {
  proxy.setState({...healthyLink, passesBack: false});
  client.write('a');
  await waitUntil(() => received.length === 1);
  proxy.setState(healthyLink);
  expect(await nextAnswer()).toBe('echo a');
});

test('resets open connections and accepts new ones', async () => {
  const closed = new Promise(resolve => client.once('close', resolve));
  proxy.resetConnections();
  await closed;
  client = net.connect(port, '127.0.0.1');
  await once(client, 'connect');
  client.write('again');
  expect(await nextAnswer()).toBe('echo again');
});
