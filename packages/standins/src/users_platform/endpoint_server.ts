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
  ran(request: RunRequest): void;
  /** A request that ran was answered with this status. */
  answered(requestId: string, status: number): void;
}

/** A request that an endpoint ran. */
export interface RunRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

interface Waiting {
  readonly run: () => void;
}

/** Serves one endpoint on a port of the loopback address. */
export class EndpointServer {
  mode: AnswerMode = 'normal';
  coldMs = 0;
  draining = false;
  /** Requests that began to run, in order. */
  readonly ran: RunRequest[] = [];
  /** Requests that arrived, also those that were declined. */
  arrived = 0;
  /** Requests whose caller left while they ran. */
  abandoned = 0;
  private running = 0;
  private readonly queue: Waiting[] = [];
  private readonly server: http.Server;
  private readonly answers: Readonly<Record<AnswerMode, AnswerWriter>> = {
    normal: answer => answer.end(),
    shed: answer => answer.decline(503),
    failing: answer => answer.fail(),
    lost: answer => answer.socket.resetAndDestroy(),
    silent: () => undefined,
    cut: answer => answer.cut(),
    'unframed-cut': answer => answer.unframedCut(),
    extra: answer => answer.twice(),
    early: answer => answer.decline(503),
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
    this.arrived += 1;
    this.options.observer?.arrived(requestIdOf(request));
    const answer = new EndpointAnswer(this, request, response);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.options.id) answer.decline(421);
    else this.take(request, answer, this.options.script?.shift() ?? this.mode);
  }

  private take(request: http.IncomingMessage, answer: EndpointAnswer, mode: AnswerMode): void {
    if (mode === 'early' || mode === 'shed') this.answers[mode](answer);
    else this.enqueue(request, answer, mode);
  }

  private enqueue(request: http.IncomingMessage, answer: EndpointAnswer, mode: AnswerMode): void {
    const {slots, queueLength} = this.options;
    if (this.running >= slots && this.queue.length >= queueLength) {
      answer.decline(503);
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
    this.ran.push(run);
    this.options.observer?.ran(run);
    const end = () => {
      clearTimeout(timer);
      answer.socket.off('close', left);
      this.running -= 1;
      this.runNext();
    };
    const left = () => {
      this.abandoned += 1;
      end();
    };
    const timer = setTimeout(() => {
      end();
      this.answers[mode](answer);
    }, this.options.workMs);
    answer.socket.once('close', left);
  }

  /** Running and waiting requests and slots, as the platform spells them. */
  loadText(): string {
    return `${this.running},${this.queue.length},${this.options.slots}`;
  }
}

type AnswerWriter = (answer: EndpointAnswer) => void;

/** A broken answer ends after this much of its body. */
const cutAfterBytes = 8;
const bodyText = 'the answer of the endpoint';

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

  end(): void {
    this.answering(200);
    const body = this.body();
    this.response.writeHead(200, {...this.headers(), 'Content-Length': body.length});
    this.response.end(body);
  }

  fail(): void {
    this.answering(500);
    this.response.writeHead(500, {...this.headers(), 'Content-Length': 6});
    this.response.end('failed');
  }

  decline(status: 421 | 503): void {
    this.response.writeHead(status, {
      'Request-Id': this.requestId(),
      'Not-Executed': '1',
      'Instance-Id': this.endpoint.options.id,
      'Server-Load': this.endpoint.loadText(),
      'Content-Length': 0,
    });
    this.response.end();
  }

  cut(): void {
    this.answering(200);
    const body = this.body();
    this.response.writeHead(200, {...this.headers(), 'Content-Length': body.length});
    this.response.write(body.slice(0, cutAfterBytes));
    setImmediate(() => this.socket.destroy());
  }

  unframedCut(): void {
    this.answering(200);
    const start = this.body().slice(0, cutAfterBytes);
    this.socket.end(`${this.rawHead('Connection: close')}${start}`);
  }

  twice(): void {
    this.answering(200);
    const body = this.body();
    const whole = `${this.rawHead(`Content-Length: ${body.length}`)}${body}`;
    this.socket.write(whole);
    setTimeout(() => this.socket.write(whole), 5);
  }

  private answering(status: number): void {
    this.endpoint.options.observer?.answered(this.requestId(), status);
  }

  private body(): string {
    return this.endpoint.options.bodyOf?.(this.requestId()) ?? bodyText;
  }

  private rawHead(framing: string): string {
    const lines = Object.entries(this.headers()).map(([name, value]) => `${name}: ${value}`);
    return ['HTTP/1.1 200 OK', ...lines, framing, '', ''].join('\r\n');
  }

  private headers(): Record<string, string> {
    const {coldMs} = this.endpoint;
    return {
      'Request-Id': this.requestId(),
      'Response-Stamp': `stamp-${this.endpoint.options.id}`,
      'Server-Load': this.endpoint.loadText(),
      ...(coldMs > 0 ? {'Cold-Ms': String(coldMs)} : {}),
    };
  }

  private requestId(): string {
    return requestIdOf(this.request);
  }
}
