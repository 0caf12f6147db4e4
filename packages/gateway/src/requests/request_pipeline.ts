/**
 * Decides about the requests of one connection: when each begins, in which order answers are written, which answer closes
 * the connection, and whether to read on. It knows no sockets.
 *
 * For the requests behind it, an answer that closes the connection means that they were not read. A request that was passed
 * on must therefore not be behind such an answer (docs/design/pipelining.md).
 */

/** One request and its answer, on a connection. */
export interface PipelinedExchange {
  /** True when the request was read to its end. */
  readonly isRead: boolean;
  /** True when the answer may close the connection by itself, as for HTTP/1.0; later requests wait until it is sent. */
  readonly blocksLater: boolean;
  /** Begins to handle the request. */
  begin(): void;
  /** Ends the request without an answer: it is not run, or cancelled where it runs. */
  cancel(cause: CancelCause): void;
  /** Writes the answer. */
  write(ending: AnswerEnding): void;
}

/** Why a request gets no answer. */
export type CancelCause = 'caller-left' | 'connection-closes';

/**
 * How an answer ends: `without-length` stands for an answer of the gateway instead of one whose end only the end of the
 * connection would show, while the connection must stay open.
 */
export type AnswerEnding = 'keep-open' | 'close' | 'without-length';

/** What to do with further bytes of the connection. */
export type ReadingMode = 'read' | 'pause' | 'discard';

/** The limit for which a connection is paused. */
export type PipelineLimit = 'requests' | 'bytes';

/** An answer that waits for its turn. */
export interface AnswerShape {
  readonly bytes: number;
  /** False when only the end of the connection shows the end of the answer. */
  readonly isSelfDelimited: boolean;
}

/** Limits for one connection. */
export interface PipelineLimits {
  /** Requests that were begun and whose answers are not sent. */
  readonly maxRequests: number;
  /** Answers that wait for earlier ones or for the caller to read them. */
  readonly maxAnswerBytes: number;
}

interface PipelineEntry {
  readonly exchange: PipelinedExchange;
  state: 'held' | 'begun' | 'passed-on' | 'written';
  answer?: AnswerShape;
}

/** The requests of one connection, in the order in which they were read. */
export class RequestPipeline {
  private entries: PipelineEntry[] = [];
  private isLeaving = false;
  private isUnreadable = false;
  private isClosed = false;

  /** @param close Closes the connection when no answer will. */
  constructor(
    private readonly limits: PipelineLimits,
    private readonly close: () => void,
  ) {}

  /** Number of requests whose answers are not sent. */
  get length(): number {
    return this.entries.length;
  }

  /** What to do with further bytes; `discard` is final. */
  get reading(): ReadingMode {
    if (this.isClosed || this.isUnreadable) return 'discard';
    const last = this.entries.at(-1);
    if (last !== undefined && last.state !== 'written' && !last.exchange.isRead) return 'read';
    // The last of these answers closes the connection.
    if (this.isLeaving && this.entries.some(isUnwritten)) return 'discard';
    return this.exceededLimit === undefined ? 'read' : 'pause';
  }

  /** The limit that is reached; undefined while there is room. */
  get exceededLimit(): PipelineLimit | undefined {
    if (this.entries.length >= this.limits.maxRequests) return 'requests';
    return this.answerBytes >= this.limits.maxAnswerBytes ? 'bytes' : undefined;
  }

  /** Adds a request that was read; it begins when there is room. */
  add(exchange: PipelinedExchange): void {
    if (this.isClosed) {
      exchange.cancel('connection-closes');
      return;
    }
    this.entries.push({exchange, state: 'held'});
    this.beginHeld();
  }

  /** Records that the request may be with a target from now on. */
  recordPassedOn(exchange: PipelinedExchange): void {
    const entry = this.find(exchange);
    if (entry !== undefined) entry.state = 'passed-on';
  }

  /** Takes the answer to a request, and writes it when it is its turn. */
  answer(exchange: PipelinedExchange, answer: AnswerShape): void {
    const entry = this.find(exchange);
    if (entry === undefined) return;
    entry.answer = answer;
    this.writeAnswers();
    this.beginHeld();
  }

  /** Records that an answer has left the process. */
  recordSent(exchange: PipelinedExchange): void {
    this.entries = this.entries.filter(entry => entry.exchange !== exchange);
    if (this.isUnreadable && this.entries.length === 0 && !this.isClosed) this.close();
    this.beginHeld();
  }

  /** Makes the answer to the last request that was read close the connection; without any, the next answer. */
  closeAfterLastRead(): void {
    this.isLeaving = true;
  }

  /**
   * Closes the connection after the answers to the requests that were read, because the bytes after them are no request.
   * Returns false when there are none.
   */
  closeAtUnreadable(): boolean {
    this.isUnreadable = true;
    const last = this.entries.at(-1);
    if (last !== undefined && !last.exchange.isRead && last.answer === undefined) {
      this.entries.pop();
      last.exchange.cancel('connection-closes');
    }
    return this.isClosed || this.entries.length > 0;
  }

  /** Records that the connection closes, so that requests read from now on are not run. */
  recordClosing(): void {
    this.isClosed = true;
    this.cancelUnwritten('connection-closes');
  }

  /** Cancels all requests of a caller that has left. */
  cancelAll(): void {
    this.isClosed = true;
    this.cancelUnwritten('caller-left');
    this.entries = [];
  }

  private get answerBytes(): number {
    return this.entries.reduce((sum, {answer}) => sum + (answer?.bytes ?? 0), 0);
  }

  private find(exchange: PipelinedExchange): PipelineEntry | undefined {
    return this.entries.find(entry => entry.exchange === exchange);
  }

  private beginHeld(): void {
    if (this.isClosed) return;
    const {maxRequests, maxAnswerBytes} = this.limits;
    const hasRoom = this.answerBytes < maxAnswerBytes;
    for (const [index, entry] of [...this.entries.slice(0, maxRequests).entries()]) {
      if (entry.state === 'held') {
        if (index > 0 && !hasRoom) return;
        entry.state = 'begun';
        entry.exchange.begin();
      }
      if (entry.exchange.blocksLater) return;
    }
  }

  private writeAnswers(): void {
    let next = this.entries.find(isUnwritten);
    while (next?.answer !== undefined && !this.isClosed) {
      this.write(next, next.answer);
      next = this.entries.find(isUnwritten);
    }
  }

  private write(entry: PipelineEntry, {isSelfDelimited}: AnswerShape): void {
    const later = this.entries.slice(this.entries.indexOf(entry) + 1);
    const isLaterPassedOn = later.some(({state}) => state === 'passed-on');
    const mustClose = !isSelfDelimited || !entry.exchange.isRead;
    const isLast = (this.isLeaving || this.isUnreadable) && later.length === 0;
    entry.state = 'written';
    if (mustClose && isLaterPassedOn) {
      entry.exchange.write('without-length');
    } else if (mustClose || isLast) {
      this.recordClosing();
      entry.exchange.write('close');
    } else {
      entry.exchange.write('keep-open');
    }
  }

  private cancelUnwritten(cause: CancelCause): void {
    const cancelled = this.entries.filter(isUnwritten);
    this.entries = this.entries.filter(entry => !isUnwritten(entry));
    for (const {exchange} of cancelled) exchange.cancel(cause);
  }
}

function isUnwritten({state}: PipelineEntry): boolean {
  return state !== 'written';
}
