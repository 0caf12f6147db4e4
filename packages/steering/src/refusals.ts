/** Refusals whose detail texts contain the numbers that led to them. */
import type {ResultError as Refusal} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';

/** Numbers of the pool that refuses a request. */
export interface PoolStats {
  readonly serviceId: string;
  readonly regionId: string;
  readonly heldSlots: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly averageLatencyMs: number;
}

function describePool(stats: PoolStats): string {
  return (
    `Service ${stats.serviceId} in region ${stats.regionId}: ${stats.heldSlots} slots held, ` +
    `${stats.inFlight} in flight, ${stats.queued} queued, ` +
    `typical latency ${Math.round(stats.averageLatencyMs)} ms`
  );
}

/** Refusal because the queue of the pool is full. */
export function overloadedRefusal(stats: PoolStats, maxQueued: number): Refusal {
  const detail = `${describePool(stats)}; the queue holds at most ${maxQueued}.`;
  return new ResultError(resultCodes.regionOverloaded, detail);
}

/** Refusal because the request cannot be answered before its deadline. */
export function deadlineRefusal(stats: PoolStats, remainingMs: number, neededMs: number): Refusal {
  const detail =
    `${describePool(stats)}; ${Math.round(remainingMs)} ms remain and ` +
    `${Math.round(neededMs)} ms are expected to be needed.`;
  return new ResultError(resultCodes.deadlineTooShort, detail);
}

/** Refusal because no region has a target that can take the request. */
export function noTargetRefusal(
  serviceId: string,
  regionIds: readonly string[],
  excludedTargetCount: number,
): Refusal {
  const regions = regionIds.length === 0 ? 'none' : regionIds.join(', ');
  const detail =
    `Service ${serviceId}: regions with targets: ${regions}; none of them has a usable target; ` +
    `${excludedTargetCount} targets were tried before.`;
  return new ResultError(resultCodes.noTarget, detail);
}

/** Refusal because the service is not in the configuration. */
export function unknownServiceRefusal(serviceId: string, version: number): Refusal {
  const detail = `Service ${serviceId} is not in configuration version ${version}.`;
  return new ResultError(resultCodes.unknownService, detail);
}

/** Refusal because the entry has no configuration or no list of members yet. */
export function notReadyRefusal(missing: 'configuration' | 'members'): Refusal {
  const detail =
    missing === 'configuration'
      ? 'No configuration has been received.'
      : 'No view of the members has been received.';
  return new ResultError(resultCodes.notReady, detail);
}
