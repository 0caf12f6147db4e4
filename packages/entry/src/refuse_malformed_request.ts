/** Refuses requests that Node's HTTP parser cannot read. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ErrorBody} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';

/**
 * Refuses a malformed request and closes the connection. A complete earlier request on the connection still gets its
 * response. The refusal is written to the socket without a ServerResponse, because a connection can have only one at a
 * time and the response to the earlier request may still be assigned to it.
 * @param lastResponse The most recently started response on the connection.
 */
export function refuseMalformedRequest(
  error: Error & {readonly code?: string},
  socket: Socket,
  lastResponse: ServerResponse | undefined,
): void {
  // Node emits the error again for further bytes after a malformed request.
  if (socket.writableEnded) return;
  const isResponsePending = lastResponse !== undefined && !lastResponse.writableFinished;
  const isBodyMalformed = isResponsePending && !lastResponse.req.complete;
  if (error.code === 'ECONNRESET' || !socket.writable || isBodyMalformed) {
    socket.destroy();
    return;
  }
  if (isResponsePending) {
    if (!lastResponse.headersSent) lastResponse.shouldKeepAlive = false;
    lastResponse.once('finish', () => socket.destroySoon());
    return;
  }
  socket.write(refusalText);
  socket.destroySoon();
}

const refusalText = makeRefusalText();

function makeRefusalText(): string {
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
