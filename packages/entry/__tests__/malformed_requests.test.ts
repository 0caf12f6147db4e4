import * as net from 'node:net';
import {EntryFixture} from '../__fixtures__/entry_fixture';
import {echoPath} from '../__fixtures__/scripted_target';

/** Sends text over a new connection and resolves with all data received until the entry closes the connection. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let responses = '';
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    socket.on('data', chunk => (responses += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(responses));
  });
}

const completeRequest = 'GET /svc/reads/a HTTP/1.1\r\nhost: x\r\n\r\n';
const chunkedRequestHead =
  'POST /svc/reads/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n';

// Guards against a crash of the entry when a malformed request arrives while another request is in flight.
it.each([
  ['alone', 'no request\r\n\r\n', ['400']],
  ['after a complete request', `${completeRequest}no request\r\n\r\n`, ['200']],
  [
    'after two complete requests',
    `${completeRequest}${completeRequest}no request\r\n\r\n`,
    ['200', '200'],
  ],
  ['after a request without a host', 'GET / HTTP/1.1\r\n\r\nno request\r\n\r\n', ['400', '400']],
  ['with an unknown expectation', 'GET /readyz HTTP/1.1\r\nhost: x\r\nexpect: x\r\n\r\n', ['400']],
  ['in the body of a request', `${chunkedRequestHead}no length\r\n`, []],
])('refuses a malformed request %s and keeps serving', async (_name, text, statuses) => {
  const entry = new EntryFixture([echoPath]);
  await entry.start();
  const responses = await sendRaw(entry.server.port(), text);
  expect([...responses.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1])).toEqual(statuses);
  expect(responses.match(/x-result-code: 1001/g) ?? []).toHaveLength(
    statuses.filter(status => status === '400').length,
  );
  expect((await entry.send('/svc/reads/b')).body).toBe('/b');
  await entry.stop();
});
