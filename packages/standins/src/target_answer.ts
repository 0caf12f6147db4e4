/**
 * Format of the answer of a stand-in target: a line of JSON, the echoed body, filler bytes and a last line of JSON. From
 * the request number and the digest a caller can tell that it received the complete answer to its own request.
 */
import {createHash} from 'node:crypto';
import {Transform} from 'node:stream';

/** First line of an answer. */
export interface AnswerHead {
  readonly targetId: string;
  readonly serviceId: string;
  readonly requestNumber: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly path: string;
}

/** Last line of an answer. */
export interface AnswerTail {
  /** SHA-256 of the request body as base64url. */
  readonly digest: string;
  readonly bodyBytes: number;
  readonly fillerBytes: number;
}

/** Result of checking an answer. */
export interface AnswerCheck {
  readonly head: AnswerHead;
  /** True when the answer is complete and belongs to the request. */
  readonly isIntact: boolean;
}

const emptyDigest = createHash('sha256').digest('base64url');

/** Makes a stream that transforms a request body to the answer, chunk by chunk. */
export function makeAnswerStream(head: AnswerHead, fillerBytes: number): Transform {
  const hash = createHash('sha256');
  let bodyBytes = 0;
  const stream = new Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      hash.update(chunk);
      bodyBytes += chunk.byteLength;
      done(null, chunk);
    },
    flush: done => {
      const tail: AnswerTail = {digest: hash.digest('base64url'), bodyBytes, fillerBytes};
      if (fillerBytes > 0) stream.push(Buffer.alloc(fillerBytes, '.'));
      stream.push(`\n${JSON.stringify(tail)}\n`);
      done();
    },
  });
  stream.push(`${JSON.stringify(head)}\n`);
  return stream;
}

/** Makes the complete answer to a request without a body. */
export function makeEmptyBodyAnswer(head: AnswerHead, fillerBytes: number): string {
  const tail: AnswerTail = {digest: emptyDigest, bodyBytes: 0, fillerBytes};
  return `${JSON.stringify(head)}\n${'.'.repeat(fillerBytes)}\n${JSON.stringify(tail)}\n`;
}

/** Checks that an answer is complete and belongs to the given request. Undefined when it has no head. */
export function checkAnswer(
  answer: Buffer,
  requestNumber: string,
  body: Buffer,
): AnswerCheck | undefined {
  const headEnd = answer.indexOf('\n');
  const tailStart = answer.lastIndexOf('\n', answer.byteLength - 2);
  const head = parseLine<AnswerHead>(answer.subarray(0, Math.max(headEnd, 0)));
  if (head === undefined) return undefined;
  const tail = parseLine<AnswerTail>(answer.subarray(tailStart + 1));
  if (tail === undefined || tailStart < headEnd + 1) return {head, isIntact: false};
  const content = answer.subarray(headEnd + 1, tailStart);
  const isIntact =
    head.requestNumber === requestNumber &&
    tail.digest === createHash('sha256').update(body).digest('base64url') &&
    content.byteLength === body.byteLength + tail.fillerBytes &&
    content.subarray(0, body.byteLength).equals(body);
  return {head, isIntact};
}

function parseLine<A>(line: Buffer): A | undefined {
  try {
    const value = JSON.parse(line.toString('utf8')) as A;
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
