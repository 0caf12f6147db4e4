/**
 * Faults of responses that Node's HTTP client does not report. Whoever reads responses of other processes treats them like
 * an error of the request.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import {hasFoldedLine, isResponseHeadValid} from './http_syntax';

/** Interim responses that are accepted; each costs the time of a response. */
const maxInterimResponses = 16;
/** Bytes that are accepted before the read that completes the head; exceeds the heads that the parser accepts. */
const maxBytesBeforeHead = 64 * 1024;

/** Receives the fault of a response, at the latest before the response ends. */
export type ResponseFaultObserver = (fault: Error) => void;

/**
 * Reports the faults of the response to this request. Must be called before other listeners for the response are added, so that
 * they find the request destroyed when the observer destroys it.
 */
export function reportResponseFaults(request: ClientRequest, onFault: ResponseFaultObserver): void {
  const head = new HeadWatch(onFault);
  // Before the client's own listener, which parses the bytes and so reports the response.
  request.once('socket', socket => socket.prependListener('data', head.onData));
  request.on('information', head.onInterimResponse);
  request.once('response', response => {
    response.socket.off('data', head.onData);
    head.onResponse(response);
    if (response.headers['content-length'] === undefined) reportReset(response, onFault);
    response.prependOnceListener('end', () => keepFromReuse(request));
  });
}

/**
 * Reports a head that does not come or is malformed. Releases of Node.js differ in the heads that their parsers accept, and none
 * bounds what comes before the head of the final response.
 */
class HeadWatch {
  /** All that has arrived; empty once the head was checked. */
  private chunks: Buffer[] = [];
  private receivedBytes = 0;
  private interimResponses = 0;

  constructor(private readonly onFault: ResponseFaultObserver) {}

  readonly onData = (chunk: Buffer): void => {
    if (this.receivedBytes >= maxBytesBeforeHead) this.onFault(new Error('no head'));
    this.receivedBytes += chunk.length;
    this.chunks.push(chunk);
  };

  readonly onInterimResponse = (): void => {
    this.interimResponses += 1;
    if (this.interimResponses <= maxInterimResponses) return;
    this.onFault(new Error('too many interim responses'));
  };

  onResponse(response: IncomingMessage): void {
    if (!this.isWellFormed(response)) this.onFault(new Error('malformed head'));
    else if (!hasDecodedBody(response)) this.onFault(new Error('unknown transfer coding'));
  }

  private isWellFormed(response: IncomingMessage): boolean {
    const bytes = Buffer.concat(this.chunks);
    this.chunks = [];
    return isResponseHeadValid(response) && !hasFoldedLine(bytes, this.interimResponses + 1);
  }
}

/** Node.js decodes chunks; with another transfer coding, what it hands on is not the body. */
function hasDecodedBody({headers}: IncomingMessage): boolean {
  const coding = headers['transfer-encoding'];
  return coding === undefined || coding.toLowerCase() === 'chunked';
}

/**
 * Reports a reset in the middle of a response. If a reset arrives together with data, libuv reads the data and reports an
 * ordered close, by which a body without a length looks complete. A connection that was reset has no peer any more; one that
 * the other side has closed in order still has.
 */
function reportReset(response: IncomingMessage, onFault: ResponseFaultObserver): void {
  const {socket} = response;
  const onEnd = () => {
    const hasPeer = socket.remoteAddress !== undefined;
    if (!response.complete && !hasPeer) onFault(new Error('connection was reset'));
  };
  // The client's own listener, which ends the response, comes later.
  socket.prependOnceListener('end', onEnd);
  response.once('close', () => socket.off('end', onEnd));
}

/**
 * Node's client destroys a connection on which another head follows the response, but then still returns it for reuse, and so
 * never releases its parser with the request and the response. Without reuse, it releases them when the connection closes.
 */
function keepFromReuse(request: ClientRequest): void {
  if (request.socket?.destroyed === true) request.shouldKeepAlive = false;
}
