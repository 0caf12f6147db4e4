/**
 * Stand-in for one target. It runs at most `slots` requests at a time and rejects further ones with status 503.
 *
 * The answer to a request echoes its body between two lines of JSON, an {@link AnswerHead} and an {@link AnswerTail}.
 * Request headers:
 *
 * - `idempotency-key`: the target counts the runs of each key;
 * - `x-request-timeout-ms`: after this time the target cancels the request with status 504;
 * - `x-standin-request-number`: repeated in the answer's head;
 * - `x-standin-answer-bytes`: number of filler bytes in the answer;
 * - `x-standin-crash: 1`: the target closes all connections and refuses new ones for `crashMs`.
 *
 * `GET /health`, `GET /load` and `GET /runs` do not count as requests.
 */
import * as http from 'node:http';
import type {Socket} from 'node:net';
import {pipeline} from 'node:stream';
import type {Target} from '@cuminsill/types';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {listen, sendJson} from './http_server';
import {makeAnswerStream, makeEmptyBodyAnswer} from './target_answer';
import type {AnswerHead} from './target_answer';
import type {TargetMode, TargetStatistics} from './target_mode';

interface StateSnapshot {
  readonly atMs: number;
  readonly inFlight: number;
  readonly state: TargetMode['state'];
}

const maxSnapshots = 10_000; // about 10 s of history at 1,000 changes a second

/** A target that listens on its own port. */
export class StandinTarget {
  private server: http.Server | undefined;
  private readonly running = new Set<http.ServerResponse>();
  private readonly runs = new Map<string, number>();
  private history: StateSnapshot[] = [];
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

  /** Starts listening and returns the port. */
  async start(): Promise<number> {
    const server = http.createServer((request, response) => this.handle(request, response));
    server.maxConnections = this.target.maxConnections;
    server.on('drop', () => (this.counts.refusedConnections += 1));
    // With Node's default of 5 s, a request on a long-kept connection could meet a connection that is just being closed.
    server.keepAliveTimeout = 60_000;
    const running = await listen(server, this.target.address.host, this.port);
    this.server = server;
    this.port = running.address.port;
    this.recordState();
    return this.port;
  }

  /** Stops the target, including a pending restart after a crash. */
  async close(): Promise<void> {
    clearTimeout(this.restartTimer);
    await this.stopListening();
  }

  /** Changes the behaviour. Setting another state than `stopped` restarts a stopped target. */
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

  /** Returns what the target has counted since its start. */
  statistics(): TargetStatistics {
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
    const handleStatus =
      request.method === 'GET' ? this.statusHandlers[request.url ?? ''] : undefined;
    if (handleStatus !== undefined) return handleStatus(response);
    this.recordOffered();
    if (this.running.size >= this.target.slots) return this.shed(request, response);
    if (request.headers['x-standin-crash'] === '1') return this.crash(request);
    this.run(request, response);
  }

  private readonly statusHandlers: Readonly<
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
    '/runs': response => sendJson(response, 200, this.statistics()),
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
    // A service time of zero gets no timer, because a timer takes at least a millisecond.
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
    // The 'close' handler of the response counts lost connections.
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
    const snapshot = {
      atMs: this.time.monotonicMs(),
      inFlight: this.running.size,
      state: this.mode.state,
    };
    this.history.push(snapshot);
    if (this.history.length > maxSnapshots) this.history = this.history.slice(maxSnapshots / 2);
  }

  private reportedState(): StateSnapshot {
    const atMs = this.time.monotonicMs() - this.mode.reportLagMs;
    const snapshot = this.history.findLast(snapshot => snapshot.atMs <= atMs) ?? this.history[0];
    return snapshot ?? {atMs, inFlight: 0, state: this.mode.state};
  }
}

/** Requests without a body are answered without streams, which would take most of the time of a small request. */
function hasNoBody(request: http.IncomingMessage): boolean {
  const {'content-length': length, 'transfer-encoding': encoding} = request.headers;
  return encoding === undefined && (length === undefined || length === '0');
}
