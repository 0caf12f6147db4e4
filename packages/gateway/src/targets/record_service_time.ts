/** Updates what the gateway expects of a service and of one of its targets from the service time of an answer. */
import type {ServiceTimeEstimator} from './service_time_estimator';
import type {Target} from './target';

/** Shorter service times are ignored, because the network delay dominates them. */
const minServiceTimeMs = 5;

/** An answer of a target to a request that it has run. */
export interface TimedAnswer {
  readonly objectKey: string | undefined;
  /** Time until the first byte, without the network and the expected wait for a slot. */
  readonly serviceTimeMs: number;
  /** True when the request may have waited at the target, so that the time includes a wait. */
  readonly mayHaveWaited: boolean;
}

/** Records the answer. Must be called after the reports in the answer were recorded. */
export function recordServiceTime(
  target: Target,
  serviceTimes: ServiceTimeEstimator,
  {objectKey, serviceTimeMs, mayHaveWaited}: TimedAnswer,
  nowMs: number,
): void {
  const {health, heldObjectTimes, recentObjects, workDuration} = target;
  serviceTimes.recordAnswer(serviceTimeMs);
  if (serviceTimeMs >= minServiceTimeMs) {
    const {durationModel} = serviceTimes;
    const usualMs = workDuration.normalize(serviceTimeMs, nowMs, durationModel, serviceTimes);
    const wasHeld = objectKey !== undefined && recentObjects.has(objectKey, nowMs);
    if (wasHeld) {
      heldObjectTimes.record(usualMs / serviceTimes.expectedMs(true), nowMs);
    }
    // Service times of slow targets do not count for the service's estimate.
    if (!health.isSlow(nowMs) && !target.isCold(nowMs))
      serviceTimes.observe(usualMs, mayHaveWaited);
    // The target itself is slow only if it took longer than for an uncached object.
    health.onAnswer(nowMs, Math.max(1, usualMs / serviceTimes.expectedMs(false)));
  }
  if (objectKey !== undefined) recentObjects.recordUse(objectKey, nowMs);
}
