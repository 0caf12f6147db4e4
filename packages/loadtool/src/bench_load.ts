/**
 * Load on one server with one fixed request over kept connections, either as fast as the answers come or at a
 * fixed rate with seeded arrivals. It runs in worker threads, so that it can outrun a single-threaded server.
 */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {SocketAddress} from '@cuminsill/types';
import {seededRandom} from '@cuminsill/utils';
import {frameResponse} from './http_framing';
import {latencySummary, LatencyHistogram} from './latency_histogram';
import type {LatencySummary} from './latency_histogram';

/** What to send, where and how fast. */
export interface BenchLoadOptions {
  readonly address: SocketAddress;
  /** A whole HTTP/1.1 request. */
  readonly requestText: string;
  readonly connections: number;
  /** Requests per second; undefined sends the next request as soon as an answer has arrived. */
  readonly ratePerS?: number;
  readonly seed: number;
  /** Time before counting starts, in milliseconds. */
  readonly warmUpMs: number;
  /** Time in which answers are counted, in milliseconds. */
  readonly measureMs: number;
}

/** What was measured. */
export interface BenchLoadResult extends LatencySummary {
  readonly requestsPerS: number;
  /** Answers in the whole run, also in the warm-up. */
  readonly answered: number;
  /** Answers with another status than 200, and lost connections. */
  readonly failed: number;
}

interface Waiting {
  readonly dueAtMs: number;
}

/** Sends the load and measures it. */
export function runBenchLoad(options: BenchLoadOptions): Promise<BenchLoadResult> {
  return new BenchLoad(options).run();
}

class BenchLoad {
  private readonly histogram = new LatencyHistogram();
  private readonly idle: BenchConnection[] = [];
  private readonly queue: Waiting[] = [];
  private readonly requestBytes: Buffer;
  private measureFromMs = 0;
  private stopAtMs = 0;
  private failed = 0;
  private answered = 0;

  constructor(private readonly options: BenchLoadOptions) {
    this.requestBytes = Buffer.from(options.requestText, 'latin1');
  }

  async run(): Promise<BenchLoadResult> {
    const {connections, ratePerS, warmUpMs, measureMs} = this.options;
    const opened = await Promise.all(
      Array.from({length: connections}, () =>
        BenchConnection.open(this.options.address, (connection, status, dueAtMs) =>
          this.onAnswer(connection, status, dueAtMs),
        ),
      ),
    );
    this.measureFromMs = performance.now() + warmUpMs;
    this.stopAtMs = this.measureFromMs + measureMs;
    this.idle.push(...opened);
    if (ratePerS === undefined) {
      opened.forEach(connection => connection.send(this.requestBytes, performance.now()));
      await new Promise(resolve => setTimeout(resolve, warmUpMs + measureMs));
    } else {
      await this.sendAtRate(ratePerS);
    }
    opened.forEach(connection => connection.close());
    const summary = latencySummary(this.histogram);
    const requestsPerS = (summary.count * 1000) / measureMs;
    return {...summary, requestsPerS, answered: this.answered, failed: this.failed};
  }

  /** Polls the clock, because timers have a resolution of a millisecond. */
  private async sendAtRate(ratePerS: number): Promise<void> {
    const random = seededRandom(this.options.seed);
    let dueAtMs = performance.now();
    while (performance.now() < this.stopAtMs) {
      const nowMs = performance.now();
      while (dueAtMs <= nowMs) {
        this.queue.push({dueAtMs});
        dueAtMs += (-Math.log(1 - random.next()) * 1000) / ratePerS;
      }
      this.sendQueued();
      await new Promise(setImmediate);
    }
  }

  private sendQueued(): void {
    while (this.queue.length > 0) {
      const connection = this.idle.pop();
      if (connection === undefined) return;
      const waiting = this.queue.shift() as Waiting;
      connection.send(this.requestBytes, waiting.dueAtMs);
    }
  }

  private onAnswer(connection: BenchConnection, status: number, dueAtMs: number): void {
    const nowMs = performance.now();
    if (status !== 0) this.answered += 1;
    if (nowMs >= this.measureFromMs && nowMs < this.stopAtMs) {
      if (status === 200) this.histogram.record(nowMs - dueAtMs);
      else this.failed += 1;
    }
    if (status === 0 || nowMs >= this.stopAtMs) return;
    if (this.options.ratePerS === undefined) return connection.send(this.requestBytes, nowMs);
    this.idle.push(connection);
    this.sendQueued();
  }
}

/** Called with status 0 when the connection was lost. */
type AnswerHandler = (connection: BenchConnection, status: number, dueAtMs: number) => void;

class BenchConnection {
  private received: Buffer = Buffer.alloc(0);
  private dueAtMs = 0;
  private waiting = false;

  private constructor(
    private readonly socket: Socket,
    private readonly onAnswer: AnswerHandler,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.onData(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => this.finish(0));
  }

  static open(address: SocketAddress, onAnswer: AnswerHandler): Promise<BenchConnection> {
    return new Promise((resolve, reject) => {
      const socket = connect(address.port, address.host);
      socket.once('error', reject);
      socket.once('connect', () => resolve(new BenchConnection(socket, onAnswer)));
    });
  }

  send(request: Buffer, dueAtMs: number): void {
    this.dueAtMs = dueAtMs;
    this.waiting = true;
    this.socket.write(request);
  }

  close(): void {
    this.waiting = false;
    this.socket.destroy();
  }

  private onData(chunk: Buffer): void {
    this.received = this.received.byteLength === 0 ? chunk : Buffer.concat([this.received, chunk]);
    const response = frameResponse(this.received);
    if (response === undefined) return;
    this.received = this.received.subarray(response.byteLength);
    this.finish(response.status);
  }

  private finish(status: number): void {
    if (!this.waiting) return;
    this.waiting = false;
    this.onAnswer(this, status, this.dueAtMs);
  }
}
