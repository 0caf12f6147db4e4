import {endToEndHeaders, groupHeaders} from '../src/end_to_end_headers';

describe('headers for the next hop', () => {
  const cases: ReadonlyArray<readonly [string, readonly string[], Record<string, unknown>]> = [
    ['others pass', ['X-A', '1', 'Cookie', 'k=1'], {'X-A': '1', Cookie: 'k=1'}],
    ['those of one connection do not', ['Keep-Alive', 'timeout=5', 'Transfer-Encoding', 'x'], {}],
    ['those named by Connection do not', ['Connection', 'close, X-Hop', 'x-hop', '1'], {}],
    ['repeated ones stay apart', ['Via', 'a', 'via', 'b'], {Via: ['a', 'b']}],
    ['replaced ones do not', ['Deadline', '5', 'X', '1'], {X: '1'}],
  ];
  test.each(cases)('%s', (_name, raw, expected) => {
    expect(groupHeaders(endToEndHeaders(raw, new Set(['deadline'])))).toEqual(expected);
  });
});
