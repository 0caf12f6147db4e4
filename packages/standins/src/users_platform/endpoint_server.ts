/**
 * A stand-in for an endpoint of the users' services, written from their pages: slots and a short queue, the statement that a
 * request was not run, the expected instance, load reports, cold starts, and the ways in which endpoints fail.
 */
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** How an endpoint answers the next requests. */
export type AnswerMode =
  /** Runs the request and answers. */
  | 'normal'
  /** Declines though it has room. */
  | 'shed'
  /** Runs the request and answers with a failure. */
  | 'failing'
  /** Runs the request and resets the connection. */
  | 'lost'
  /** Runs the request and never answers. */
  | 'silent'
  /** Breaks the answer off in the middle of its body. */
  | 'cut'
  /** Answers without a length and ends the connection after half of the body. */
  | 'unframed-cut'
  /** Sends the answer to the former request once more after the answer. */
  | 'extra'
  /** Declines before the body has arrived and keeps the connection. */
  | 'early';

/** What an endpoint is like. */
export interface EndpointOptions {
  readonly id: string;
  readonly slots: number;
  readonly queueLength: number;
  readonly workMs: number;
  /** Modes of the next requests, in order; endpoints that share a list take from it in turn. */
  readonly script?: AnswerMode[];
  /** Body of the answer to a request; the same text for all by default. */
  readonly bodyOf?: (requestId: string) => string;
  readonly observer?: EndpointObserver;
}

/** Hears what happens at an endpoint. */
export interface EndpointObserver {
  /** A request arrived, also one that is declined afterwards. */
  arrived(requestId: string): void;
  /** A request began to run. */
  ran(request: ExecutedRequest): void;
  /** A request that ran was answered with this status. */
  answered(requestId: string, status: number): void;
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

/** Serves one endpoint on a port of the loopback address. */
export class EndpointServer {
  mode: AnswerMode = 'normal';
  coldMs = 0;
  draining = false;
  /** Requests that began to run, in order. */
  readonly executedRequests: ExecutedRequest[] = [];
  /** Requests that arrived, also those that were declined. */
  arrivedCount = 0;
  /** Requests whose caller left while they ran. */
  cancelledCount = 0;
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
    extra: answer => answer.sendAnswerTwice(),
    early: answer => answer.reject(503),
  };

  constructor(readonly options: EndpointOptions) {
    this.server = http.createServer((request, response) => this.serve(request, response));
  }

  /** Starts and returns the port; the given one, or a free one. */
  async start(port = 0): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Ends at once, as after a crash. */
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.url === '/health') {
      response.writeHead(this.draining ? 503 : 200, {'Instance-Id': this.options.id});
      response.end();
      return;
    }
    this.arrivedCount += 1;
    this.options.observer?.arrived(requestIdOf(request));
    const answer = new EndpointAnswer(this, request, response);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.options.id) answer.reject(421);
    else this.admit(request, answer, this.options.script?.shift() ?? this.mode);
  }

  private admit(request: http.IncomingMessage, answer: EndpointAnswer, mode: AnswerMode): void {
    if (mode === 'early' || mode === 'shed') this.answerWriters[mode](answer);
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
    this.options.observer?.ran(run);
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

  /** Running and waiting requests and slots, as the platform spells them. */
  serverLoad(): string {
    return `${this.running},${this.queue.length},${this.options.slots}`;
  }
}

type AnswerWriter = (answer: EndpointAnswer) => void;

/** A broken answer ends after this much of its body. */
const cutAfterBytes = 8;
const defaultBody = 'the answer of the endpoint';

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
      'Instance-Id': this.endpoint.options.id,
      'Server-Load': this.endpoint.serverLoad(),
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

  sendAnswerTwice(): void {
    this.notifyAnswered(200);
    const body = this.body();
    const whole = `${this.rawResponseHead(`Content-Length: ${body.length}`)}${body}`;
    this.socket.write(whole);
    setTimeout(() => this.socket.write(whole), 5);
  }

  private notifyAnswered(status: number): void {
    this.endpoint.options.observer?.answered(this.requestId(), status);
  }

  private body(): string {
    return this.endpoint.options.bodyOf?.(this.requestId()) ?? defaultBody;
  }

  private rawResponseHead(framing: string): string {
    const lines = Object.entries(this.headers()).map(([name, value]) => `${name}: ${value}`);
    return ['HTTP/1.1 200 OK', ...lines, framing, '', ''].join('\r\n');
  }

  private headers(): Record<string, string> {
    const {coldMs} = this.endpoint;
    return {
      'Request-Id': this.requestId(),
      'Response-Stamp': `stamp-${this.endpoint.options.id}`,
      'Server-Load': this.endpoint.serverLoad(),
      ...(coldMs > 0 ? {'Cold-Ms': String(coldMs)} : {}),
    };
  }

  private requestId(): string {
    return requestIdOf(this.request);
  }
}
