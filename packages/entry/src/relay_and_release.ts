/** Relays a target's response and releases its slot when the target is done with the request. */
import type {AttemptResult} from '@cuminsill/steering';
import {Effect} from 'effect';
import type {RequestContext, ForwarderDependencies} from './forwarder_types';
import type {RelayEnd} from './relay_response';
import {relayResponse} from './relay_response';
import type {TargetResponse, Restore} from './try_targets';

/**
 * Relays the response until it ends or the deadline passes. At the deadline both connections are closed, so the caller
 * sees an incomplete response. Runs in an uninterruptible region; `restore` determines whether a caller that disconnects
 * interrupts the relay.
 * @param maxKeptBytes Largest body that the result contains, in bytes.
 */
export function relayAndRelease(
  deps: ForwarderDependencies,
  context: RequestContext,
  targetResponse: TargetResponse,
  maxKeptBytes: number,
  restore: Restore,
): Effect.Effect<RelayEnd> {
  const {head} = context;
  const {response, assignment, startedAtMs} = targetResponse;
  const status = response.statusCode ?? 0;
  const releaseSlot = (result: AttemptResult) => {
    const durationMs = deps.time.monotonicMs() - startedAtMs;
    deps.steering.release(assignment, result, durationMs);
    recordResponseMetrics(deps, context, status, durationMs);
  };
  if (status < 500) deps.retryBudget.recordSuccess(head.contract.id);
  const remainingMs = Math.max(0, head.deadlineMs - deps.time.monotonicMs());
  const relay = relayResponse(response, context.response, {
    maxKeptBytes,
    headers: {'x-request-id': head.requestId},
    finishWithoutCaller: !head.isIdempotent,
    remainingMs,
  });
  return restore(relay).pipe(
    Effect.map(end => {
      releaseSlot(resultByRelayEnd[end.kind] ?? resultFromStatus(status));
      updatePoisonGuard(deps, context, targetResponse, end);
      return end;
    }),
    Effect.onInterrupt(() => Effect.sync(() => releaseSlot('cancelled'))),
  );
}

const resultByRelayEnd: Readonly<Record<RelayEnd['kind'], AttemptResult | undefined>> = {
  whole: undefined,
  cut: 'connection-lost',
  deadline: 'timed-out',
  'caller-gone': 'cancelled',
};

function resultFromStatus(status: number): AttemptResult {
  return status >= 500 ? 'failed' : 'answered';
}

function updatePoisonGuard(
  deps: ForwarderDependencies,
  context: RequestContext,
  targetResponse: TargetResponse,
  end: RelayEnd,
): void {
  const {response, assignment} = targetResponse;
  if (end.kind === 'whole') {
    deps.poisonGuard.recordAnswered(context.fingerprint, response.statusCode ?? 0);
  }
  if (end.kind !== 'cut') return;
  deps.poisonGuard.recordLostTarget(
    context.fingerprint,
    assignment.target.id,
    context.wasSuspected,
  );
  deps.reportSoon();
}

function recordResponseMetrics(
  deps: ForwarderDependencies,
  context: RequestContext,
  status: number,
  durationMs: number,
): void {
  const {head} = context;
  const tags = {
    service: head.contract.id,
    class: head.contract.trafficClass,
    tenant: head.tenant,
    status: String(status),
  };
  deps.metrics.count('requests.answered', 1, tags);
  deps.metrics.histogram('requests.latency_ms', durationMs, tags);
}
