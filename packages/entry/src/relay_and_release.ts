/** Relays a target's response and gives its slot back once the target is done with the request. */
import type {AttemptResult} from '@cuminsill/steering';
import {Effect} from 'effect';
import type {Flight, ForwarderParts} from './forwarder_types';
import type {RelayEnd} from './relay_response';
import {relayResponse} from './relay_response';
import type {Answered, Restore} from './try_targets';

/**
 * Relays the response until it ends or the deadline passes; at the deadline both connections are closed, so the caller sees
 * an incomplete response. Runs in an uninterruptible region; `restore` says whether the caller's going away ends the relay.
 * @param keepBytes Largest body that the result keeps, in bytes.
 */
export function finishAnswer(
  parts: ForwarderParts,
  flight: Flight,
  answered: Answered,
  keepBytes: number,
  restore: Restore,
): Effect.Effect<RelayEnd> {
  const {call} = flight;
  const {response, assignment, startedAtMs} = answered;
  const status = response.statusCode ?? 0;
  const release = (result: AttemptResult) => {
    const durationMs = parts.time.monotonicMs() - startedAtMs;
    parts.steering.release(assignment, result, durationMs);
    recordAnswer(parts, flight, status, durationMs);
  };
  if (status < 500) parts.retryBudget.recordSuccess(call.contract.id);
  const remainingMs = Math.max(0, call.deadlineMs - parts.time.monotonicMs());
  const relay = relayResponse(response, flight.response, {
    keepBytes,
    headers: {'x-request-id': call.requestId},
    finishWithoutCaller: !call.idempotent,
    remainingMs,
  });
  return restore(relay).pipe(
    Effect.map(end => {
      release(resultsOfRelay[end.kind] ?? resultOfStatus(status));
      notePoison(parts, flight, answered, end);
      return end;
    }),
    Effect.onInterrupt(() => Effect.sync(() => release('cancelled'))),
  );
}

const resultsOfRelay: Readonly<Record<RelayEnd['kind'], AttemptResult | undefined>> = {
  whole: undefined,
  cut: 'connection-lost',
  deadline: 'timed-out',
  'caller-gone': 'cancelled',
};

function resultOfStatus(status: number): AttemptResult {
  return status >= 500 ? 'failed' : 'answered';
}

function notePoison(
  parts: ForwarderParts,
  flight: Flight,
  answered: Answered,
  end: RelayEnd,
): void {
  if (end.kind === 'whole') parts.poison.recordAnswered(flight.fingerprint);
  if (end.kind !== 'cut') return;
  parts.poison.recordLostTarget(flight.fingerprint, answered.assignment.target.id);
  parts.spreadNow();
}

function recordAnswer(
  parts: ForwarderParts,
  flight: Flight,
  status: number,
  durationMs: number,
): void {
  const {call} = flight;
  const tags = {
    service: call.contract.id,
    class: call.contract.trafficClass,
    tenant: call.tenant,
    status: String(status),
  };
  parts.metrics.count('requests.answered', 1, tags);
  parts.metrics.histogram('requests.latency_ms', durationMs, tags);
}
