/**
 * Targets that went down under one request, and when each of them did, so that an answer removes exactly the losses before
 * it, in whatever order instances hear of losses and answers. Merging is commutative, associative and idempotent.
 */
import type {PoisonSuspicion} from '@cuminsill/types';

/** How long a suspicion lasts after the last lost target, and how long an answer is remembered. */
export const suspicionTtlMs = 600_000;

/** Two targets are enough to refuse a request; more are kept for operators, and the limit keeps messages small. */
const maxTargetsPerSuspicion = 8;

/** One is enough to tell that the request was sent again; more are kept for operators. */
const maxRepeatTargetsPerSuspicion = 4;

/** When targets went down, in milliseconds since the Unix epoch, by target id. */
type LossTimesMs = ReadonlyMap<string, number>;

/** Losses under one request. */
export interface TargetLosses {
  readonly all: LossTimesMs;
  /** Losses under a request that was sent after an earlier loss was known. */
  readonly repeated: LossTimesMs;
}

/** No losses. */
export const noLosses: TargetLosses = {all: new Map(), repeated: new Map()};

/** The loss of one target. */
export function lossOf(targetId: string, lostAtMs: number, isRepeat: boolean): TargetLosses {
  const all = new Map([[targetId, lostAtMs]]);
  return {all, repeated: isRepeat ? all : noLosses.repeated};
}

/** The losses of a suspicion. */
export function lossesOf(suspicion: PoisonSuspicion): TargetLosses {
  const {targetIds, lostAtMs, repeatTargetIds, repeatLostAtMs} = suspicion;
  const lastMs = suspicion.untilMs - suspicionTtlMs;
  const timesOf = (ids: readonly string[], timesMs: readonly number[] = []) =>
    new Map(ids.map((id, index) => [id, timesMs[index] ?? lastMs]));
  return {all: timesOf(targetIds, lostAtMs), repeated: timesOf(repeatTargetIds, repeatLostAtMs)};
}

/** The suspicion that tells others of the losses, of which there is at least one. */
export function suspicionOf(fingerprint: string, losses: TargetLosses): PoisonSuspicion {
  const {all, repeated} = losses;
  return {
    fingerprint,
    targetIds: [...all.keys()],
    repeatTargetIds: [...repeated.keys()],
    lostAtMs: [...all.values()],
    repeatLostAtMs: [...repeated.values()],
    untilMs: lastLossAtMs(losses) + suspicionTtlMs,
  };
}

/** Counts later losses as of a time: a peer whose clock is ahead must not extend a quarantine beyond ten minutes from now. */
export function limitLossTimes({all, repeated}: TargetLosses, maxMs: number): TargetLosses {
  const limit = (timesMs: LossTimesMs) =>
    new Map([...timesMs].map(([id, ms]) => [id, Math.min(ms, maxMs)]));
  return {all: limit(all), repeated: limit(repeated)};
}

/** Merges losses under the same request. */
export function mergeLosses(first: TargetLosses, second: TargetLosses): TargetLosses {
  return {
    all: mergeTimes(first.all, second.all, maxTargetsPerSuspicion),
    repeated: mergeTimes(first.repeated, second.repeated, maxRepeatTargetsPerSuspicion),
  };
}

/** The losses after a time. */
export function lossesAfter(losses: TargetLosses, timeMs: number): TargetLosses {
  return filterLosses(losses, lostAtMs => lostAtMs > timeMs);
}

/** The losses at a time or before it. */
export function lossesUntil(losses: TargetLosses, timeMs: number): TargetLosses {
  return filterLosses(losses, lostAtMs => lostAtMs <= timeMs);
}

/** Time of the last loss; negative infinity if there is none. */
export function lastLossAtMs({all, repeated}: TargetLosses): number {
  return Math.max(Number.NEGATIVE_INFINITY, ...all.values(), ...repeated.values());
}

/** The distinct targets that were lost. */
export function lostTargetIdsOf({all, repeated}: TargetLosses): readonly string[] {
  return [...new Set([...all.keys(), ...repeated.keys()])];
}

/** Keeps the first targets in the order of their ids, so that all instances keep the same. */
function mergeTimes(first: LossTimesMs, second: LossTimesMs, maxCount: number): LossTimesMs {
  const latestMs = new Map(first);
  for (const [id, lostAtMs] of second) {
    latestMs.set(id, Math.max(lostAtMs, latestMs.get(id) ?? lostAtMs));
  }
  return new Map([...latestMs].sort(([a], [b]) => (a < b ? -1 : 1)).slice(0, maxCount));
}

function filterLosses(
  {all, repeated}: TargetLosses,
  isKept: (lostAtMs: number) => boolean,
): TargetLosses {
  const keep = (timesMs: LossTimesMs) => new Map([...timesMs].filter(([, ms]) => isKept(ms)));
  return {all: keep(all), repeated: keep(repeated)};
}
