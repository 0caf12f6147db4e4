/** Targets and other gateways whose answers have heads that break the grammar of HTTP. */
import {closings, rawRequestId, RawTarget, receivers} from '../__fixtures__/raw_target';

const target = new RawTarget();

beforeAll(() => target.start());
afterAll(() => target.stop());

const unframed = `Request-Id: ${rawRequestId}\r\nResponse-Stamp: s\r\n`;
const headers = `${unframed}Content-Length: 2\r\n`;

const cases = [
  {name: 'a sound head', answer: `HTTP/1.1 200 OK\r\n${headers}\r\nok`, end: 'answered'},
  {
    name: 'a sound head behind empty lines and an interim response',
    answer: `\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n${headers}\r\nok`,
    end: 'answered',
  },
  {
    name: 'a sound head before a body with a line that begins with a blank',
    answer: `HTTP/1.1 200 OK\r\n${headers.replace('2', '6')}\r\na\r\n bc`,
    end: 'answered',
  },
  {name: 'status 000', answer: `HTTP/1.1 000 OK\r\n${headers}\r\nok`, end: 'lost'},
  {name: 'status 100', answer: `HTTP/1.1 100 OK\r\n${headers}\r\nok`, end: 'lost'},
  {name: 'status 101', answer: `HTTP/1.1 101 OK\r\n${headers}\r\nok`, end: 'lost'},
  {name: 'status 199', answer: `HTTP/1.1 199 OK\r\n${headers}\r\nok`, end: 'lost'},
  {name: 'status 600', answer: `HTTP/1.1 600 OK\r\n${headers}\r\nok`, end: 'lost'},
  {name: 'status 999', answer: `HTTP/1.1 999 OK\r\n${headers}\r\nok`, end: 'lost'},
  {
    name: 'a blank within a name',
    answer: `HTTP/1.1 200 OK\r\nServer Load: 1\r\n${headers}\r\nok`,
    end: 'lost',
  },
  {
    name: 'a blank at the start of a name',
    answer: `HTTP/1.1 200 OK\r\n${headers} Server-Load: 1\r\n\r\nok`,
    end: 'lost',
  },
  {
    name: 'a control byte in a name',
    answer: `HTTP/1.1 200 OK\r\nServer\x01Load: 1\r\n${headers}\r\nok`,
    end: 'lost',
  },
  {
    name: 'a body in chunks',
    answer: `HTTP/1.1 200 OK\r\n${unframed}Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
    end: 'answered',
  },
  {
    name: 'a compressed transfer without chunks',
    answer: `HTTP/1.1 200 OK\r\n${unframed}Transfer-Encoding: gzip\r\n\r\nok`,
    end: 'lost',
  },
  {
    name: 'a compressed transfer in chunks',
    answer: `HTTP/1.1 200 OK\r\n${unframed}Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
    end: 'lost',
  },
] as const;

/** Guards against a malformed head that reaches a caller, and against sound heads that count as malformed. */
describe.each(receivers)('a %s', receiver => {
  test.each(cases)('$name: $end', async ({answer, end}) => {
    const bytes = Buffer.from(answer, 'latin1');
    const result = await target.exchange(bytes, closings['half-closes'], {receiver});
    expect(result.kind).toBe(end);
  });
});
