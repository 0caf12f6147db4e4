/** Refuses what Node cannot read as a request. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ErrorBody} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';

/**
 * Refuses a malformed request and closes the connection; a whole request before it on the same connection still gets
 * its answer. The refusal is written without a ServerResponse, because a connection takes only one at a time
 * and the answer to an earlier request may still hold it.
 * @param last The response that was begun last on the connection.
 */
export function refuseMalformed(
  error: Error & {readonly code?: string},
  socket: Socket,
  last: ServerResponse | undefined,
): void {
  // Further bytes after a malformed request are reported again.
  if (socket.writableEnded) return;
  const inFlight = last !== undefined && !last.writableFinished;
  const bodyIsMalformed = inFlight && !last.req.complete;
  if (error.code === 'ECONNRESET' || !socket.writable || bodyIsMalformed) {
    socket.destroy();
    return;
  }
  if (inFlight) {
    if (!last.headersSent) last.shouldKeepAlive = false;
    last.once('finish', () => socket.destroySoon());
    return;
  }
  socket.write(refusal);
  socket.destroySoon();
}

const refusal = makeRefusal();

function makeRefusal(): string {
  const {code, name, outcome, reason, httpStatus} = resultCodes.malformedRequest;
  const content: ErrorBody = {code, name, outcome, reason};
  const body = JSON.stringify(content);
  return [
    `HTTP/1.1 ${httpStatus} Bad Request`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-result-code: ${code}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}
