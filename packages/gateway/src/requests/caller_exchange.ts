/** One request of a caller on its connection: it waits in the queue, runs in a fiber, and its answer is written in its turn. */
import type * as http from 'node:http';
import type {Fiber} from 'effect';
import {Cause, Effect, Exit} from 'effect';
import type {GatewayParts} from '../gateway_parts';
import type {BodyReservation} from '../memory/body_memory';
import {answerShapeOf, writeAnswer} from './answer_writer';
import type {FinalAnswer} from './final_answer';
import {ownAnswer} from './final_answer';
import type {
  AnswerEnding,
  CancelCause,
  PipelinedExchange,
  RequestPipeline,
} from './request_pipeline';
import type {QueuedRequest, RequestQueue} from './request_queue';
import type {ImmediateRefusal, ServedRequest} from './serve_request';
import {recordDeparture, serveRequest} from './serve_request';

/** What the connections of one listening socket share. */
export interface ConnectionContext {
  readonly parts: GatewayParts;
  readonly queue: RequestQueue;
  /** True when the callers are other gateways that relay requests. */
  readonly isRelayed: boolean;
  /** True when new requests are refused because the gateway stops. */
  readonly isRefusing: () => boolean;
  /** When all answers must be ready because the process ends, on the monotonic clock; undefined while it does not stop. */
  readonly stopDeadlineMs: () => number | undefined;
  /** Called when an answer has left the process. */
  readonly onAnswerSent: () => void;
}

/** One request and its answer. */
export class CallerExchange implements PipelinedExchange, QueuedRequest {
  readonly blocksLater: boolean;
  private readonly arrivedAtMs: number;
  private fiber: Fiber.RuntimeFiber<ServedRequest> | undefined;
  private served: ServedRequest | undefined;
  private isCancelled = false;
  private heldAnswer: BodyReservation | undefined;

  constructor(
    private readonly context: ConnectionContext,
    private readonly pipeline: RequestPipeline,
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
  ) {
    this.arrivedAtMs = context.parts.time.monotonicMs();
    this.blocksLater = !response.shouldKeepAlive || request.httpVersion === '1.0';
  }

  get isRead(): boolean {
    return this.request.complete || hasNoBody(this.request);
  }

  begin(): void {
    this.context.queue.add(this);
  }

  handle(): void {
    this.guard(() => {
      if (hasCallerLeft(this.request)) this.recordDeparture();
      else this.serve(undefined);
    });
  }

  refuse(): void {
    this.guard(() => this.serve('gateway-busy'));
  }

  cancel(cause: CancelCause): void {
    if (this.isCancelled) return;
    this.context.queue.remove(this);
    if (this.fiber === undefined && cause === 'caller-left') this.recordDeparture();
    this.isCancelled = true;
    this.heldAnswer?.release();
    this.fiber?.unsafeInterruptAsFork(this.fiber.id());
  }

  write(ending: AnswerEnding): void {
    const {context, request, response, served} = this;
    if (served === undefined || response.destroyed) return;
    if (ending === 'close') response.shouldKeepAlive = false;
    const answer = ending === 'without-length' ? ownAnswer('answer-without-length') : served.answer;
    try {
      writeAnswer(request, response, {...served, answer}, context);
    } catch (error) {
      context.parts.defects.record('answer', error);
      this.writeInternalError(served.requestId);
    }
  }

  /** Replaces an answer that could not be written, so that the other requests of the connection keep it. */
  private writeInternalError(requestId: string | undefined): void {
    const {context, request, response} = this;
    if (response.headersSent) request.socket.destroy();
    else writeAnswer(request, response, {answer: ownAnswer('internal-error'), requestId}, context);
  }

  private serve(refusal: ImmediateRefusal | undefined): void {
    const {context, arrivedAtMs} = this;
    const {parts, isRelayed} = context;
    this.pipeline.recordPassedOn(this);
    this.fiber = Effect.runFork(
      serveRequest(parts, this.request, {
        arrivedAtMs,
        isRelayed,
        refusal: context.isRefusing() ? 'stopping' : refusal,
        stopDeadlineMs: context.stopDeadlineMs(),
      }),
    );
    this.fiber.addObserver(exit => this.guard(() => this.onServed(exit)));
  }

  private onServed(exit: Exit.Exit<ServedRequest>): void {
    if (Exit.isFailure(exit)) {
      if (!Cause.isInterruptedOnly(exit.cause)) this.onDefect(Cause.squash(exit.cause));
      return;
    }
    if (!this.isCancelled) this.answer(exit.value);
  }

  private answer(served: ServedRequest): void {
    this.served = served;
    this.holdAnswer(served.answer);
    const shape = answerShapeOf(this.request, served.answer, this.context.isRelayed);
    this.pipeline.answer(this, shape);
  }

  /** Counts the body of the answer until it has left the process, or never will. */
  private holdAnswer(answer: FinalAnswer): void {
    if (answer.kind === 'own' || answer.answer.body.length === 0) return;
    if (this.response.destroyed) return;
    this.heldAnswer = this.context.parts.bodyMemory.hold(answer.answer.body.length);
    this.response.once('close', this.heldAnswer.release);
  }

  /** Ends this request if an exception leaves its code; the other requests of the gateway go on. */
  private guard(run: () => void): void {
    try {
      run();
    } catch (error) {
      this.onDefect(error);
    }
  }

  private onDefect(error: unknown): void {
    this.context.parts.defects.record('request', error);
    if (this.served !== undefined) this.request.socket.destroy();
    else this.answer({answer: ownAnswer('internal-error'), requestId: undefined});
  }

  private recordDeparture(): void {
    if (this.isCancelled) return;
    this.isCancelled = true;
    recordDeparture(this.context.parts, this.request, this.arrivedAtMs);
  }
}

/** True when the caller has closed its connection, or its side of it. */
function hasCallerLeft({socket}: http.IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}

/** The parser reports such a request before it marks it as complete. */
function hasNoBody({headers}: http.IncomingMessage): boolean {
  return headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0';
}
