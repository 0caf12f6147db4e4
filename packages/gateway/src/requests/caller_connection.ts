/**
 * One connection of a caller: applies the decisions of its request pipeline to the socket. It pauses the socket at the
 * limits, and closes it so that the caller receives the whole last answer.
 */
import type * as http from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionContext} from './caller_exchange';
import {CallerExchange} from './caller_exchange';
import type {PipelineLimits, ReadingMode} from './request_pipeline';
import {RequestPipeline} from './request_pipeline';

/** More than callers send ahead, and few enough to bound the memory for answers that wait. */
export const pipelineLimits: PipelineLimits = {maxRequests: 32, maxAnswerBytes: 1024 * 1024};
/** Time for the caller to receive the last answer and close its side; more than two round trips between regions. */
const maxLingerMs = 1_000;
const invalidRequestAnswer =
  'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** A connection and its requests. */
export class CallerConnection {
  private readonly pipeline = new RequestPipeline(pipelineLimits, () => this.closeAfterSending());
  private reading: ReadingMode = 'read';
  private isUpdateScheduled = false;
  private lingerTimer: NodeJS.Timeout | undefined;
  private bytesInRequests = 0;

  constructor(
    private readonly socket: Socket,
    private readonly context: ConnectionContext,
  ) {
    // Node's server calls this after the answer that closes the connection.
    socket.destroySoon = () => this.closeAfterSending();
    // Node's parser resumes the socket after each request.
    socket.on('resume', () => {
      if (this.reading === 'pause') socket.pause();
    });
    socket.once('close', () => this.onClose());
  }

  /** Number of requests whose answers are not sent. */
  get openRequests(): number {
    return this.pipeline.length;
  }

  /** True while the last answer may be on its way to the caller. */
  get isLingering(): boolean {
    return this.lingerTimer !== undefined;
  }

  /** True when the connection is new or part of a request was read. */
  get isAwaitingRequest(): boolean {
    return this.bytesInRequests === 0 || this.socket.bytesRead > this.bytesInRequests;
  }

  /** True between requests: all answers were sent, and nothing of another request was read. */
  get isIdle(): boolean {
    return this.openRequests === 0 && !this.isLingering && !this.isAwaitingRequest;
  }

  /** Adds a request whose head was read. */
  add(request: http.IncomingMessage, response: http.ServerResponse): void {
    const {pipeline, socket} = this;
    const exchange = new CallerExchange(this.context, pipeline, request, response);
    this.bytesInRequests = socket.bytesRead;
    request.once('end', () => {
      this.bytesInRequests = socket.bytesRead;
      this.updateReading();
    });
    response.once('finish', () => {
      pipeline.recordSent(exchange);
      this.updateReading();
      this.context.onAnswerSent();
    });
    pipeline.add(exchange);
    this.scheduleUpdate();
  }

  /** Makes the answer to the last request that was read close the connection; without any, the next answer. */
  closeAfterLastRead(): void {
    this.pipeline.closeAfterLastRead();
    this.updateReading();
  }

  /** Handles bytes that are no request: they are refused after the answers to the requests before them. */
  onUnreadable(): void {
    const {socket} = this;
    if (!socket.writable) socket.destroy();
    else if (this.pipeline.closeAtUnreadable()) this.scheduleUpdate();
    else {
      socket.write(invalidRequestAnswer);
      this.closeAfterSending();
    }
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.socket.destroy();
  }

  /**
   * Half-closes the connection and discards what still comes until the caller has closed its side. Closing a socket with
   * unread bytes would reset the connection, and the caller would lose what it has not received of the answer.
   */
  private closeAfterSending(): void {
    const {socket} = this;
    if (this.lingerTimer !== undefined || socket.destroyed) return;
    this.lingerTimer = setTimeout(() => socket.destroy(), maxLingerMs);
    this.pipeline.recordClosing();
    socket.end();
    this.scheduleUpdate();
  }

  /** Updates after the parser has handled the packet that it is reading now. */
  private scheduleUpdate(): void {
    if (this.isUpdateScheduled) return;
    this.isUpdateScheduled = true;
    process.nextTick(() => {
      this.isUpdateScheduled = false;
      this.updateReading();
    });
  }

  private updateReading(): void {
    const {socket, pipeline, reading: former} = this;
    if (former === 'discard' || socket.destroyed) return;
    this.reading = pipeline.reading;
    if (this.reading === former) return;
    if (this.reading === 'pause') {
      this.context.parts.metrics.connectionPaused(pipeline.exceededLimit ?? 'requests');
      socket.pause();
      return;
    }
    if (this.reading === 'discard') {
      socket.removeAllListeners('data');
      socket.on('data', () => undefined);
    }
    socket.resume();
  }

  private onClose(): void {
    clearTimeout(this.lingerTimer);
    this.lingerTimer = undefined;
    this.pipeline.cancelAll();
  }
}
