/** Writes the final answer of a request as HTTP. */
import * as http from 'node:http';
import type {TargetAnswer} from '../forwarding/target_exchange';
import {relayAnswerHeaders, relayHeaderNames} from '../forwarding/relay_wire';
import type {GatewayParts} from '../gateway_parts';
import {endToEndHeaders} from './end_to_end_headers';
import type {FinalAnswer} from './final_answer';
import {gatewayReasons} from './final_answer';
import type {AnswerShape} from './request_pipeline';
import type {ServedRequest} from './serve_request';

const noReplacedHeaders: ReadonlySet<string> = new Set();

/** Circumstances of an answer. */
export interface AnswerContext {
  readonly parts: Pick<GatewayParts, 'requestWire'>;
  /** True when another gateway gets the answer. */
  readonly isRelayed: boolean;
}

/** Size of an answer, and whether its end is visible without the end of the connection. */
export function answerShapeOf(
  request: http.IncomingMessage,
  answer: FinalAnswer,
  isForGateway: boolean,
): AnswerShape {
  if (answer.kind === 'own') return {bytes: 0, isSelfDelimited: true};
  const {body, isSelfDelimited} = answer.answer;
  const hasLength = isSelfDelimited || isForGateway || !mayHaveBody(request, answer.answer);
  return {bytes: body.length, isSelfDelimited: hasLength};
}

/** Writes the answer. Whether the connection stays open is set on the response beforehand. */
export function writeAnswer(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  served: ServedRequest,
  context: AnswerContext,
): void {
  const {answer} = served;
  const relayHeaders = context.isRelayed ? relayAnswerHeaders(answer).flat() : [];
  if (answer.kind === 'relayed') {
    writeRelayed(request, response, answer.answer, relayHeaders, context.isRelayed);
  } else {
    writeOwnAnswer(response, answer, relayHeaders, served.requestId, context);
  }
}

function writeOwnAnswer(
  response: http.ServerResponse,
  answer: Extract<FinalAnswer, {kind: 'own'}>,
  relayHeaders: readonly string[],
  requestId: string | undefined,
  {parts}: AnswerContext,
): void {
  const {code, status, text} = gatewayReasons[answer.reason];
  const body = Buffer.from(JSON.stringify({code, reason: answer.reason, message: text}));
  const headers = [
    ...relayHeaders,
    'Content-Type',
    'application/json',
    'Content-Length',
    String(body.length),
    ...(requestId === undefined
      ? []
      : Object.entries(parts.requestWire.answerHeaders(requestId)).flat()),
  ];
  if (answer.retryAfterMs !== undefined) {
    headers.push('Retry-After', (answer.retryAfterMs / 1000).toFixed(3));
  }
  // Without a reason phrase, that of an answer which could not be written would be written again.
  response.writeHead(status, http.STATUS_CODES[status] ?? '', headers);
  response.end(body);
}

/**
 * Sends a close-delimited body without a length too: with a length, a truncated body would look complete. Another gateway
 * gets the length, to see whether the body is complete, and a header that says how it was delimited.
 */
function writeRelayed(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  answer: TargetAnswer,
  relayHeaders: readonly string[],
  isForGateway: boolean,
): void {
  const replaced = isForGateway ? relayHeaderNames : noReplacedHeaders;
  const headers = [...relayHeaders, ...endToEndHeaders(answer.rawHeaders, replaced)];
  response.sendDate = false;
  if (mayHaveBody(request, answer)) {
    if (answer.isSelfDelimited || isForGateway) {
      headers.push('Content-Length', String(answer.body.length));
    } else {
      response.useChunkedEncodingByDefault = false;
    }
  }
  response.writeHead(answer.status, answer.statusText, headers);
  response.end(answer.body);
}

function mayHaveBody({method}: http.IncomingMessage, {status}: TargetAnswer): boolean {
  return status !== 204 && status !== 304 && method !== 'HEAD';
}
