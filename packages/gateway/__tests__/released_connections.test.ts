/** Targets and gateways that send more after an answer: the connection is closed, and nothing of it stays in memory. */
import type {Closing} from '../__fixtures__/raw_target';
import {rawRequestId, RawTarget, receivers} from '../__fixtures__/raw_target';
import {ParsersInUse} from '../__fixtures__/parsers_in_use';

const target = new RawTarget();
let parsers: ParsersInUse;

beforeAll(() => target.start());
beforeEach(() => (parsers = new ParsersInUse()));
afterEach(() => parsers.stop());
afterAll(() => target.stop());

const exchangeCount = 20;
/** Longer than what is read at once, so that the end of the answer is read apart from its head. */
const bodyBytes = 200_000;
const piece = Buffer.alloc(65_536, 'x');

function answerTo(id: string): string {
  const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: s\r\n`;
  return `${head}Content-Length: ${bodyBytes}\r\n\r\n${'x'.repeat(bodyBytes)}`;
}

const answer = Buffer.from(answerTo(rawRequestId));

/** Sends the answer and then the bytes. */
const followedBy =
  (bytes: string): Closing =>
  socket =>
    void socket.write(Buffer.concat([answer, Buffer.from(bytes)]));

const sendWithoutEnd: Closing = socket => {
  const head = `HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n`;
  const writeOn = () => {
    while (!socket.destroyed && socket.write(piece));
  };
  socket.on('drain', writeOn);
  socket.write(Buffer.concat([answer, Buffer.from(head)]));
  writeOn();
};

const requests = [
  {request: 'a read', body: Buffer.alloc(0)},
  {request: 'an upload that it does not read', body: Buffer.alloc(3_000_000)},
] as const;

interface Case {
  readonly name: string;
  readonly send: Closing;
  readonly end?: 'lost';
}

const cases: readonly Case[] = [
  {name: 'nothing', send: followedBy('')},
  {name: 'an answer to another request', send: followedBy(answerTo('other'))},
  {name: 'the same answer', send: followedBy(answerTo(rawRequestId))},
  {name: 'an answer without end', send: sendWithoutEnd},
  {name: 'an interim response', send: followedBy('HTTP/1.1 100 Continue\r\n\r\n')},
  {name: 'bytes that are no answer', send: followedBy('x'.repeat(1_000)), end: 'lost'},
];

/** Guards against a gateway that keeps some hundred kilobytes for each such answer until its memory is full. */
describe.each(receivers.flatMap(receiver => requests.map(request => ({receiver, ...request}))))(
  'a $receiver, $request',
  ({receiver, body}) => {
    test.each(cases)(
      'an answer that is followed by $name',
      async ({send, end: expectedEnd = 'answered'}) => {
        for (let number = 0; number < exchangeCount; number += 1) {
          const end = await target.exchange(Buffer.alloc(0), send, {receiver, body});
          expect(end.kind).toBe(expectedEnd);
        }
        expect(await parsers.remaining()).toBe(0);
      },
    );
  },
);
