/**
 * Finds the ends of HTTP/1.1 responses in a byte stream. The load generator of the bench uses it instead of
 * Node's http client, which takes more processor time per request than the servers that it measures.
 */

const headEnd = Buffer.from('\r\n\r\n');
const lastChunk = Buffer.from('\r\n0\r\n\r\n');

/** A response whose end was found. */
export interface FramedResponse {
  readonly status: number;
  /** Length of head and body in bytes. */
  readonly byteLength: number;
}

/** Finds the first complete response; undefined when more bytes are needed. */
export function frameResponse(bytes: Buffer): FramedResponse | undefined {
  const headBytes = bytes.indexOf(headEnd);
  if (headBytes < 0) return undefined;
  const head = bytes.toString('latin1', 0, headBytes);
  const status = Number(head.slice(9, 12));
  const length = /\r\ncontent-length: *(\d+)/i.exec(head);
  if (length !== null) {
    const byteLength = headBytes + 4 + Number(length[1]);
    return bytes.byteLength >= byteLength ? {status, byteLength} : undefined;
  }
  // A body that contains this sequence would be cut short; the bodies of the bench do not.
  const end = bytes.indexOf(lastChunk, headBytes);
  return end < 0 ? undefined : {status, byteLength: end + lastChunk.byteLength};
}
