/** Checks of the promises on the design page against what callers received and targets recorded. */
import type {CallResult, TargetRecord} from '@cuminsill/standins';
import {resultCodes} from '@cuminsill/types';
import type {Catalog, RouteIntent} from '@cuminsill/types';
import type {LoadSample} from '../load_run';

/** What happened in a run. */
export interface RunEvidence {
  readonly catalog: Catalog;
  readonly samples: readonly LoadSample[];
  readonly records: readonly TargetRecord[];
  /** The move that was confirmed during the load. */
  readonly move: RouteIntent;
  /** Number of entries, each of which may deviate by one request from its share. */
  readonly entryCount: number;
  /** Time in milliseconds until every instance had the change in force. */
  readonly adoptionMs: number;
}

/** One promise with what was found. */
export interface PromiseCheck {
  readonly name: string;
  readonly holds: boolean;
  readonly detail: string;
}

const maxShedShare = 0.01; // differing membership views may overfill a target for a moment
const maxWorkAfterLeavingMs = 5000;
const maxAdoptionMs = 15_000;
const bucketMs = 4000; // long enough that one request per entry is a small part of a bucket
const minBucketRequests = 100; // fewer would allow a deviation of more than one in ten with ten entries
const bucketStepMs = 1000;

/** All checks, in the order of the promises. */
export const promiseChecks: ReadonlyArray<(evidence: RunEvidence) => PromiseCheck> = [
  checkMovedShare,
  checkSlots,
  checkWholeAnswers,
  checkNotRunRefusals,
  checkRunsPerKey,
  checkLeavingTargets,
  checkInterrupted,
  checkDeadlines,
  checkAdoption,
];

/** Promise 1: in any window, at most the cap of a service's requests changes its region. */
export function checkMovedShare(evidence: RunEvidence): PromiseCheck {
  const {move, entryCount} = evidence;
  const name = 'moved share stays under its cap';
  const buckets = regionBuckets(evidence);
  const windowBuckets = (move.windowS * 1000) / bucketStepMs;
  let largestMoved = 0;
  let holds = true;
  let compared = 0;
  for (let index = windowBuckets; index < buckets.length; index += 1) {
    const before = buckets[index - windowBuckets] as RegionBucket;
    const after = buckets[index] as RegionBucket;
    if (Math.min(before.total, after.total) < minBucketRequests) continue;
    compared += 1;
    const moved = movedShare(before, after);
    const tolerance = entryCount / Math.min(before.total, after.total);
    largestMoved = Math.max(largestMoved, moved);
    if (moved > move.maxMovedShare + tolerance) holds = false;
  }
  const cap = `${percent(move.maxMovedShare)} in ${move.windowS} s`;
  const detail = `at most ${percent(largestMoved)} moved in ${compared} windows; the cap is ${cap}`;
  return {name, holds: holds && compared > 0, detail};
}

/** Promise 2: no target runs more than its slots, and targets hardly ever have to shed. */
export function checkSlots({records}: RunEvidence): PromiseCheck {
  const overfilled = records.filter(record => record.peakInFlight > record.slots).length;
  const shed = sum(records, record => record.shed);
  const offered = shed + sum(records, record => record.answered);
  const shedShare = offered === 0 ? 0 : shed / offered;
  return {
    name: 'no target is overloaded',
    holds: overfilled === 0 && shedShare <= maxShedShare,
    detail: `${overfilled} of ${records.length} targets above their slots, ${percent(shedShare)} shed`,
  };
}

/** Promise 3: every answer is whole and belongs to its request. */
export function checkWholeAnswers({samples}: RunEvidence): PromiseCheck {
  const answered = samples.filter(sample => sample.result.kind === 'answered');
  const wrong = answered.filter(sample => !sample.result.whole).length;
  return {
    name: 'every answer is whole and its own',
    holds: answered.length > 0 && wrong === 0,
    detail: `${wrong} of ${answered.length} answers are not`,
  };
}

/** Promise 4: an operation that ended as not run was run by no target. */
export function checkNotRunRefusals({samples, records}: RunEvidence): PromiseCheck {
  const runs = runsByKey(records);
  const refused = samples.filter(({result}) => result.kind === 'refused');
  const keyed = refused.filter(({result}) => result.idempotencyKey !== undefined);
  const wrong = keyed.filter(({result}) => (runs.get(result.idempotencyKey ?? '') ?? 0) > 0);
  return {
    name: 'not-run refusals are true',
    holds: wrong.length === 0,
    detail: `${wrong.length} of ${keyed.length} refused operations were run; ${refused.length} refusals in all`,
  };
}

/** Promise 5: no operation runs twice. */
export function checkRunsPerKey({records}: RunEvidence): PromiseCheck {
  const counts = [...runsByKey(records).values()];
  const twice = counts.filter(count => count > 1).length;
  return {
    name: 'operations run at most once',
    holds: counts.length > 0 && twice === 0,
    detail: `${twice} of ${counts.length} operations ran more than once`,
  };
}

/** Promise 6: a target that leaves gets no new work after a few seconds. */
export function checkLeavingTargets({records}: RunEvidence): PromiseCheck {
  const longestMs = Math.max(0, ...records.map(record => record.lastWorkAfterLeavingMs));
  return {
    name: 'leaving targets get no new work',
    holds: longestMs <= maxWorkAfterLeavingMs,
    detail: `last new work ${(longestMs / 1000).toFixed(1)} s after a target said that it leaves`,
  };
}

/** Promise 7: planned stops interrupt no request. */
export function checkInterrupted({samples, records}: RunEvidence): PromiseCheck {
  const cut = sum(records, record => record.cut);
  const lost = samples.filter(({result}) => isInterrupted(result)).length;
  return {
    name: 'planned stops interrupt no request',
    holds: cut === 0 && lost === 0,
    detail: `${cut} requests cut at targets, ${lost} connections or answers lost`,
  };
}

/** Every request ends by its deadline, with an answer or a refusal. */
export function checkDeadlines({samples}: RunEvidence): PromiseCheck {
  const late = samples.filter(({result}) => result.timedOut).length;
  return {
    name: 'requests end by their deadline',
    holds: late === 0,
    detail: `${late} of ${samples.length} had no answer one second after it`,
  };
}

/** Lost answers end as unknown; a deadline that passed at a target is no interruption. */
function isInterrupted(result: CallResult): boolean {
  if (result.kind === 'unreachable') return true;
  const deadlinePassed = result.timedOut || result.code === resultCodes.deadlineExceeded.code;
  return result.kind === 'unknown' && !deadlinePassed;
}

/** Promise 8: a change is in force everywhere within seconds. */
export function checkAdoption({adoptionMs}: RunEvidence): PromiseCheck {
  return {
    name: 'changes are in force everywhere',
    holds: adoptionMs <= maxAdoptionMs,
    detail: `after ${(adoptionMs / 1000).toFixed(1)} s`,
  };
}

interface RegionBucket {
  readonly total: number;
  readonly countByRegion: ReadonlyMap<string, number>;
}

/** Counts of the moved service's requests by target region, in overlapping spans of time. */
function regionBuckets({samples, catalog, move}: RunEvidence): readonly RegionBucket[] {
  const regionOfTarget = new Map(catalog.targets.map(target => [target.id, target.regionId]));
  const moved = samples.filter(
    sample =>
      sample.serviceId === move.serviceId &&
      sample.callerRegionId === move.callerRegionId &&
      sample.result.targetId !== undefined,
  );
  const endMs = Math.max(0, ...moved.map(sample => sample.dueAtMs));
  const buckets: RegionBucket[] = [];
  for (let fromMs = 0; fromMs + bucketMs <= endMs; fromMs += bucketStepMs) {
    const inBucket = moved.filter(
      sample => sample.dueAtMs >= fromMs && sample.dueAtMs < fromMs + bucketMs,
    );
    const countByRegion = new Map<string, number>();
    for (const sample of inBucket) {
      const regionId = regionOfTarget.get(sample.result.targetId ?? '') ?? '';
      countByRegion.set(regionId, (countByRegion.get(regionId) ?? 0) + 1);
    }
    buckets.push({total: inBucket.length, countByRegion});
  }
  return buckets;
}

function movedShare(before: RegionBucket, after: RegionBucket): number {
  if (before.total === 0 || after.total === 0) return 0;
  const regionIds = new Set([...before.countByRegion.keys(), ...after.countByRegion.keys()]);
  const shareOf = (bucket: RegionBucket, id: string) =>
    (bucket.countByRegion.get(id) ?? 0) / bucket.total;
  return sum([...regionIds], id => Math.abs(shareOf(after, id) - shareOf(before, id))) / 2;
}

function runsByKey(records: readonly TargetRecord[]): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  for (const record of records) {
    for (const [key, count] of Object.entries(record.runs)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  return runs;
}

function sum<A>(list: readonly A[], pick: (entry: A) => number): number {
  return list.reduce((total, entry) => total + pick(entry), 0);
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}
