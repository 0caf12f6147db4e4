/**
 * Moves the applied shares of one service and caller region linearly to the shares of the route, at half the cap per
 * window. The other half of the cap covers callers that switch to an entry whose ramp is at a different position.
 */
import type {RegionShare} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {EffectiveRoute, MoveCap} from './routes';

/** Maximum time that one step counts, so that the shares do not jump when a paused process resumes. */
const maxStepMs = 1000;
/** Moves within 1/64 of a window are merged into one record, which bounds the memory. */
const recordsPerWindow = 64;

/** Share of requests that change region between two sets of shares: half the sum of the absolute differences. */
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

/** Interpolates linearly from one set of shares to another, so that at most `maxMovedShare` changes region. */
export function moveSharesTowards(
  from: readonly RegionShare[],
  to: readonly RegionShare[],
  maxMovedShare: number,
): readonly RegionShare[] {
  const distance = movedShare(from, to);
  if (distance <= maxMovedShare) return to;
  const fraction = maxMovedShare / distance;
  const regionIds = new Set([...from, ...to].map(region => region.regionId));
  const shareIn = (shares: readonly RegionShare[], regionId: string): number =>
    shares.find(region => region.regionId === regionId)?.share ?? 0;
  return [...regionIds].map(regionId => {
    const startShare = shareIn(from, regionId);
    return {regionId, share: startShare + (shareIn(to, regionId) - startShare) * fraction};
  });
}

/** Share that a ramp moves per millisecond: half the cap per window. */
export function rampRatePerMs(cap: MoveCap): number {
  return cap.maxMovedShare / 2 / cap.windowMs;
}

/**
 * Shares that a ramp has reached at a time if it started when the newest intent was confirmed. An instance that starts
 * during a move begins with them.
 */
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

/** The applied shares of one service and caller region at one entry. */
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

  /** Adopts the shares and the cap of a new route; the applied shares do not jump. */
  setRoute(route: EffectiveRoute): void {
    // A service that had no targets has no shares to move from, so the scheduled shares apply at once.
    if (this.applied.length === 0) this.applied = scheduledShares(route, this.time.nowMs());
    this.route = route;
    this.lastAdvancedAtMs = this.time.monotonicMs();
  }

  /** Moves the shares by the time since the last call; a frozen ramp does not move. */
  advance(frozen: boolean): void {
    const nowMs = this.time.monotonicMs();
    const sinceMs = this.lastAdvancedAtMs;
    this.lastAdvancedAtMs = nowMs;
    if (frozen || this.applied === this.route.shares || this.route.shares.length === 0) return;
    const {cap} = this.route;
    const elapsedMs = Math.min(maxStepMs, nowMs - sinceMs);
    const remainingShare = cap.maxMovedShare / 2 - this.movedShareInWindow();
    const allowedShare = Math.max(0, Math.min(rampRatePerMs(cap) * elapsedMs, remainingShare));
    const next = moveSharesTowards(this.applied, this.route.shares, allowedShare);
    this.recordMove(movedShare(this.applied, next), sinceMs, nowMs);
    this.applied = next;
  }

  /** True until the applied shares have reached those of the route. */
  isMoving(): boolean {
    return this.applied !== this.route.shares;
  }

  /** Sum of the shares that the ramp moved within the last window; opposite moves do not cancel out. */
  movedShareInWindow(): number {
    const windowStartMs = this.time.monotonicMs() - this.route.cap.windowMs;
    this.recentMoves = this.recentMoves.filter(move => move.endMs > windowStartMs);
    return this.recentMoves.reduce((sum, move) => sum + move.movedShare, 0);
  }

  /** The shares that apply now. */
  shares(): readonly RegionShare[] {
    return this.applied;
  }

  private recordMove(share: number, startMs: number, endMs: number): void {
    if (share === 0) return;
    const last = this.recentMoves.at(-1);
    const maxRecordMs = this.route.cap.windowMs / recordsPerWindow;
    if (last !== undefined && endMs - last.startMs <= maxRecordMs) {
      last.endMs = endMs;
      last.movedShare += share;
    } else {
      this.recentMoves.push({startMs, endMs, movedShare: share});
    }
  }
}
