/**
 * Shows where a configuration sends traffic: the usable targets per service and region, the shares per service
 * and caller region, and the progress of moves.
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

/** Cap of a route without a route intent (docs/design.md, section 4.2). */
export const defaultMoveCap: MoveCap = {maxMovedShare: 0.25, windowS: 60};

/** Shares that differ by less than this count as equal; each addition has a rounding error of about 1e-16. */
export const shareTolerance = 1e-9;

interface ConfirmedRoute extends ConfirmedIntent {
  readonly intent: RouteIntent;
}

/** Returns the region's share in a list; 0 when the list does not contain the region. */
export function shareOf(shares: readonly RegionShare[], regionId: string): number {
  return shares.reduce((sum, entry) => (entry.regionId === regionId ? sum + entry.share : sum), 0);
}

/** Returns the fraction of requests, from 0 to 1, that go to a different region under `after` than under `before`. */
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

/** Interpolates linearly between two lists of shares; fraction 0 gives `before`, 1 gives `after`. */
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

/** Share that the ramp moves per second: half the cap, spread over the window. */
export function rampRatePerS(cap: MoveCap): number {
  return cap.maxMovedShare / 2 / cap.windowS;
}

/** Indexes one configuration for look-ups by service and region; built once per plan. */
export class TrafficView {
  private readonly drainedSiteIds: ReadonlySet<string>;
  private readonly usableTargetsByService = new Map<string, Map<string, Target[]>>();
  private readonly routesByKey = new Map<string, ConfirmedRoute[]>();
  private readonly demandsByService = new Map<string, Demand[]>();
  /** One-way latency in milliseconds between two regions, in both directions. */
  private readonly oneWayLatenciesMs = new Map<string, Map<string, number>>();
  /** Caches final shares, which a plan reads for share changes, headroom and risks. */
  private readonly finalSharesByRoute = new Map<string, readonly RegionShare[]>();

  /** @param configuration The configuration to read; it is not changed. */
  constructor(readonly configuration: Configuration) {
    const drainedSiteIds = new Set<string>();
    for (const entry of configuration.intents) {
      if (entry.intent.kind === 'route') this.addRoute(entry as ConfirmedRoute);
      else drainedSiteIds.add(entry.intent.siteId);
    }
    this.drainedSiteIds = drainedSiteIds;
    for (const target of configuration.catalog.targets) {
      if (!drainedSiteIds.has(target.siteId)) this.addTarget(target);
    }
    for (const demand of configuration.catalog.demands) {
      const demands = this.demandsByService.get(demand.serviceId);
      if (demands === undefined) this.demandsByService.set(demand.serviceId, [demand]);
      else demands.push(demand);
    }
    for (const link of configuration.catalog.links) {
      this.addLatency(link.fromRegionId, link.toRegionId, link.oneWayLatencyMs);
      this.addLatency(link.toRegionId, link.fromRegionId, link.oneWayLatencyMs);
    }
  }

  /** Returns true when an intent drains or stops the site. */
  isDrained(siteId: string): boolean {
    return this.drainedSiteIds.has(siteId);
  }

  /** Targets of the service in the region that no intent drains or stops. */
  usableTargets(serviceId: string, regionId: string): readonly Target[] {
    return this.usableTargetsByService.get(serviceId)?.get(regionId) ?? [];
  }

  /** Configured demands of the service. */
  demandsOf(serviceId: string): readonly Demand[] {
    return this.demandsByService.get(serviceId) ?? [];
  }

  /** Regions with at least one usable target for the service. */
  usableRegionIds(serviceId: string): readonly string[] {
    return [...(this.usableTargetsByService.get(serviceId)?.keys() ?? [])];
  }

  /** Route intents for one service and caller region, the newest last; the newest gives the shares. */
  routesOf(serviceId: string, callerRegionId: string): readonly ConfirmedIntent[] {
    return this.routesByKey.get(routeKey(serviceId, callerRegionId)) ?? [];
  }

  /** Cap that limits the ramp: the slowest cap of the route's intents, so that every intent's cap is kept. */
  capOf(serviceId: string, callerRegionId: string): MoveCap {
    const routes = this.routesByKey.get(routeKey(serviceId, callerRegionId)) ?? [];
    const caps = routes.map(({intent: {maxMovedShare, windowS}}) => ({maxMovedShare, windowS}));
    if (caps.length === 0) return defaultMoveCap;
    return caps.reduce((slowest, cap) =>
      rampRatePerS(cap) < rampRatePerS(slowest) ? cap : slowest,
    );
  }

  /** Shares after all moves have finished; empty when the service has no usable target. */
  finalShares(serviceId: string, callerRegionId: string): readonly RegionShare[] {
    const key = routeKey(serviceId, callerRegionId);
    let shares = this.finalSharesByRoute.get(key);
    if (shares === undefined) {
      const newest = this.routesByKey.get(key)?.at(-1);
      shares = this.restrictToUsableRegions(serviceId, callerRegionId, newest?.intent.shares ?? []);
      this.finalSharesByRoute.set(key, shares);
    }
    return shares;
  }

  /** Shares at the position that the ramp is scheduled to have reached by `nowMs`. */
  sharesAt(serviceId: string, callerRegionId: string, nowMs: number): readonly RegionShare[] {
    const newest = this.routesByKey.get(routeKey(serviceId, callerRegionId))?.at(-1);
    if (newest === undefined) return this.finalShares(serviceId, callerRegionId);
    const fraction = this.rampFraction(newest, nowMs);
    const shares = interpolateShares(newest.previousShares, newest.intent.shares, fraction);
    return this.restrictToUsableRegions(serviceId, callerRegionId, shares);
  }

  /** Returns true while the ramp of the route has not reached the shares of its intent. */
  isMoving(serviceId: string, callerRegionId: string, nowMs: number): boolean {
    const newest = this.routesByKey.get(routeKey(serviceId, callerRegionId))?.at(-1);
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

  /**
   * Distributes the shares of regions without usable targets proportionally over the other regions. When none of
   * the regions has a usable target, the nearest region that has one gets everything.
   */
  private restrictToUsableRegions(
    serviceId: string,
    callerRegionId: string,
    shares: readonly RegionShare[],
  ): readonly RegionShare[] {
    const usableShares = shares.filter(
      entry => entry.share > 0 && this.usableTargets(serviceId, entry.regionId).length > 0,
    );
    const sum = usableShares.reduce((total, entry) => total + entry.share, 0);
    if (sum > 0) {
      return usableShares.map(({regionId, share}) => ({regionId, share: share / sum}));
    }
    const nearestRegionId = this.nearestUsableRegion(serviceId, callerRegionId);
    return nearestRegionId === undefined ? [] : [{regionId: nearestRegionId, share: 1}];
  }

  private nearestUsableRegion(serviceId: string, callerRegionId: string): string | undefined {
    const regionIds = this.usableTargetsByService.get(serviceId)?.keys() ?? [];
    const latencies = this.oneWayLatenciesMs.get(callerRegionId);
    let nearestRegionId: string | undefined;
    let nearestMs = Infinity;
    for (const regionId of regionIds) {
      const latencyMs = regionId === callerRegionId ? 0 : (latencies?.get(regionId) ?? Infinity);
      const isNearer =
        latencyMs === nearestMs ? regionId < (nearestRegionId ?? '') : latencyMs < nearestMs;
      if (nearestRegionId === undefined || isNearer) {
        nearestRegionId = regionId;
        nearestMs = latencyMs;
      }
    }
    return nearestRegionId;
  }

  private addLatency(fromRegionId: string, toRegionId: string, oneWayLatencyMs: number): void {
    const latenciesByRegion = this.oneWayLatenciesMs.get(fromRegionId) ?? new Map<string, number>();
    latenciesByRegion.set(
      toRegionId,
      Math.min(oneWayLatencyMs, latenciesByRegion.get(toRegionId) ?? Infinity),
    );
    this.oneWayLatenciesMs.set(fromRegionId, latenciesByRegion);
  }

  private addRoute(route: ConfirmedRoute): void {
    const key = routeKey(route.intent.serviceId, route.intent.callerRegionId);
    const routes = this.routesByKey.get(key);
    if (routes === undefined) this.routesByKey.set(key, [route]);
    else routes.push(route);
  }

  private addTarget(target: Target): void {
    let regions = this.usableTargetsByService.get(target.serviceId);
    if (regions === undefined) {
      regions = new Map();
      this.usableTargetsByService.set(target.serviceId, regions);
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
