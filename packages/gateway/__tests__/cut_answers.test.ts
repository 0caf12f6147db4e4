/** Targets that stop in the middle of an answer and close: no part of an answer may count as a whole one. */
import {closings, rawRequestId, RawTarget} from '../__fixtures__/raw_target';

const target = new RawTarget();

beforeAll(() => target.start());
afterAll(() => target.stop());

const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${rawRequestId}\r\nResponse-Stamp: s\r\n`;
const framings = [
  {framing: 'with a length', answer: `${head}Content-Length: 11\r\n\r\nhello world`},
  {
    framing: 'in chunks',
    answer: `${head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n`,
  },
  {framing: 'with an empty body', answer: `${head}Content-Length: 0\r\n\r\n`},
] as const;
const closingNames = Object.keys(closings) as ReadonlyArray<keyof typeof closings>;
const cases = framings.flatMap(framing => closingNames.map(closing => ({...framing, closing})));

/** Guards against a 200 with an empty or short body that looks whole to the caller. */
test.each(cases)(
  'an answer $framing, cut at each byte by a target that $closing',
  async ({answer, closing}) => {
    const ends: string[] = [];
    for (let length = 0; length < answer.length; length += 1) {
      const part = Buffer.from(answer.slice(0, length));
      ends.push((await target.exchange(part, closings[closing])).kind);
    }
    expect(new Set(ends)).toEqual(new Set(['lost']));
  },
);
