/**
 * Stand-in for one target. It runs at most `slots` requests at a time and sheds others with status 503.
 *
 * The answer to a request echoes its body between two lines of JSON: an {@link AnswerHead} and an
 * {@link AnswerTail}. Request headers:
 *
 * - `idempotency-key`: recorded with the number of runs;
 * - `x-request-timeout-ms`: the target gives up after this time with status 504;
 * - `x-standin-request-number`: repeated in the answer's head;
 * - `x-standin-answer-bytes`: adds so many bytes to the answer;
 * - `x-standin-crash: 1`: the target closes all connections and refuses new ones for `crashMs`.
 *
 * `GET /health`, `GET /load` and `GET /runs` are not counted as requests.
 */
import * as http from 'node:http';
import type {Socket} from 'node:net';
import {pipeline} from 'node:stream';
import type {Target} from '@cuminsill/types';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {listen, sendJson} from './http_server';
import {makeAnswerStream, makeEmptyBodyAnswer} from './target_answer';
import type {AnswerHead} from './target_answer';
import type {TargetMode, TargetRecord} from './target_mode';

interface StateSnapshot {
  readonly atMs: number;
  readonly inFlight: number;
  readonly state: TargetMode['state'];
}

const maxStateHistory = 10_000; // about 10 s of history at 1,000 changes a second

/** One target with its own port. */
export class StandinTarget {
  private server: http.Server | undefined;
  private readonly running = new Set<http.ServerResponse>();
  private readonly runs = new Map<string, number>();
  private stateHistory: StateSnapshot[] = [];
  private servedSinceStart = 0;
  private leavingSinceMs = 0;
  private restartTimer: NodeJS.Timeout | undefined;
  private counts = {
    peakInFlight: 0,
    peakOffered: 0,
    answered: 0,
    shed: 0,
    cancelled: 0,
    deadlineExceeded: 0,
    cut: 0,
    crashes: 0,
    refusedConnections: 0,
    lastWorkAfterLeavingMs: 0,
  };
  private port: number;

  constructor(
    readonly target: Target,
    private mode: TargetMode,
    private readonly random: RandomSource,
    private readonly time: TimeSource,
  ) {
    this.port = target.address.port;
  }

  /** Starts to listen and returns the port. */
  async start(): Promise<number> {
    const server = http.createServer((request, response) => this.handle(request, response));
    server.maxConnections = this.target.maxConnections;
    server.on('drop', () => (this.counts.refusedConnections += 1));
    // A caller that keeps connections for long must not lose a request to the default of 5 s.
    server.keepAliveTimeout = 60_000;
    const running = await listen(server, this.target.address.host, this.port);
    this.server = server;
    this.port = running.address.port;
    this.recordState();
    return this.port;
  }

  /** Stops for good. */
  async close(): Promise<void> {
    clearTimeout(this.restartTimer);
    await this.stopListening();
  }

  /** Changes the behaviour; a stopped target starts again when its state is set to another one. */
  async changeMode(change: Partial<TargetMode>): Promise<void> {
    const before = this.mode.state;
    this.mode = {...this.mode, ...change};
    if (this.mode.state === before) return;
    if (this.mode.state === 'leaving') this.leavingSinceMs = this.time.monotonicMs();
    this.recordState();
    if (this.mode.state === 'stopped') await this.close();
    if (before === 'stopped') {
      this.servedSinceStart = 0;
      await this.start();
    }
  }

  /** What was counted since the start. */
  record(): TargetRecord {
    return {
      targetId: this.target.id,
      slots: this.target.slots,
      inFlight: this.running.size,
      ...this.counts,
      runs: Object.fromEntries(this.runs),
    };
  }

  private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (this.mode.state === 'leaving') response.setHeader('x-target-state', 'leaving');
    const report = request.method === 'GET' ? this.reportHandlers[request.url ?? ''] : undefined;
    if (report !== undefined) return report(response);
    this.recordOffered();
    if (this.running.size >= this.target.slots) return this.shed(request, response);
    if (request.headers['x-standin-crash'] === '1') return this.crash(request);
    this.run(request, response);
  }

  private readonly reportHandlers: Readonly<
    Record<string, (response: http.ServerResponse) => void>
  > = {
    '/health': response => {
      const state = this.reportedState().state;
      const stated =
        this.mode.statedHealth === 'true'
          ? {serving: 'healthy', leaving: 'leaving', stopped: 'failing'}[state]
          : this.mode.statedHealth;
      sendJson(response, stated === 'healthy' ? 200 : 503, {state: stated});
    },
    '/load': response => {
      const slots = this.target.slots;
      const inFlight = {true: this.reportedState().inFlight, idle: 0, full: slots}[
        this.mode.statedLoad
      ];
      sendJson(response, 200, {inFlight, slots});
    },
    '/runs': response => sendJson(response, 200, this.record()),
  };

  private recordOffered(): void {
    this.counts.peakOffered = Math.max(this.counts.peakOffered, this.running.size + 1);
    if (this.mode.state !== 'leaving') return;
    const leavingForMs = this.time.monotonicMs() - this.leavingSinceMs;
    this.counts.lastWorkAfterLeavingMs = Math.max(this.counts.lastWorkAfterLeavingMs, leavingForMs);
  }

  private shed(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.counts.shed += 1;
    request.resume();
    sendJson(response, 503, {shed: true, targetId: this.target.id});
  }

  private crash(request: http.IncomingMessage): void {
    this.countRun(request);
    this.counts.crashes += 1;
    void this.stopListening();
    this.restartTimer = setTimeout(() => {
      this.servedSinceStart = 0;
      void this.start();
    }, this.mode.crashMs);
  }

  private run(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.countRun(request);
    this.running.add(response);
    this.counts.peakInFlight = Math.max(this.counts.peakInFlight, this.running.size);
    this.recordState();
    const serviceMs = this.drawServiceMs();
    // Without a service time the answer must not wait for a timer, which takes at least a millisecond.
    const serviceTimer =
      serviceMs > 0 ? setTimeout(() => this.echo(request, response), serviceMs) : undefined;
    const timeoutMs = Number(request.headers['x-request-timeout-ms'] ?? 0);
    const deadlineTimer =
      timeoutMs > 0
        ? setTimeout(() => this.abortAtDeadline(request, response), timeoutMs)
        : undefined;
    response.on('close', () => {
      clearTimeout(serviceTimer);
      clearTimeout(deadlineTimer);
      this.running.delete(response);
      this.recordState();
      if (this.server === undefined) return;
      if (response.writableFinished) this.counts.answered += 1;
      else this.counts.cancelled += 1;
    });
    if (serviceTimer === undefined) this.echo(request, response);
  }

  private echo(request: http.IncomingMessage, response: http.ServerResponse): void {
    const head: AnswerHead = {
      targetId: this.target.id,
      serviceId: this.target.serviceId,
      requestNumber: String(request.headers['x-standin-request-number'] ?? ''),
      idempotencyKey: String(request.headers['idempotency-key'] ?? ''),
      method: request.method ?? '',
      path: request.url ?? '',
    };
    const fillerBytes = Number(request.headers['x-standin-answer-bytes'] ?? 0);
    const contentType = 'application/octet-stream';
    if (hasNoBody(request)) {
      const answer = makeEmptyBodyAnswer(head, fillerBytes);
      const contentLength = Buffer.byteLength(answer);
      response.writeHead(200, {'content-type': contentType, 'content-length': contentLength});
      response.end(answer);
      return;
    }
    response.writeHead(200, {'content-type': contentType});
    // A lost connection is counted when the response closes.
    pipeline(request, makeAnswerStream(head, fillerBytes), response, () => undefined);
  }

  private abortAtDeadline(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.counts.deadlineExceeded += 1;
    if (response.headersSent) return void response.destroy();
    request.resume();
    sendJson(response, 504, {deadlineExceeded: true, targetId: this.target.id});
  }

  private countRun(request: http.IncomingMessage): void {
    const key = request.headers['idempotency-key'];
    if (typeof key === 'string') this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
  }

  private drawServiceMs(): number {
    const {serviceMs, spread, coldRequests, coldFactor} = this.mode;
    const factor = this.servedSinceStart < coldRequests ? coldFactor : 1;
    this.servedSinceStart += 1;
    return serviceMs * factor * (1 + spread * (2 * this.random.next() - 1));
  }

  private async stopListening(): Promise<void> {
    const server = this.server;
    if (server === undefined) return;
    this.server = undefined;
    this.counts.cut += this.running.size;
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    for (const response of this.running) (response.socket as Socket | null)?.resetAndDestroy();
    server.closeAllConnections();
    await closed;
  }

  private recordState(): void {
    const report = {
      atMs: this.time.monotonicMs(),
      inFlight: this.running.size,
      state: this.mode.state,
    };
    this.stateHistory.push(report);
    if (this.stateHistory.length > maxStateHistory)
      this.stateHistory = this.stateHistory.slice(maxStateHistory / 2);
  }

  private reportedState(): StateSnapshot {
    const atMs = this.time.monotonicMs() - this.mode.reportLagMs;
    const report = this.stateHistory.findLast(kept => kept.atMs <= atMs) ?? this.stateHistory[0];
    return report ?? {atMs, inFlight: 0, state: this.mode.state};
  }
}

/** Such requests are answered without streams, which take most of the time of a small request. */
function hasNoBody(request: http.IncomingMessage): boolean {
  const {'content-length': length, 'transfer-encoding': encoding} = request.headers;
  return encoding === undefined && (length === undefined || length === '0');
}
