import * as net from 'node:net';
import {EntryFixture} from '../__fixtures__/entry_fixture';
import {echoPath} from '../__fixtures__/scripted_target';

/** Sends text over one connection and resolves with everything that arrives until the entry closes it. */
function received(port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let answers = '';
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    socket.on('data', chunk => (answers += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(answers));
  });
}

const whole = 'GET /svc/reads/a HTTP/1.1\r\nhost: x\r\n\r\n';
const chunked = 'POST /svc/reads/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n';

// Guards against a caller that ends the entry with a malformed request while another one is in flight.
it.each([
  ['alone', 'no request\r\n\r\n', ['400']],
  ['after a whole request', `${whole}no request\r\n\r\n`, ['200']],
  ['after two whole requests', `${whole}${whole}no request\r\n\r\n`, ['200', '200']],
  ['after a request without a host', 'GET / HTTP/1.1\r\n\r\nno request\r\n\r\n', ['400', '400']],
  ['with an unknown expectation', 'GET /readyz HTTP/1.1\r\nhost: x\r\nexpect: x\r\n\r\n', ['400']],
  ['in the body of a request', `${chunked}no length\r\n`, []],
])('answers a malformed request %s and goes on', async (_name, text, statuses) => {
  const entry = new EntryFixture([echoPath]);
  await entry.start();
  const answers = await received(entry.server.port(), text);
  expect([...answers.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1])).toEqual(statuses);
  expect(answers.match(/x-result-code: 1001/g) ?? []).toHaveLength(
    statuses.filter(status => status === '400').length,
  );
  expect((await entry.send('/svc/reads/b')).body).toBe('/b');
  await entry.stop();
});
