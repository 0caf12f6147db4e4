/**
 * Where a configuration sends traffic: the usable targets per service and region, the shares per service and
 * caller region, and the position of moves that are under way.
 */
import type {
  Configuration,
  ConfirmedIntent,
  Demand,
  RegionShare,
  RouteIntent,
  Target,
} from '@cuminsill/types';

/** Largest share of requests that may change region within any window. */
export interface MoveCap {
  readonly maxMovedShare: number;
  readonly windowS: number;
}

/** Cap of a route that no intent describes (design page, section 4.2). */
export const defaultMoveCap: MoveCap = {maxMovedShare: 0.25, windowS: 60};

/** Shares that differ by less are equal; sums of shares carry rounding errors of about 1e-16 each. */
export const shareTolerance = 1e-9;

interface ConfirmedRoute extends ConfirmedIntent {
  readonly intent: RouteIntent;
}

/** Share of the region in a list; 0 when it is not in the list. */
export function shareOf(shares: readonly RegionShare[], regionId: string): number {
  return shares.reduce((sum, entry) => (entry.regionId === regionId ? sum + entry.share : sum), 0);
}

/** Share of requests that goes to another region under `after` than under `before`, from 0 to 1. */
export function movedShare(before: readonly RegionShare[], after: readonly RegionShare[]): number {
  let gained = 0;
  let lost = 0;
  for (const regionId of regionIdsOf(before, after)) {
    const difference = shareOf(after, regionId) - shareOf(before, regionId);
    if (difference > 0) gained += difference;
    else lost -= difference;
  }
  return Math.min(1, Math.max(gained, lost));
}

/** Point between two lists of shares; fraction 0 is `before`, 1 is `after`. */
export function interpolateShares(
  before: readonly RegionShare[],
  after: readonly RegionShare[],
  fraction: number,
): readonly RegionShare[] {
  if (fraction >= 1) return after;
  return regionIdsOf(before, after)
    .map(regionId => {
      const start = shareOf(before, regionId);
      return {regionId, share: start + (shareOf(after, regionId) - start) * fraction};
    })
    .filter(entry => entry.share > 0);
}

/** Part of the move that the ramp covers per second: half the cap, spread over the window. */
export function rampRatePerS(cap: MoveCap): number {
  return cap.maxMovedShare / 2 / cap.windowS;
}

/** Reads one configuration; built once per plan. */
export class TrafficView {
  private readonly drained: ReadonlySet<string>;
  private readonly usable = new Map<string, Map<string, Target[]>>();
  private readonly routes = new Map<string, ConfirmedRoute[]>();
  private readonly demands = new Map<string, Demand[]>();
  /** One-way latency in milliseconds by region and other region. */
  private readonly latencies = new Map<string, Map<string, number>>();
  /** A plan reads the same final shares for share changes, headroom and risks. */
  private readonly finalSharesByRoute = new Map<string, readonly RegionShare[]>();

  /** @param configuration The configuration to read; it is not changed. */
  constructor(readonly configuration: Configuration) {
    const drained = new Set<string>();
    for (const entry of configuration.intents) {
      if (entry.intent.kind === 'route') this.addRoute(entry as ConfirmedRoute);
      else drained.add(entry.intent.siteId);
    }
    this.drained = drained;
    for (const target of configuration.catalog.targets) {
      if (!drained.has(target.siteId)) this.addTarget(target);
    }
    for (const demand of configuration.catalog.demands) {
      const demands = this.demands.get(demand.serviceId);
      if (demands === undefined) this.demands.set(demand.serviceId, [demand]);
      else demands.push(demand);
    }
    for (const link of configuration.catalog.links) {
      this.addLatency(link.fromRegionId, link.toRegionId, link.oneWayLatencyMs);
      this.addLatency(link.toRegionId, link.fromRegionId, link.oneWayLatencyMs);
    }
  }

  /** True when an intent drains or stops the site. */
  isDrained(siteId: string): boolean {
    return this.drained.has(siteId);
  }

  /** Targets of the service in the region that no intent drains. */
  usableTargets(serviceId: string, regionId: string): readonly Target[] {
    return this.usable.get(serviceId)?.get(regionId) ?? [];
  }

  /** Configured demands for the service. */
  demandsOf(serviceId: string): readonly Demand[] {
    return this.demands.get(serviceId) ?? [];
  }

  /** Regions with at least one usable target for the service. */
  usableRegionIds(serviceId: string): readonly string[] {
    return [...(this.usable.get(serviceId)?.keys() ?? [])];
  }

  /** Route intents for one service and caller region, the newest last; the newest gives the shares. */
  routesOf(serviceId: string, callerRegionId: string): readonly ConfirmedIntent[] {
    return this.routes.get(routeKey(serviceId, callerRegionId)) ?? [];
  }

  /** Cap that the ramp obeys: the slowest of the route's intents, so that each of their caps holds. */
  capOf(serviceId: string, callerRegionId: string): MoveCap {
    const routes = this.routes.get(routeKey(serviceId, callerRegionId)) ?? [];
    const caps = routes.map(({intent: {maxMovedShare, windowS}}) => ({maxMovedShare, windowS}));
    if (caps.length === 0) return defaultMoveCap;
    return caps.reduce((slowest, cap) =>
      rampRatePerS(cap) < rampRatePerS(slowest) ? cap : slowest,
    );
  }

  /** Shares when all moves are finished; empty when the service has no usable target. */
  finalShares(serviceId: string, callerRegionId: string): readonly RegionShare[] {
    const key = routeKey(serviceId, callerRegionId);
    let shares = this.finalSharesByRoute.get(key);
    if (shares === undefined) {
      const newest = this.routes.get(key)?.at(-1);
      shares = this.overUsableRegions(serviceId, callerRegionId, newest?.intent.shares ?? []);
      this.finalSharesByRoute.set(key, shares);
    }
    return shares;
  }

  /** Shares at the scheduled position of the ramp. */
  sharesAt(serviceId: string, callerRegionId: string, nowMs: number): readonly RegionShare[] {
    const newest = this.routes.get(routeKey(serviceId, callerRegionId))?.at(-1);
    if (newest === undefined) return this.finalShares(serviceId, callerRegionId);
    const fraction = this.rampFraction(newest, nowMs);
    const shares = interpolateShares(newest.previousShares, newest.intent.shares, fraction);
    return this.overUsableRegions(serviceId, callerRegionId, shares);
  }

  /** True while the ramp of the route has not reached the shares of its intent. */
  isMoving(serviceId: string, callerRegionId: string, nowMs: number): boolean {
    const newest = this.routes.get(routeKey(serviceId, callerRegionId))?.at(-1);
    return newest !== undefined && this.rampFraction(newest, nowMs) < 1;
  }

  private rampFraction(route: ConfirmedRoute, nowMs: number): number {
    const {intent, previousShares, confirmedAtMs} = route;
    if (previousShares.length === 0) return 1;
    const moved = movedShare(previousShares, intent.shares);
    if (moved < shareTolerance) return 1;
    const elapsedS = Math.max(0, nowMs - confirmedAtMs) / 1000;
    const cap = this.capOf(intent.serviceId, intent.callerRegionId);
    return Math.min(1, (elapsedS * rampRatePerS(cap)) / moved);
  }

  /** Spreads the shares of regions without usable targets over the others, else picks the nearest region. */
  private overUsableRegions(
    serviceId: string,
    callerRegionId: string,
    shares: readonly RegionShare[],
  ): readonly RegionShare[] {
    const kept = shares.filter(
      entry => entry.share > 0 && this.usableTargets(serviceId, entry.regionId).length > 0,
    );
    const sum = kept.reduce((total, entry) => total + entry.share, 0);
    if (sum > 0) {
      return kept.map(({regionId, share}) => ({regionId, share: share / sum}));
    }
    const nearest = this.nearestUsableRegion(serviceId, callerRegionId);
    return nearest === undefined ? [] : [{regionId: nearest, share: 1}];
  }

  private nearestUsableRegion(serviceId: string, callerRegionId: string): string | undefined {
    const regionIds = this.usable.get(serviceId)?.keys() ?? [];
    const latencies = this.latencies.get(callerRegionId);
    let nearest: string | undefined;
    let nearestMs = Infinity;
    for (const regionId of regionIds) {
      const latencyMs = regionId === callerRegionId ? 0 : (latencies?.get(regionId) ?? Infinity);
      const better = latencyMs === nearestMs ? regionId < (nearest ?? '') : latencyMs < nearestMs;
      if (nearest === undefined || better) {
        nearest = regionId;
        nearestMs = latencyMs;
      }
    }
    return nearest;
  }

  private addLatency(fromRegionId: string, toRegionId: string, oneWayLatencyMs: number): void {
    const others = this.latencies.get(fromRegionId) ?? new Map<string, number>();
    others.set(toRegionId, Math.min(oneWayLatencyMs, others.get(toRegionId) ?? Infinity));
    this.latencies.set(fromRegionId, others);
  }

  private addRoute(route: ConfirmedRoute): void {
    const key = routeKey(route.intent.serviceId, route.intent.callerRegionId);
    const routes = this.routes.get(key);
    if (routes === undefined) this.routes.set(key, [route]);
    else routes.push(route);
  }

  private addTarget(target: Target): void {
    let regions = this.usable.get(target.serviceId);
    if (regions === undefined) {
      regions = new Map();
      this.usable.set(target.serviceId, regions);
    }
    const targets = regions.get(target.regionId);
    if (targets === undefined) regions.set(target.regionId, [target]);
    else targets.push(target);
  }
}

function routeKey(serviceId: string, callerRegionId: string): string {
  return `${serviceId}/${callerRegionId}`;
}

function regionIdsOf(...lists: ReadonlyArray<readonly RegionShare[]>): readonly string[] {
  return [...new Set(lists.flat().map(entry => entry.regionId))];
}
