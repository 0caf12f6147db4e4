/** Sends a request to another gateway that relays it to a target, and reads the answer. */
import {Effect} from 'effect';
import type {CallerRequest} from '../requests/caller_request';
import type {GatewayReason} from '../requests/final_answer';
import type {RequestWire} from '../requests/request_wire';
import type {ForwardedRequest} from './forwarded_request';
import type {GatewayParts} from '../gateway_parts';
import type {GatewayRecord} from '../gateway_types';
import {
  closeDelimited,
  relayFramingHeader,
  relayHeaderNames,
  relayReasonHeader,
} from './relay_wire';
import type {CompleteResponse, ExchangeEnd, TargetAnswer} from './target_exchange';
import {answerOf, lostResponse} from './judge_response';
import {exchangeWithTarget} from './target_exchange';

/** A relay that accepts no connection within this time beyond the round trip is not reached. */
const connectMarginMs = 400;
/** Reasons of a relay for which another one may do better. The request was not run. */
const retryableReasons: ReadonlySet<unknown> = new Set<GatewayReason>([
  'no-configuration',
  'no-usable-target',
  'stopping',
  'gateway-busy',
  'keys-not-confirmed',
]);

/** Relays the request. Interruption cancels it at the relay, which cancels it at the target. */
export function exchangeWithRelay(
  parts: GatewayParts,
  {request, route, service, workspace}: ForwardedRequest,
  relay: GatewayRecord,
  remainingMs: number,
): Effect.Effect<ExchangeEnd> {
  const {relays, requestWire, roundTripTimes} = parts;
  return Effect.suspend(() => {
    relays.recordStart(relay.name);
    return exchangeWithTarget({
      request,
      receiver: {id: relay.name, address: relay.peerAddress},
      addedHeaders: requestWire.relayHeaders({
        remainingMs,
        apiKey: workspace === undefined ? undefined : request.head.apiKey,
      }),
      replacedHeaders: new Set([
        ...requestWire.replacedHeaders,
        ...(workspace === undefined ? [] : requestWire.credentialHeaders),
        ...relayHeaderNames,
      ]),
      classify: response => classifyRelayed(requestWire, request, response),
      connections: parts.relayConnections,
      memory: parts.bodyMemory,
      time: parts.time,
      remainingMs,
      connectTimeoutMs: roundTripTimes.expectedMs(relay.failureDomain) + connectMarginMs,
      isAtMostOnce: route.repeat === 'at-most-once',
      onConnected: () => undefined,
    });
  }).pipe(
    Effect.tap(end => Effect.sync(() => recordFailedRelay(parts, end, relay.name, service))),
    Effect.ensuring(Effect.sync(() => relays.recordEnd(relay.name))),
  );
}

function recordFailedRelay(
  {relays}: GatewayParts,
  end: ExchangeEnd,
  name: string,
  service: string,
): void {
  if (end.kind !== 'answered') relays.recordFailure(name, service);
}

/**
 * Checks whether a complete response of a relay belongs to this request. An answer of the relay itself is the caller's
 * answer too, unless another relay may do better.
 */
export function classifyRelayed(
  requestWire: RequestWire,
  {requestId}: CallerRequest,
  complete: CompleteResponse,
): ExchangeEnd {
  const {response, firstByteMs} = complete;
  const {headers} = response;
  const head = requestWire.readTarget(response);
  // Relays name the request in all their answers; another id belongs to an earlier request on the connection.
  if (head.requestId !== requestId) return lostResponse('answer to another request');
  const isSelfDelimited = headers[relayFramingHeader] !== closeDelimited;
  const received = answerOf(complete, head);
  const answer = withoutRelayHeaders(received, isSelfDelimited);
  if (retryableReasons.has(headers[relayReasonHeader])) return {kind: 'declined', answer};
  return {kind: 'answered', answer, firstByteMs};
}

function withoutRelayHeaders(answer: TargetAnswer, isSelfDelimited: boolean): TargetAnswer {
  const rawHeaders = answer.rawHeaders.filter((_text, index) => {
    const name = answer.rawHeaders[index - (index % 2)] ?? '';
    return !relayHeaderNames.has(name.toLowerCase());
  });
  return {...answer, rawHeaders, isSelfDelimited};
}
