/** Answers without a length: a close in order ends them, a reset cuts them. */
import type {Closing} from '../__fixtures__/raw_target';
import {closings, rawRequestId, RawTarget, receivers} from '../__fixtures__/raw_target';

const target = new RawTarget();

beforeAll(() => target.start());
afterAll(() => target.stop());

const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${rawRequestId}\r\nResponse-Stamp: s\r\n`;
const unframed = Buffer.from(`${head}\r\nhello world`);
const framed = Buffer.from(`${head}Content-Length: 11\r\n\r\nhello world`);
const upload = Buffer.alloc(3_000_000);
const read = Buffer.alloc(0);

/** The kernel resets a connection that is closed with unread bytes. */
const closeUnread: Closing = (socket, answer) => {
  socket.write(answer);
  socket.destroy();
};

interface Case {
  readonly name: string;
  readonly answer: Buffer;
  readonly body: Buffer;
  readonly close: Closing;
  readonly end: 'answered' | 'lost';
}

const cases: readonly Case[] = [
  {
    name: 'an upload, reset behind a part of the answer',
    answer: unframed,
    body: upload,
    close: closings['resets at once'],
    end: 'lost',
  },
  {
    name: 'an upload, closed while most of it is unread',
    answer: unframed,
    body: upload,
    close: closeUnread,
    end: 'lost',
  },
  {
    name: 'a read, reset behind a part of the answer',
    answer: unframed,
    body: read,
    close: closings['resets at once'],
    end: 'lost',
  },
  {
    name: 'an upload, answered early and closed in order',
    answer: unframed,
    body: upload,
    close: closings['half-closes'],
    end: 'answered',
  },
  {
    name: 'a read, closed in order',
    answer: unframed,
    body: read,
    close: closings['half-closes'],
    end: 'answered',
  },
  {
    name: 'a read, reset behind a whole answer with a length',
    answer: framed,
    body: read,
    close: closings['resets at once'],
    end: 'answered',
  },
];

/** Guards against a part of an answer that counts as the whole, and against whole ones that do not count. */
describe.each(receivers)('a %s', receiver => {
  test.each(cases)('$name: $end', async ({answer, body, close, end}) => {
    const result = await target.exchange(answer, close, {receiver, body});
    expect(result.kind).toBe(end);
  });
});
