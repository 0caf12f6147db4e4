/**
 * Answers with changed bytes. A seed runs in CI; with the environment variable `CUMINSILL_FUZZ_RUNS`, that many cases of a new
 * seed run.
 */
import * as http from 'node:http';
import fc from 'fast-check';
import {closings, rawRequestId, RawTarget} from '../__fixtures__/raw_target';
import {endToEndHeaders} from '../src/requests/end_to_end_headers';

const target = new RawTarget();

beforeAll(() => target.start());
afterAll(() => target.stop());

const answer = Buffer.from(
  `HTTP/1.1 200 OK\r\nRequest-Id: ${rawRequestId}\r\nResponse-Stamp: s\r\nServer-Load: 1,0,3\r\n` +
    'Content-Length: 11\r\n\r\nhello world',
  'latin1',
);

const fuzzRuns = process.env['CUMINSILL_FUZZ_RUNS'];
const parameters = fuzzRuns === undefined ? {numRuns: 300, seed: 48} : {numRuns: Number(fuzzRuns)};

interface Edit {
  readonly kind: 'replace' | 'insert' | 'remove';
  readonly at: number;
  readonly byte: number;
}

/** Bytes that matter to the grammar come more often than others. */
const byteArbitrary = fc.oneof(
  fc.integer({min: 0, max: 255}),
  fc.constantFrom(...Buffer.from('\r\n\t :;,0\u0007')),
);
const editArbitrary: fc.Arbitrary<Edit> = fc.record({
  kind: fc.constantFrom('replace', 'insert', 'remove'),
  at: fc.integer({min: 0, max: answer.length - 1}),
  byte: byteArbitrary,
});

const insertedBytes = {replace: 1, insert: 1, remove: 0} as const;
const removedBytes = {replace: 1, insert: 0, remove: 1} as const;

function applyEdit(bytes: Buffer, {kind, at, byte}: Edit): Buffer {
  const inserted = Buffer.alloc(insertedBytes[kind], byte);
  return Buffer.concat([bytes.subarray(0, at), inserted, bytes.subarray(at + removedBytes[kind])]);
}

/** Writes a head as the gateway does for its callers; throws if Node refuses it. */
function writeHead(status: number, statusText: string, rawHeaders: readonly string[]): void {
  const response = new http.ServerResponse({method: 'GET'} as http.IncomingMessage);
  response.writeHead(status, statusText, endToEndHeaders(rawHeaders, new Set()));
}

/** Guards against an answer that the parser accepts, the gateway passes on, and the writer refuses. */
test('an answer that is accepted can be written', async () => {
  const property = fc.asyncProperty(
    fc.array(editArbitrary, {minLength: 1, maxLength: 3}),
    async edits => {
      const end = await target.exchange(edits.reduce(applyEdit, answer), closings['half-closes']);
      if (end.kind !== 'answered') return;
      const {status, statusText, rawHeaders} = end.answer;
      writeHead(status, statusText, rawHeaders);
    },
  );
  await fc.assert(property, parameters);
});

/** Each byte at each place of the head, one at a time. */
test('every single byte in the places of the head that are passed on', async () => {
  const text = answer.toString('latin1');
  const places = ['200', 'OK', 'Server-Load', '1,0,3'].map(part => text.indexOf(part) + 1);
  const kinds = new Set<string>();
  for (const at of places) {
    for (let byte = 0; byte <= 255; byte += 1) {
      const edited = applyEdit(answer, {kind: 'replace', at, byte});
      const end = await target.exchange(edited, closings['half-closes']);
      kinds.add(end.kind);
      if (end.kind === 'answered') {
        writeHead(end.answer.status, end.answer.statusText, end.answer.rawHeaders);
      }
    }
  }
  expect(kinds).toEqual(new Set(['answered', 'lost']));
});
