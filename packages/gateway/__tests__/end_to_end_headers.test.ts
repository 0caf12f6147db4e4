import {endToEndHeaders} from '../src/requests/end_to_end_headers';

describe('end-to-end headers', () => {
  const cases: ReadonlyArray<readonly [string, readonly string[], readonly string[]]> = [
    ['end-to-end headers are kept', ['X-A', '1', 'Cookie', 'k=1'], ['X-A', '1', 'Cookie', 'k=1']],
    ['hop-by-hop headers are removed', ['Keep-Alive', 'timeout=5', 'Transfer-Encoding', 'x'], []],
    ['headers named by Connection are removed', ['Connection', 'close, X-Hop', 'x-hop', '1'], []],
    ['repeated headers stay separate', ['Via', 'a', 'via', 'b'], ['Via', 'a', 'via', 'b']],
    ['replaced headers are removed', ['Deadline', '5', 'X', '1'], ['X', '1']],
  ];
  test.each(cases)('%s', (_name, raw, expected) => {
    expect(endToEndHeaders(raw, new Set(['deadline']))).toEqual(expected);
  });
});
