/**
 * Moves the applied shares of one service and caller region towards their target at half the cap per window.
 * The other half covers callers that change to an entry whose ramp is at a different position.
 */
import type {RegionShare} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {EffectiveRoute, MoveCap} from './routes';

/** A process that was paused counts at most this much time, so that it does not jump when it resumes. */
const maxStepMs = 1000;
/** Movements within this part of a window are kept as one record, which bounds the memory. */
const minRecordsPerWindow = 64;

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
export function moveSharesTowards(
  from: readonly RegionShare[],
  to: readonly RegionShare[],
  maxMovedShare: number,
): readonly RegionShare[] {
  const distance = movedShare(from, to);
  if (distance <= maxMovedShare) return to;
  const fraction = maxMovedShare / distance;
  const regionIds = new Set([...from, ...to].map(entry => entry.regionId));
  const shareIn = (shares: readonly RegionShare[], regionId: string): number =>
    shares.find(entry => entry.regionId === regionId)?.share ?? 0;
  return [...regionIds].map(regionId => {
    const startShare = shareIn(from, regionId);
    return {regionId, share: startShare + (shareIn(to, regionId) - startShare) * fraction};
  });
}

/** Share that a ramp moves per millisecond. */
export function rampRatePerMs(limit: MoveCap): number {
  return limit.maxMovedShare / 2 / limit.windowMs;
}

/** Shares that the schedule of the newest intent gives at a time; where a starting instance begins. */
export function scheduledShares(route: EffectiveRoute, nowMs: number): readonly RegionShare[] {
  if (route.confirmedAtMs === undefined) return route.shares;
  const elapsedMs = Math.max(0, nowMs - route.confirmedAtMs);
  return moveSharesTowards(
    route.previousShares,
    route.shares,
    rampRatePerMs(route.cap) * elapsedMs,
  );
}

interface ShareMove {
  readonly startMs: number;
  endMs: number;
  movedShare: number;
}

/** Applied shares of one service and caller region. */
export class ShareRamp {
  private applied: readonly RegionShare[];
  private lastAdvancedAtMs: number;
  private recentMoves: ShareMove[] = [];

  constructor(
    private route: EffectiveRoute,
    private readonly time: TimeSource,
  ) {
    this.applied = scheduledShares(route, time.nowMs());
    this.lastAdvancedAtMs = time.monotonicMs();
  }

  /** Adopts a new target and cap; the applied shares do not jump. */
  setRoute(route: EffectiveRoute): void {
    // A service without targets has no shares to move from, so the first ones apply at once.
    if (this.applied.length === 0) this.applied = scheduledShares(route, this.time.nowMs());
    this.route = route;
    this.lastAdvancedAtMs = this.time.monotonicMs();
  }

  /** Moves by the time that has passed since the last call; not at all while frozen. */
  advance(frozen: boolean): void {
    const nowMs = this.time.monotonicMs();
    const sinceMs = this.lastAdvancedAtMs;
    this.lastAdvancedAtMs = nowMs;
    if (frozen || this.applied === this.route.shares || this.route.shares.length === 0) return;
    const {cap: limit} = this.route;
    const elapsedMs = Math.min(maxStepMs, nowMs - sinceMs);
    const remainingShare = limit.maxMovedShare / 2 - this.movedShareInWindow();
    const allowedShare = Math.max(0, Math.min(rampRatePerMs(limit) * elapsedMs, remainingShare));
    const next = moveSharesTowards(this.applied, this.route.shares, allowedShare);
    this.recordMove(movedShare(this.applied, next), sinceMs, nowMs);
    this.applied = next;
  }

  /** True while the applied shares differ from the target. */
  isMoving(): boolean {
    return this.applied !== this.route.shares;
  }

  /** Share that the ramp has moved within the last window, counted along its path. */
  movedShareInWindow(): number {
    const windowStartMs = this.time.monotonicMs() - this.route.cap.windowMs;
    this.recentMoves = this.recentMoves.filter(movement => movement.endMs > windowStartMs);
    return this.recentMoves.reduce((sum, movement) => sum + movement.movedShare, 0);
  }

  /** Shares in force now. */
  shares(): readonly RegionShare[] {
    return this.applied;
  }

  private recordMove(share: number, startMs: number, endMs: number): void {
    if (share === 0) return;
    const last = this.recentMoves.at(-1);
    const maxRecordMs = this.route.cap.windowMs / minRecordsPerWindow;
    if (last !== undefined && endMs - last.startMs <= maxRecordMs) {
      last.endMs = endMs;
      last.movedShare += share;
    } else {
      this.recentMoves.push({startMs, endMs, movedShare: share});
    }
  }
}
