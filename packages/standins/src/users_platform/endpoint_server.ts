/**
 * Stand-in for an endpoint, the users' platform's name for a target, implemented from the platform's documentation: slots
 * and a short queue, rejections, the check of the expected instance, load reports, cold starts, and simulated failures.
 */
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {encodeHeaderText} from '@cuminsill/utils';

/** How an endpoint answers a request. */
export type AnswerMode =
  /** Runs the request and answers. */
  | 'normal'
  /** Rejects the request although there is free capacity. */
  | 'shed'
  /** Runs the request and answers with status 500. */
  | 'failing'
  /** Runs the request and resets the connection. */
  | 'lost'
  /** Runs the request and never answers. */
  | 'silent'
  /** Runs the request and closes the connection in the middle of the answer's body. */
  | 'cut'
  /** Runs the request, answers without a content length and closes the connection in the middle of the body. */
  | 'unframed-cut'
  /** Answers before the body of the request has arrived, without a content length, and resets the connection in the middle. */
  | 'early-reset'
  /** Runs the request and sends its answer twice on the connection. */
  | 'extra'
  /** Rejects the request before its body has arrived and keeps the connection open. */
  | 'early'
  /** Runs the request and sends its answer as `rewriteAnswer` changes it. */
  | 'rewritten'
  /** Runs the request and sends a head without end, until the caller closes the connection. */
  | 'endless-head'
  /** Runs the request and sends interim responses without end, until the caller closes the connection. */
  | 'endless-interim-responses'
  /** Runs the request and sends empty lines without end before any head, until the caller closes the connection. */
  | 'endless-empty-lines'
  /** Runs the request and sends a body without end, until the caller closes the connection. */
  | 'endless-body'
  /** Runs the request and sends short chunks without end, until the caller closes the connection. */
  | 'endless-chunks';

/** Options of an endpoint. */
export interface EndpointOptions {
  readonly id: string;
  readonly slots: number;
  readonly queueLength: number;
  readonly workMs: number;
  /** Modes of the next requests, in order. Endpoints that share an array consume it together. */
  readonly script?: AnswerMode[];
  /** Makes the body of an answer; by default all answers have the same body. */
  readonly bodyOf?: (requestId: string) => string;
  readonly observer?: EndpointObserver;
  /** Whether a request with this path crashes the endpoint when it starts to run. */
  readonly crashesOn?: (path: string) => boolean;
}

/** Receives the events of an endpoint. */
export interface EndpointObserver {
  /** A request arrived; the endpoint may still reject it. */
  onArrived(requestId: string): void;
  /** A request started to run. */
  onRun(request: ExecutedRequest): void;
  /** The endpoint starts to answer a request that ran, with this status. */
  onAnswered(requestId: string, status: number): void;
  /** A request crashed the endpoint: it has closed all connections and no longer listens. */
  onCrashed?(request: ExecutedRequest): void;
}

/** A request that an endpoint ran. */
export interface ExecutedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

interface WaitingRequest {
  readonly run: () => void;
}

/** Endpoint that listens on a port of the loopback address. */
export class EndpointServer {
  mode: AnswerMode = 'normal';
  /** Requests per second that the endpoint names in its answers as its limit; it takes more all the same. */
  limitPerS: number | undefined;
  /** Whether the answers say that the endpoint leaves; it serves on all the same. */
  leaving = false;
  /** `Retry-After` of rejections with status 503; the endpoint takes requests all the same. */
  retryAfter: string | undefined;
  /** Changes the bytes of answers in the mode `rewritten`; each character stands for one byte. */
  rewriteAnswer: (answer: string) => string = answer => answer;
  draining = false;
  /** Requests that started to run, in order. */
  readonly executedRequests: ExecutedRequest[] = [];
  /** Number of requests that arrived, including rejected ones. */
  arrivedCount = 0;
  /** Number of requests whose caller closed the connection while they ran. */
  cancelledCount = 0;
  private coldUntilMs = 0;
  private running = 0;
  private readonly queue: WaitingRequest[] = [];
  private readonly server: http.Server;
  private readonly answerWriters: Readonly<Record<AnswerMode, AnswerWriter>> = {
    normal: answer => answer.sendAnswer(),
    shed: answer => answer.reject(503),
    failing: answer => answer.sendFailure(),
    lost: answer => answer.socket.resetAndDestroy(),
    silent: () => undefined,
    cut: answer => answer.sendCutAnswer(),
    'unframed-cut': answer => answer.sendUnframedCutAnswer(),
    'early-reset': answer => answer.sendUnframedResetAnswer(),
    extra: answer => answer.sendAnswerTwice(),
    early: answer => answer.reject(503),
    rewritten: answer => answer.sendRewritten(this.rewriteAnswer),
    'endless-head': answer => answer.sendEndless('HTTP/1.1 200 OK\r\n', 'Filler: x\r\n'),
    'endless-interim-responses': answer =>
      answer.sendEndless('', 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'),
    'endless-empty-lines': answer => answer.sendEndless('', '\r\n'),
    'endless-chunks': answer =>
      answer.sendEndless(answer.rawResponseHead('Transfer-Encoding: chunked'), shortChunk),
    'endless-body': answer => answer.sendEndless(answer.rawResponseHead('Connection: close'), 'x'),
  };

  constructor(readonly options: EndpointOptions) {
    this.server = http.createServer((request, response) => this.serve(request, response));
  }

  /** Starts listening on the given port, or on a free one, and returns the port. */
  async start(port = 0): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Makes the endpoint cold for a time from now. */
  becomeCold(durationMs: number): void {
    this.coldUntilMs = performance.now() + durationMs;
  }

  /** How long the endpoint stays cold. */
  get coldForMs(): number {
    return Math.max(0, Math.ceil(this.coldUntilMs - performance.now()));
  }

  /** Stops and closes all connections at once, as in a crash. */
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.url === '/health') {
      response.writeHead(this.draining ? 503 : 200, {
        'Instance-Id': encodeHeaderText(this.options.id),
      });
      response.end();
      return;
    }
    this.arrivedCount += 1;
    this.options.observer?.onArrived(requestIdOf(request));
    const answer = new EndpointAnswer(this, request, response);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && utf8TextOf(String(expected)) !== this.options.id) {
      answer.reject(421);
    } else this.admit(request, answer, this.options.script?.shift() ?? this.mode);
  }

  private admit(request: http.IncomingMessage, answer: EndpointAnswer, mode: AnswerMode): void {
    if (modesWithoutRun.has(mode)) this.answerWriters[mode](answer);
    else this.enqueue(request, answer, mode);
  }

  private enqueue(request: http.IncomingMessage, answer: EndpointAnswer, mode: AnswerMode): void {
    const {slots, queueLength} = this.options;
    if (this.running >= slots && this.queue.length >= queueLength) {
      answer.reject(503);
      return;
    }
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const run = () => this.run(request, Buffer.concat(chunks).toString('utf8'), answer, mode);
      this.queue.push({run});
      this.runNext();
    });
  }

  private runNext(): void {
    if (this.running >= this.options.slots) return;
    const next = this.queue.shift();
    if (next === undefined) return;
    this.running += 1;
    next.run();
  }

  private run(
    request: http.IncomingMessage,
    body: string,
    answer: EndpointAnswer,
    mode: AnswerMode,
  ): void {
    const run = {
      id: requestIdOf(request),
      method: request.method ?? '',
      path: request.url ?? '',
      body,
    };
    this.executedRequests.push(run);
    this.options.observer?.onRun(run);
    if (this.options.crashesOn?.(run.path) === true) {
      this.stop();
      this.options.observer?.onCrashed?.(run);
      return;
    }
    const release = () => {
      clearTimeout(timer);
      answer.socket.off('close', onCallerLeft);
      this.running -= 1;
      this.runNext();
    };
    const onCallerLeft = () => {
      this.cancelledCount += 1;
      release();
    };
    const timer = setTimeout(() => {
      release();
      this.answerWriters[mode](answer);
    }, this.options.workMs);
    answer.socket.once('close', onCallerLeft);
  }

  /** Value of the `Server-Load` header: running requests, waiting requests and slots. */
  serverLoad(): string {
    return `${this.running},${this.queue.length},${this.options.slots}`;
  }
}

type AnswerWriter = (answer: EndpointAnswer) => void;

/** Modes that answer without waiting for the body of the request. */
const modesWithoutRun: ReadonlySet<AnswerMode> = new Set(['early', 'early-reset', 'shed']);

/** Length after which a cut body ends. */
const cutAfterBytes = 8;
const shortChunk = 'c\r\ndata: 1234\n\n\r\n';
const piecesPerWrite = 4_096;
const defaultBody = 'the answer of the endpoint';

/** Node reads each byte of a header as one character. */
function utf8TextOf(headerText: string): string {
  return Buffer.from(headerText, 'latin1').toString('utf8');
}

function requestIdOf(request: http.IncomingMessage): string {
  return String(request.headers['request-id'] ?? '');
}

class EndpointAnswer {
  readonly socket: Socket;

  constructor(
    private readonly endpoint: EndpointServer,
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
  ) {
    this.socket = request.socket;
  }

  sendAnswer(): void {
    this.notifyAnswered(200);
    const body = this.body();
    this.response.writeHead(200, {...this.headers(), 'Content-Length': body.length});
    this.response.end(body);
  }

  sendFailure(): void {
    this.notifyAnswered(500);
    this.response.writeHead(500, {...this.headers(), 'Content-Length': 6});
    this.response.end('failed');
  }

  reject(status: 421 | 503): void {
    this.response.writeHead(status, {
      'Request-Id': this.requestId(),
      'Not-Executed': '1',
      'Instance-Id': encodeHeaderText(this.endpoint.options.id),
      'Server-Load': this.endpoint.serverLoad(),
      ...this.limitHeader(),
      ...this.leavingHeader(),
      ...(status === 503 ? this.retryAfterHeader() : {}),
      'Content-Length': 0,
    });
    this.response.end();
  }

  sendCutAnswer(): void {
    this.notifyAnswered(200);
    const body = this.body();
    this.response.writeHead(200, {...this.headers(), 'Content-Length': body.length});
    this.response.write(body.slice(0, cutAfterBytes));
    setImmediate(() => this.socket.destroy());
  }

  sendUnframedCutAnswer(): void {
    this.notifyAnswered(200);
    const start = this.body().slice(0, cutAfterBytes);
    this.socket.end(`${this.rawResponseHead('Connection: close')}${start}`);
  }

  sendUnframedResetAnswer(): void {
    const start = this.body().slice(0, cutAfterBytes);
    this.socket.write(`${this.rawResponseHead('Connection: close')}${start}`);
    // In the same turn of the event loop: the reset must arrive with the bytes.
    this.socket.resetAndDestroy();
  }

  /** Sends the start, and then the piece again and again. */
  sendEndless(start: string, piece: string): void {
    const pieces = Buffer.from(piece.repeat(piecesPerWrite));
    this.socket.write(start);
    const writeOn = () => {
      while (!this.socket.destroyed && this.socket.write(pieces));
    };
    this.socket.on('drain', writeOn);
    writeOn();
  }

  sendRewritten(rewrite: (answer: string) => string): void {
    this.notifyAnswered(200);
    this.socket.write(rewrite(this.rawAnswer()), 'latin1');
  }

  sendAnswerTwice(): void {
    this.notifyAnswered(200);
    const whole = this.rawAnswer();
    this.socket.write(whole);
    setTimeout(() => this.socket.write(whole), 5);
  }

  private notifyAnswered(status: number): void {
    this.endpoint.options.observer?.onAnswered(this.requestId(), status);
  }

  private body(): string {
    return this.endpoint.options.bodyOf?.(this.requestId()) ?? defaultBody;
  }

  private rawAnswer(): string {
    const body = this.body();
    return `${this.rawResponseHead(`Content-Length: ${body.length}`)}${body}`;
  }

  rawResponseHead(framing: string): string {
    const lines = Object.entries(this.headers()).map(([name, value]) => `${name}: ${value}`);
    return ['HTTP/1.1 200 OK', ...lines, framing, '', ''].join('\r\n');
  }

  private headers(): Record<string, string> {
    const {coldForMs} = this.endpoint;
    return {
      'Request-Id': this.requestId(),
      'Response-Stamp': `stamp-${encodeHeaderText(this.endpoint.options.id)}`,
      'Server-Load': this.endpoint.serverLoad(),
      ...(coldForMs > 0 ? {'Cold-Ms': String(coldForMs)} : {}),
      ...this.limitHeader(),
      ...this.leavingHeader(),
    };
  }

  private leavingHeader(): Record<string, string> {
    return this.endpoint.leaving ? {'Server-Leaving': '1'} : {};
  }

  private retryAfterHeader(): Record<string, string> {
    const {retryAfter} = this.endpoint;
    return retryAfter === undefined ? {} : {'Retry-After': retryAfter};
  }

  private limitHeader(): Record<string, string> {
    const {limitPerS} = this.endpoint;
    return limitPerS === undefined ? {} : {'Server-Limit': limitPerS.toFixed(1)};
  }

  private requestId(): string {
    return requestIdOf(this.request);
  }
}
