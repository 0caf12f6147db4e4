/** Checks each promise of the design page against what callers received and targets recorded. */
import type {CallResult, TargetStatistics} from '@cuminsill/standins';
import {resultCodes} from '@cuminsill/types';
import type {Catalog, RouteIntent} from '@cuminsill/types';
import type {LoadSample} from '../run_load';

/** What callers, targets and operators observed in a run. */
export interface RunObservations {
  readonly catalog: Catalog;
  readonly samples: readonly LoadSample[];
  readonly records: readonly TargetStatistics[];
  /** The traffic move that was confirmed during the load. */
  readonly move: RouteIntent;
  /** Number of entries, each of which may deviate from the applied shares by one request. */
  readonly entryCount: number;
  /** Time until every instance had adopted the catalog. */
  readonly adoptionMs: number;
}

/** Result of checking one promise. */
export interface PromiseCheckResult {
  readonly name: string;
  readonly holds: boolean;
  readonly detail: string;
}

const maxRejectedFraction = 0.01; // while membership views differ, a target may briefly be sent too many requests
const maxWorkAfterLeavingMs = 5000;
const maxAdoptionMs = 15_000;
const bucketLengthMs = 4000; // long enough that one request per entry is a small fraction of a bucket
const minBucketRequests = 100; // with ten entries, fewer requests would need a tolerance above 10%
const bucketStepMs = 1000;

/** All checks, in the order of the promises. */
export const promiseChecks: ReadonlyArray<(observations: RunObservations) => PromiseCheckResult> = [
  checkMovedShare,
  checkOverload,
  checkCompleteAnswers,
  checkNotRunRefusals,
  checkAtMostOnce,
  checkLeavingTargets,
  checkInterruptions,
  checkDeadlines,
  checkAdoption,
];

/** Promise 1: in any window, at most the capped share of a service's requests changes its region. */
export function checkMovedShare(observations: RunObservations): PromiseCheckResult {
  const {move, entryCount} = observations;
  const name = 'moved share stays under its cap';
  const buckets = countByRegionAndTime(observations);
  const windowBuckets = (move.windowS * 1000) / bucketStepMs;
  let largestMovedShare = 0;
  let holds = true;
  let comparedCount = 0;
  for (let index = windowBuckets; index < buckets.length; index += 1) {
    const before = buckets[index - windowBuckets] as RegionBucket;
    const after = buckets[index] as RegionBucket;
    if (Math.min(before.total, after.total) < minBucketRequests) continue;
    comparedCount += 1;
    const movedShare = computeMovedShare(before, after);
    const tolerance = entryCount / Math.min(before.total, after.total);
    largestMovedShare = Math.max(largestMovedShare, movedShare);
    if (movedShare > move.maxMovedShare + tolerance) holds = false;
  }
  const cap = `${formatPercent(move.maxMovedShare)} in ${move.windowS} s`;
  const detail = `at most ${formatPercent(largestMovedShare)} moved in ${comparedCount} windows; the cap is ${cap}`;
  return {name, holds: holds && comparedCount > 0, detail};
}

/** Promise 2: no target runs more requests than it has slots, and targets hardly ever reject requests. */
export function checkOverload({records}: RunObservations): PromiseCheckResult {
  const overloadedCount = records.filter(record => record.peakInFlight > record.slots).length;
  const rejectedCount = sum(records, record => record.shed);
  const offeredCount = rejectedCount + sum(records, record => record.answered);
  const rejectedFraction = offeredCount === 0 ? 0 : rejectedCount / offeredCount;
  return {
    name: 'no target is overloaded',
    holds: overloadedCount === 0 && rejectedFraction <= maxRejectedFraction,
    detail: `${overloadedCount} of ${records.length} targets above their slots, ${formatPercent(rejectedFraction)} of requests rejected`,
  };
}

/** Promise 3: every answer is complete and belongs to its request. */
export function checkCompleteAnswers({samples}: RunObservations): PromiseCheckResult {
  const answered = samples.filter(sample => sample.result.kind === 'answered');
  const wrongCount = answered.filter(sample => !sample.result.isIntact).length;
  return {
    name: 'every answer is complete and belongs to its request',
    holds: answered.length > 0 && wrongCount === 0,
    detail: `${wrongCount} of ${answered.length} answers are incomplete or belong to another request`,
  };
}

/** Promise 4: an operation that was refused as not run was run by no target. */
export function checkNotRunRefusals({samples, records}: RunObservations): PromiseCheckResult {
  const runCounts = countRunsByKey(records);
  const refused = samples.filter(({result}) => result.kind === 'refused');
  const refusedWithKey = refused.filter(({result}) => result.idempotencyKey !== undefined);
  const wronglyRefused = refusedWithKey.filter(
    ({result}) => (runCounts.get(result.idempotencyKey ?? '') ?? 0) > 0,
  );
  return {
    name: 'operations refused as not run were not run',
    holds: wronglyRefused.length === 0,
    detail: `${wronglyRefused.length} of ${refusedWithKey.length} refused operations were run; ${refused.length} refusals in total`,
  };
}

/** Promise 5: no operation runs twice. */
export function checkAtMostOnce({records}: RunObservations): PromiseCheckResult {
  const counts = [...countRunsByKey(records).values()];
  const repeatedCount = counts.filter(count => count > 1).length;
  return {
    name: 'operations run at most once',
    holds: counts.length > 0 && repeatedCount === 0,
    detail: `${repeatedCount} of ${counts.length} operations ran more than once`,
  };
}

/** Promise 6: a leaving target gets no new requests after a few seconds. */
export function checkLeavingTargets({records}: RunObservations): PromiseCheckResult {
  const longestMs = Math.max(0, ...records.map(record => record.lastWorkAfterLeavingMs));
  return {
    name: 'leaving targets get no new work',
    holds: longestMs <= maxWorkAfterLeavingMs,
    detail: `last new work ${(longestMs / 1000).toFixed(1)} s after a target announced that it leaves`,
  };
}

/** Promise 7: planned stops interrupt no request. */
export function checkInterruptions({samples, records}: RunObservations): PromiseCheckResult {
  const interruptedCount = sum(records, record => record.cut);
  const lostCount = samples.filter(({result}) => isInterrupted(result)).length;
  return {
    name: 'planned stops interrupt no request',
    holds: interruptedCount === 0 && lostCount === 0,
    detail: `${interruptedCount} requests interrupted at targets, ${lostCount} connections or answers lost`,
  };
}

/** Every request ends by its deadline, with an answer or a refusal. */
export function checkDeadlines({samples}: RunObservations): PromiseCheckResult {
  const lateCount = samples.filter(({result}) => result.timedOut).length;
  return {
    name: 'requests end by their deadline',
    holds: lateCount === 0,
    detail: `${lateCount} of ${samples.length} had no answer one second after their deadline`,
  };
}

/** A lost answer has the outcome unknown; a deadline that passed at a target does not count as an interruption. */
function isInterrupted(result: CallResult): boolean {
  if (result.kind === 'unreachable') return true;
  const deadlinePassed = result.timedOut || result.code === resultCodes.deadlineExceeded.code;
  return result.kind === 'unknown' && !deadlinePassed;
}

/** Promise 8: a change is in force at every instance within seconds. */
export function checkAdoption({adoptionMs}: RunObservations): PromiseCheckResult {
  return {
    name: 'changes are in force everywhere',
    holds: adoptionMs <= maxAdoptionMs,
    detail: `after ${(adoptionMs / 1000).toFixed(1)} s`,
  };
}

/** Requests of the moved service in one span of time. */
interface RegionBucket {
  readonly total: number;
  readonly countByRegion: ReadonlyMap<string, number>;
}

/** Counts the requests of the moved service and caller region by target region, in overlapping buckets of time. */
function countByRegionAndTime({samples, catalog, move}: RunObservations): readonly RegionBucket[] {
  const regionOfTarget = new Map(catalog.targets.map(target => [target.id, target.regionId]));
  const serviceSamples = samples.filter(
    sample =>
      sample.serviceId === move.serviceId &&
      sample.callerRegionId === move.callerRegionId &&
      sample.result.targetId !== undefined,
  );
  const endMs = Math.max(0, ...serviceSamples.map(sample => sample.dueAtMs));
  const buckets: RegionBucket[] = [];
  for (let fromMs = 0; fromMs + bucketLengthMs <= endMs; fromMs += bucketStepMs) {
    const bucketSamples = serviceSamples.filter(
      sample => sample.dueAtMs >= fromMs && sample.dueAtMs < fromMs + bucketLengthMs,
    );
    const countByRegion = new Map<string, number>();
    for (const sample of bucketSamples) {
      const regionId = regionOfTarget.get(sample.result.targetId ?? '') ?? '';
      countByRegion.set(regionId, (countByRegion.get(regionId) ?? 0) + 1);
    }
    buckets.push({total: bucketSamples.length, countByRegion});
  }
  return buckets;
}

/** Half the sum of the absolute differences of the regions' shares: the share of requests that changed region. */
function computeMovedShare(before: RegionBucket, after: RegionBucket): number {
  if (before.total === 0 || after.total === 0) return 0;
  const regionIds = new Set([...before.countByRegion.keys(), ...after.countByRegion.keys()]);
  const shareOf = (bucket: RegionBucket, id: string) =>
    (bucket.countByRegion.get(id) ?? 0) / bucket.total;
  return sum([...regionIds], id => Math.abs(shareOf(after, id) - shareOf(before, id))) / 2;
}

/** Sums the runs of each idempotency key over all targets. */
function countRunsByKey(records: readonly TargetStatistics[]): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  for (const record of records) {
    for (const [key, count] of Object.entries(record.runs)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  return runs;
}

function sum<A>(items: readonly A[], getValue: (item: A) => number): number {
  return items.reduce((total, entry) => total + getValue(entry), 0);
}

function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)} %`;
}
