/**
 * Hedged reads: when the first target takes longer than most, a second one is asked too, and the first answer wins. Only
 * while less than 70% of the entry's slots of the service are busy, because a hedge takes a slot that the next read
 * would have found; see docs/decisions/hedging.md.
 */
import {Effect, Fiber, Option} from 'effect';
import type {Flight, ForwarderParts} from './forwarder_types';
import type {Answered, AttemptsFailed, Restore, TryOptions} from './try_targets';
import {tryTargets} from './try_targets';

/** Largest part of the service's slots that may be busy when a hedge is sent. */
const maxBusyShare = 0.7;

/** Tries targets, and after the usual time a second line of targets. */
export function hedgedAnswer(
  parts: ForwarderParts,
  flight: Flight,
  restore: Restore,
): Effect.Effect<Answered, AttemptsFailed> {
  const serviceId = flight.call.contract.id;
  const budget = parts.hedgeBudget;
  budget.recordRead(serviceId);
  const delayMs = budget.hedgeDelayMs(serviceId);
  const startedAtMs = parts.time.monotonicMs();
  const recordDuration = Effect.sync(() =>
    budget.recordDuration(serviceId, parts.time.monotonicMs() - startedAtMs),
  );
  const answers: Answered[] = [];
  const asked: string[] = [];
  const tryAndKeep = (options: TryOptions) =>
    tryTargets(parts, flight, restore, options).pipe(
      Effect.tap(answered => Effect.sync(() => answers.push(answered))),
    );
  const discard = (winner?: Answered) =>
    Effect.sync(() =>
      discardAnswers(
        parts,
        answers.filter(answered => answered !== winner),
      ),
    );
  return Effect.gen(function* () {
    const first = yield* Effect.fork(
      tryAndKeep({excludedTargetIds: [], onAssigned: targetId => asked.push(targetId)}),
    );
    const stopFirst = Effect.onInterrupt(() => Fiber.interrupt(first).pipe(Effect.zip(discard())));
    const inTime = yield* restore(
      Fiber.join(first).pipe(
        delayMs === undefined ? Effect.asSome : Effect.timeoutOption(`${delayMs} millis`),
      ),
    ).pipe(stopFirst);
    if (Option.isSome(inTime)) return inTime.value;
    if (isBusy(parts, serviceId) || !budget.tryHedge(serviceId)) {
      return yield* restore(Fiber.join(first)).pipe(stopFirst);
    }
    parts.metrics.count('hedges.sent', 1, {service: serviceId});
    const second = tryAndKeep({excludedTargetIds: asked, onAssigned: () => undefined});
    const winner = yield* restore(
      Effect.race(
        Fiber.join(first).pipe(Effect.onInterrupt(() => Fiber.interrupt(first))),
        Effect.uninterruptible(second),
      ),
    ).pipe(stopFirst);
    yield* discard(winner);
    return winner;
  }).pipe(Effect.ensuring(recordDuration));
}

function isBusy(parts: ForwarderParts, serviceId: string): boolean {
  const loads = parts.steering.loads().filter(load => load.serviceId === serviceId);
  const inFlight = loads.reduce((sum, load) => sum + load.inFlight, 0);
  const heldSlots = loads.reduce((sum, load) => sum + load.heldSlots, 0);
  return inFlight >= maxBusyShare * heldSlots;
}

/** Both copies may answer in the same moment; the one that is not used gives its slot back. */
function discardAnswers(parts: ForwarderParts, answers: readonly Answered[]): void {
  for (const {response, assignment, startedAtMs} of answers) {
    response.destroy();
    parts.steering.release(assignment, 'cancelled', parts.time.monotonicMs() - startedAtMs);
  }
}
