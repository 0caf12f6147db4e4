/**
 * Finds the ends of HTTP/1.1 responses in a byte stream. The benchmark's load generator uses it instead of Node's http
 * client, which takes more CPU time per request than the measured servers.
 */

const headTerminator = Buffer.from('\r\n\r\n');
const lastChunkMarker = Buffer.from('\r\n0\r\n\r\n');

/** A complete response at the start of the received bytes. */
export interface ResponseFrame {
  readonly status: number;
  /** Length of head and body in bytes. */
  readonly byteLength: number;
}

/** Finds the first complete response; returns undefined when more bytes are needed. */
export function findFirstResponse(bytes: Buffer): ResponseFrame | undefined {
  const headLength = bytes.indexOf(headTerminator);
  if (headLength < 0) return undefined;
  const head = bytes.toString('latin1', 0, headLength);
  const status = Number(head.slice(9, 12));
  const contentLengthMatch = /\r\ncontent-length: *(\d+)/i.exec(head);
  if (contentLengthMatch !== null) {
    const byteLength = headLength + 4 + Number(contentLengthMatch[1]);
    return bytes.byteLength >= byteLength ? {status, byteLength} : undefined;
  }
  // A body that contains this sequence would be truncated; the benchmark's bodies do not contain it.
  const lastChunkStart = bytes.indexOf(lastChunkMarker, headLength);
  return lastChunkStart < 0
    ? undefined
    : {status, byteLength: lastChunkStart + lastChunkMarker.byteLength};
}
