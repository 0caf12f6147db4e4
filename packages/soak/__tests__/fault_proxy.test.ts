/** Guards against a proxy that loses or invents what a link in trouble would only hold back. */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';
import {once} from 'node:events';
import {FaultProxy, soundLink} from '../src';

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

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
}

async function answer(): Promise<string> {
  const [data] = (await once(client, 'data')) as [Buffer];
  return data.toString('utf8');
}

test('passes both directions, also with a delay', async () => {
  client.write('a');
  expect(await answer()).toBe('echo a');
  proxy.set({...soundLink, delayMs: 20});
  client.write('b');
  expect(await answer()).toBe('echo b');
});

test('holds data back while a direction is cut and delivers it afterwards', async () => {
  proxy.set({...soundLink, passesForward: false});
  client.write('held');
  await new Promise(resolve => setTimeout(resolve, 30));
  expect(received).toEqual([]);
  proxy.set(soundLink);
  expect(await answer()).toBe('echo held');
});

test('delivers what was held back after its sender has closed', async () => {
  proxy.set({...soundLink, passesForward: false});
  client.end('last');
  await new Promise(resolve => setTimeout(resolve, 30));
  proxy.set(soundLink);
  await until(() => received.includes('end'));
  expect(received).toEqual(['last', 'end']);
});

test('runs requests whose answers a cut holds back', async () => {
  proxy.set({...soundLink, passesBack: false});
  client.write('a');
  await until(() => received.length === 1);
  proxy.set(soundLink);
  expect(await answer()).toBe('echo a');
});

test('resets open connections and takes new ones', async () => {
  const closed = new Promise(resolve => client.once('close', resolve));
  proxy.reset();
  await closed;
  client = net.connect(port, '127.0.0.1');
  await once(client, 'connect');
  client.write('again');
  expect(await answer()).toBe('echo again');
});
