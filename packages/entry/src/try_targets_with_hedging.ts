/**
 * Hedged reads: if the first target does not respond within the hedge delay, the read is also sent to a second target,
 * and the first response wins. A hedge is sent only while less than 70% of the entry's slots of the service are busy,
 * because it takes a slot that the next read would have used; see docs/decisions/hedging.md.
 */
import {Effect, Fiber, Option} from 'effect';
import type {RequestContext, ForwarderDependencies} from './forwarder_types';
import type {TargetResponse, AttemptsFailed, Restore, AttemptOptions} from './try_targets';
import {tryTargets} from './try_targets';

/** Busy fraction of the slots of a service from which on no hedge is sent. */
const maxBusyFraction = 0.7;

/** Tries targets and, after the hedge delay, also a second sequence of targets; the first response wins. */
export function tryTargetsWithHedging(
  deps: ForwarderDependencies,
  context: RequestContext,
  restore: Restore,
): Effect.Effect<TargetResponse, AttemptsFailed> {
  const serviceId = context.head.contract.id;
  const budget = deps.hedgeBudget;
  budget.recordRead(serviceId);
  const delayMs = budget.hedgeDelayMs(serviceId);
  const startedAtMs = deps.time.monotonicMs();
  const recordDuration = Effect.sync(() =>
    budget.recordDuration(serviceId, deps.time.monotonicMs() - startedAtMs),
  );
  const responses: TargetResponse[] = [];
  const askedTargetIds: string[] = [];
  const tryAndCollect = (options: AttemptOptions) =>
    tryTargets(deps, context, restore, options).pipe(
      Effect.tap(targetResponse => Effect.sync(() => responses.push(targetResponse))),
    );
  const discard = (winner?: TargetResponse) =>
    Effect.sync(() =>
      discardResponses(
        deps,
        responses.filter(targetResponse => targetResponse !== winner),
      ),
    );
  return Effect.gen(function* () {
    const first = yield* Effect.fork(
      tryAndCollect({excludedTargetIds: [], onAssigned: targetId => askedTargetIds.push(targetId)}),
    );
    const interruptFirst = Effect.onInterrupt(() =>
      Fiber.interrupt(first).pipe(Effect.zip(discard())),
    );
    const firstInTime = yield* restore(
      Fiber.join(first).pipe(
        delayMs === undefined ? Effect.asSome : Effect.timeoutOption(`${delayMs} millis`),
      ),
    ).pipe(interruptFirst);
    if (Option.isSome(firstInTime)) return firstInTime.value;
    if (isBusy(deps, serviceId) || !budget.tryHedge(serviceId)) {
      return yield* restore(Fiber.join(first)).pipe(interruptFirst);
    }
    deps.metrics.count('hedges.sent', 1, {service: serviceId});
    const second = tryAndCollect({excludedTargetIds: askedTargetIds, onAssigned: () => undefined});
    const winner = yield* restore(
      Effect.race(
        Fiber.join(first).pipe(Effect.onInterrupt(() => Fiber.interrupt(first))),
        Effect.uninterruptible(second),
      ),
    ).pipe(interruptFirst);
    yield* discard(winner);
    return winner;
  }).pipe(Effect.ensuring(recordDuration));
}

function isBusy(deps: ForwarderDependencies, serviceId: string): boolean {
  const loads = deps.steering.loads().filter(load => load.serviceId === serviceId);
  const inFlight = loads.reduce((sum, load) => sum + load.inFlight, 0);
  const heldSlots = loads.reduce((sum, load) => sum + load.heldSlots, 0);
  return inFlight >= maxBusyFraction * heldSlots;
}

/** Both targets may respond at the same moment; the unused response is dropped and its slot released. */
function discardResponses(deps: ForwarderDependencies, responses: readonly TargetResponse[]): void {
  for (const {response, assignment, startedAtMs} of responses) {
    response.destroy();
    deps.steering.release(assignment, 'cancelled', deps.time.monotonicMs() - startedAtMs);
  }
}
