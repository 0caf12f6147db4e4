/** Judges a complete response of a target: whether it answers the request, and whether the target has run the request. */
import type {CallerRequest} from '../requests/caller_request';
import type {RequestWire, TargetHead} from '../requests/request_wire';
import type {CompleteResponse, ExchangeEnd, TargetAnswer} from './target_exchange';

/** Returns the response as an answer. */
export function answerOf({response, body}: CompleteResponse, head: TargetHead): TargetAnswer {
  const {rawHeaders, headers} = response;
  return {
    status: response.statusCode ?? 0,
    statusText: response.statusMessage ?? '',
    rawHeaders,
    body,
    isSelfDelimited:
      headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined,
    head,
  };
}

/** Checks whether a complete response of a target belongs to this request and whether the target ran it. */
export function classifyResponse(
  complete: CompleteResponse,
  {requestId}: CallerRequest,
  wire: RequestWire,
): ExchangeEnd {
  const {response, firstByteMs} = complete;
  const head = wire.readTarget(response);
  const answer = answerOf(complete, head);
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
