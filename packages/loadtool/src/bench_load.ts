/**
 * Loads one server with a fixed request over persistent connections: either closed-loop, as fast as the answers arrive,
 * or open-loop, at a fixed rate with seeded Poisson arrivals. Several worker threads run it at once, so that it can
 * saturate a single-threaded server.
 */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {SocketAddress} from '@cuminsill/types';
import {seededRandom} from '@cuminsill/utils';
import {findFirstResponse} from './http_framing';
import {summarizeLatency, LatencyHistogram} from './latency_histogram';
import type {LatencySummary} from './latency_histogram';

/** What to send, where and how fast. */
export interface BenchLoadOptions {
  readonly address: SocketAddress;
  /** A complete HTTP/1.1 request. */
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

/** Throughput, latency and failures of one load. */
export interface BenchLoadResult extends LatencySummary {
  readonly requestsPerS: number;
  /** Answers in the whole run, including the warm-up. */
  readonly answered: number;
  /** Answers with a status other than 200, and lost connections, within the measured time. */
  readonly failed: number;
}

/** A request that is due and waits for an idle connection. */
interface QueuedRequest {
  readonly dueAtMs: number;
}

/** Sends the load and returns the measured result. */
export function runBenchLoad(options: BenchLoadOptions): Promise<BenchLoadResult> {
  return new BenchLoad(options).run();
}

class BenchLoad {
  private readonly histogram = new LatencyHistogram();
  private readonly idleConnections: BenchConnection[] = [];
  private readonly queuedRequests: QueuedRequest[] = [];
  private readonly requestBytes: Buffer;
  private measureStartMs = 0;
  private measureEndMs = 0;
  private failed = 0;
  private answered = 0;

  constructor(private readonly options: BenchLoadOptions) {
    this.requestBytes = Buffer.from(options.requestText, 'latin1');
  }

  async run(): Promise<BenchLoadResult> {
    const {connections, ratePerS, warmUpMs, measureMs} = this.options;
    const openConnections = await Promise.all(
      Array.from({length: connections}, () =>
        BenchConnection.open(this.options.address, (connection, status, dueAtMs) =>
          this.onAnswer(connection, status, dueAtMs),
        ),
      ),
    );
    this.measureStartMs = performance.now() + warmUpMs;
    this.measureEndMs = this.measureStartMs + measureMs;
    this.idleConnections.push(...openConnections);
    if (ratePerS === undefined) {
      openConnections.forEach(connection => connection.send(this.requestBytes, performance.now()));
      await new Promise(resolve => setTimeout(resolve, warmUpMs + measureMs));
    } else {
      await this.sendAtRate(ratePerS);
    }
    openConnections.forEach(connection => connection.close());
    const summary = summarizeLatency(this.histogram);
    const requestsPerS = (summary.count * 1000) / measureMs;
    return {...summary, requestsPerS, answered: this.answered, failed: this.failed};
  }

  /** Sends requests when they are due. Polls the clock, because timers have a resolution of only a millisecond. */
  private async sendAtRate(ratePerS: number): Promise<void> {
    const random = seededRandom(this.options.seed);
    let dueAtMs = performance.now();
    while (performance.now() < this.measureEndMs) {
      const nowMs = performance.now();
      while (dueAtMs <= nowMs) {
        this.queuedRequests.push({dueAtMs});
        dueAtMs += (-Math.log(1 - random.next()) * 1000) / ratePerS;
      }
      this.sendQueuedRequests();
      await new Promise(setImmediate);
    }
  }

  private sendQueuedRequests(): void {
    while (this.queuedRequests.length > 0) {
      const connection = this.idleConnections.pop();
      if (connection === undefined) return;
      const queuedRequest = this.queuedRequests.shift() as QueuedRequest;
      connection.send(this.requestBytes, queuedRequest.dueAtMs);
    }
  }

  private onAnswer(connection: BenchConnection, status: number, dueAtMs: number): void {
    const nowMs = performance.now();
    if (status !== 0) this.answered += 1;
    if (nowMs >= this.measureStartMs && nowMs < this.measureEndMs) {
      if (status === 200) this.histogram.record(nowMs - dueAtMs);
      else this.failed += 1;
    }
    if (status === 0 || nowMs >= this.measureEndMs) return;
    if (this.options.ratePerS === undefined) return connection.send(this.requestBytes, nowMs);
    this.idleConnections.push(connection);
    this.sendQueuedRequests();
  }
}

/** Called at the end of each request; the status is 0 when the connection was lost. */
type AnswerHandler = (connection: BenchConnection, status: number, dueAtMs: number) => void;

/** A connection that carries one request at a time. */
class BenchConnection {
  private receivedBytes: Buffer = Buffer.alloc(0);
  private dueAtMs = 0;
  private isAwaitingAnswer = false;

  private constructor(
    private readonly socket: Socket,
    private readonly onAnswer: AnswerHandler,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.onData(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => this.endRequest(0));
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
    this.isAwaitingAnswer = true;
    this.socket.write(request);
  }

  close(): void {
    this.isAwaitingAnswer = false;
    this.socket.destroy();
  }

  private onData(chunk: Buffer): void {
    this.receivedBytes =
      this.receivedBytes.byteLength === 0 ? chunk : Buffer.concat([this.receivedBytes, chunk]);
    const response = findFirstResponse(this.receivedBytes);
    if (response === undefined) return;
    this.receivedBytes = this.receivedBytes.subarray(response.byteLength);
    this.endRequest(response.status);
  }

  private endRequest(status: number): void {
    if (!this.isAwaitingAnswer) return;
    this.isAwaitingAnswer = false;
    this.onAnswer(this, status, this.dueAtMs);
  }
}
