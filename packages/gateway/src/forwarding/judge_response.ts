/** Judges a complete response of a target: whether it answers the request, and whether the target has run the request. */
import {mayResponseHaveBody} from '@cuminsill/utils';
import type {CallerRequest} from '../requests/caller_request';
import type {RequestWire, TargetHead} from '../requests/request_wire';
import type {CompleteResponse, ExchangeEnd, TargetAnswer} from './target_exchange';

/** Returns the response as an answer. */
export function answerOf(
  {response, body}: CompleteResponse,
  method: string,
  head: TargetHead,
): TargetAnswer {
  const {rawHeaders, headers, statusCode: status = 0} = response;
  return {
    status,
    statusText: response.statusMessage ?? '',
    rawHeaders,
    body,
    isSelfDelimited:
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined ||
      !mayResponseHaveBody(method, status),
    head,
  };
}

/** Checks whether a complete response of a target belongs to this request and whether the target ran it. */
export function classifyResponse(
  complete: CompleteResponse,
  {requestId, method}: CallerRequest,
  wire: RequestWire,
): ExchangeEnd {
  const {response, firstByteMs} = complete;
  const head = wire.readTarget(response);
  const answer = answerOf(complete, method, head);
  // Requests carry an id, so bytes that do not repeat it say nothing of this request; a rejection may be left over.
  if (head.requestId === undefined) return lostResponse('answer without a request id');
  if (head.requestId !== requestId) return lostResponse('answer to another request');
  if (head.notExecuted || head.wrongTarget) return {kind: 'declined', answer};
  if (!head.signed) return lostResponse('unsigned answer');
  if (response.headers['content-encoding'] !== undefined) return lostResponse('encoded body');
  return {kind: 'answered', answer, firstByteMs};
}

/** Result for a response that does not answer the request; the request may have run. */
export function lostResponse(detail: string): ExchangeEnd {
  return {kind: 'lost', detail, reusedConnection: false};
}
