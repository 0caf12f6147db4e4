/** Lines of heads that begin with white space. */
import {hasFoldedLine} from '../src/http_syntax';

const status = 'HTTP/1.1 200 OK\r\n';
const interim = 'HTTP/1.1 100 Continue\r\n\r\n';

const cases = [
  {name: 'a sound head', text: `${status}A: b\r\n\r\n`, headCount: 1, isFolded: false},
  {name: 'a blank in front', text: `${status}A: b\r\n C: d\r\n\r\n`, headCount: 1, isFolded: true},
  {name: 'a tab in front', text: `${status}A: b\r\n\tC: d\r\n\r\n`, headCount: 1, isFolded: true},
  {name: 'a blank in the first line', text: `${status} A: b\r\n\r\n`, headCount: 1, isFolded: true},
  {name: 'a bare line feed', text: `${status}A: b\n C: d\r\n\r\n`, headCount: 1, isFolded: true},
  {
    name: 'a blank in the body',
    text: `${status}A: b\r\n\r\nx\r\n y`,
    headCount: 1,
    isFolded: false,
  },
  {
    name: 'empty lines before it',
    text: `\r\n\r\n${status}\r\n\r\n y`,
    headCount: 1,
    isFolded: false,
  },
  {name: 'an interim response', text: `${interim}${status}\r\n`, headCount: 2, isFolded: false},
  {
    name: 'a fold behind an interim response',
    text: `${interim}${status}A: b\r\n C: d\r\n\r\n`,
    headCount: 2,
    isFolded: true,
  },
  {name: 'no end', text: `${status}A: b\r\n`, headCount: 1, isFolded: true},
] as const;

/** Guards against a folded line that is overlooked, and against a body that is taken for a head. */
test.each(cases)('$name: $isFolded', ({text, headCount, isFolded}) => {
  expect(hasFoldedLine(Buffer.from(text, 'latin1'), headCount)).toBe(isFolded);
});
