/**
 * Moves the applied shares of one service and caller region towards their target at half the cap per window.
 * The other half covers callers that change to an entry whose ramp is at a different position.
 */
import type {RegionShare} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {EffectiveRoute, MoveLimit} from './routes';

/** A process that was paused counts at most this much time, so that it does not jump when it resumes. */
const maxStepMs = 1000;
/** Movements within this part of a window are kept as one record, which bounds the memory. */
const recordsPerWindow = 64;

/** Half the sum of absolute differences: the share of requests that changes region. */
export function movedShare(from: readonly RegionShare[], to: readonly RegionShare[]): number {
  const differences = new Map<string, number>();
  for (const {regionId, share} of from) {
    differences.set(regionId, (differences.get(regionId) ?? 0) - share);
  }
  for (const {regionId, share} of to) {
    differences.set(regionId, (differences.get(regionId) ?? 0) + share);
  }
  let sum = 0;
  for (const difference of differences.values()) sum += Math.abs(difference);
  return sum / 2;
}

/** Shares on the straight line from one set to another, after at most `maxMoved` has changed region. */
export function moveTowards(
  from: readonly RegionShare[],
  to: readonly RegionShare[],
  maxMoved: number,
): readonly RegionShare[] {
  const distance = movedShare(from, to);
  if (distance <= maxMoved) return to;
  const fraction = maxMoved / distance;
  const regionIds = new Set([...from, ...to].map(entry => entry.regionId));
  const shareIn = (shares: readonly RegionShare[], regionId: string): number =>
    shares.find(entry => entry.regionId === regionId)?.share ?? 0;
  return [...regionIds].map(regionId => {
    const start = shareIn(from, regionId);
    return {regionId, share: start + (shareIn(to, regionId) - start) * fraction};
  });
}

/** Share that a ramp moves per millisecond. */
export function rampRatePerMs(limit: MoveLimit): number {
  return limit.maxMovedShare / 2 / limit.windowMs;
}

/** Shares that the schedule of the newest intent gives at a time; where a starting instance begins. */
export function scheduledShares(route: EffectiveRoute, nowMs: number): readonly RegionShare[] {
  if (route.confirmedAtMs === undefined) return route.shares;
  const elapsedMs = Math.max(0, nowMs - route.confirmedAtMs);
  return moveTowards(route.previousShares, route.shares, rampRatePerMs(route.limit) * elapsedMs);
}

interface Movement {
  readonly sinceMs: number;
  untilMs: number;
  amount: number;
}

/** Applied shares of one service and caller region. */
export class ShareRamp {
  private current: readonly RegionShare[];
  private advancedAtMs: number;
  private movements: Movement[] = [];

  constructor(
    private route: EffectiveRoute,
    private readonly time: TimeSource,
  ) {
    this.current = scheduledShares(route, time.nowMs());
    this.advancedAtMs = time.monotonicMs();
  }

  /** Adopts a new target and cap; the applied shares do not jump. */
  setRoute(route: EffectiveRoute): void {
    // A service without targets has no shares to move from, so the first ones apply at once.
    if (this.current.length === 0) this.current = scheduledShares(route, this.time.nowMs());
    this.route = route;
    this.advancedAtMs = this.time.monotonicMs();
  }

  /** Moves by the time that has passed since the last call; not at all while frozen. */
  advance(frozen: boolean): void {
    const nowMs = this.time.monotonicMs();
    const sinceMs = this.advancedAtMs;
    this.advancedAtMs = nowMs;
    if (frozen || this.current === this.route.shares || this.route.shares.length === 0) return;
    const {limit} = this.route;
    const elapsedMs = Math.min(maxStepMs, nowMs - sinceMs);
    const left = limit.maxMovedShare / 2 - this.movedInWindow();
    const allowed = Math.max(0, Math.min(rampRatePerMs(limit) * elapsedMs, left));
    const next = moveTowards(this.current, this.route.shares, allowed);
    this.record(movedShare(this.current, next), sinceMs, nowMs);
    this.current = next;
  }

  /** True while the applied shares differ from the target. */
  isMoving(): boolean {
    return this.current !== this.route.shares;
  }

  /** Share that the ramp has moved within the last window, counted along its path. */
  movedInWindow(): number {
    const startMs = this.time.monotonicMs() - this.route.limit.windowMs;
    this.movements = this.movements.filter(movement => movement.untilMs > startMs);
    return this.movements.reduce((sum, movement) => sum + movement.amount, 0);
  }

  /** Shares in force now. */
  shares(): readonly RegionShare[] {
    return this.current;
  }

  private record(amount: number, sinceMs: number, untilMs: number): void {
    if (amount === 0) return;
    const last = this.movements.at(-1);
    const recordMs = this.route.limit.windowMs / recordsPerWindow;
    if (last !== undefined && untilMs - last.sinceMs <= recordMs) {
      last.untilMs = untilMs;
      last.amount += amount;
    } else {
      this.movements.push({sinceMs, untilMs, amount});
    }
  }
}
