/**
 * Derives the route of each service and caller region from the configuration and its intents: the shares, the cap and
 * the order in which other regions are tried.
 */
import type {
  Catalog,
  Configuration,
  ConfirmedIntent,
  RegionShare,
  RouteIntent,
} from '@cuminsill/types';

/** Maximum moved share of a route without an intent. */
export const defaultMaxMovedShare = 0.25;
/** Window of the cap of a route without an intent, in milliseconds. */
export const defaultWindowMs = 60_000;

/** Cap of a route: at most `maxMovedShare` of its requests may change region within any `windowMs`. */
export interface MoveCap {
  readonly maxMovedShare: number;
  readonly windowMs: number;
}

/** Where the requests of one service from one caller region go once the ramp has finished. */
export interface EffectiveRoute {
  readonly serviceId: string;
  readonly callerRegionId: string;
  /** Share of each region; the shares add up to 1. Empty if the service has no targets. */
  readonly shares: readonly RegionShare[];
  /** Shares before the newest intent; equal to `shares` if there is no intent. */
  readonly previousShares: readonly RegionShare[];
  readonly cap: MoveCap;
  /** When the newest intent was confirmed, in milliseconds since the Unix epoch; undefined if there is no intent. */
  readonly confirmedAtMs?: number;
  /** Regions that have targets, ordered by descending share and then by latency. */
  readonly regionIdsByPreference: readonly string[];
}

/** Ids of the sites that a drain or stop intent takes out of service. */
export function drainedSites(intents: readonly ConfirmedIntent[]): ReadonlySet<string> {
  const sites = new Set<string>();
  for (const {intent} of intents) {
    if (intent.kind !== 'route') sites.add(intent.siteId);
  }
  return sites;
}

/** One-way latency between two regions in milliseconds; infinite if no link connects them. */
export function linkLatencyMs(catalog: Catalog, fromRegionId: string, toRegionId: string): number {
  if (fromRegionId === toRegionId) return 0;
  let latencyMs = Infinity;
  for (const link of catalog.links) {
    const connects =
      (link.fromRegionId === fromRegionId && link.toRegionId === toRegionId) ||
      (link.fromRegionId === toRegionId && link.toRegionId === fromRegionId);
    if (connects) latencyMs = Math.min(latencyMs, link.oneWayLatencyMs);
  }
  return latencyMs;
}

/** Sorts regions by their link latency from one region, and those with equal latency by id. */
export function sortRegionsByLatency(
  catalog: Catalog,
  fromRegionId: string,
  regionIds: readonly string[],
): readonly string[] {
  const ranked = regionIds.map(id => ({id, latencyMs: linkLatencyMs(catalog, fromRegionId, id)}));
  ranked.sort((a, b) => {
    if (a.latencyMs !== b.latencyMs) return a.latencyMs < b.latencyMs ? -1 : 1;
    return a.id < b.id ? -1 : 1;
  });
  return ranked.map(region => region.id);
}

/** Ids of the regions that have a target of each service, by service id; targets of drained sites do not count. */
export function regionsWithTargets(
  configuration: Configuration,
): ReadonlyMap<string, readonly string[]> {
  const drained = drainedSites(configuration.intents);
  const byService = new Map<string, Set<string>>();
  for (const target of configuration.catalog.targets) {
    if (drained.has(target.siteId)) continue;
    const regionIds = byService.get(target.serviceId) ?? new Set<string>();
    regionIds.add(target.regionId);
    byService.set(target.serviceId, regionIds);
  }
  return new Map([...byService].map(([serviceId, regions]) => [serviceId, [...regions].sort()]));
}

/** Scales the shares of the regions with targets to a sum of 1. If none has a share, the nearest region gets all. */
function usableShares(
  shares: readonly RegionShare[],
  nearestRegionIds: readonly string[],
): readonly RegionShare[] {
  const kept = shares.filter(
    region => region.share > 0 && nearestRegionIds.includes(region.regionId),
  );
  const total = kept.reduce((sum, region) => sum + region.share, 0);
  if (total > 0) {
    return kept.map(({regionId, share}) => ({regionId, share: share / total}));
  }
  const nearestRegionId = nearestRegionIds[0];
  return nearestRegionId === undefined ? [] : [{regionId: nearestRegionId, share: 1}];
}

/**
 * Cap of a route with several intents: the smallest share over the longest window, which satisfies the cap of each
 * intent.
 */
function combineCaps(intents: readonly RouteIntent[]): MoveCap {
  if (intents.length === 0) {
    return {maxMovedShare: defaultMaxMovedShare, windowMs: defaultWindowMs};
  }
  return {
    maxMovedShare: Math.min(...intents.map(intent => intent.maxMovedShare)),
    windowMs: Math.max(...intents.map(intent => intent.windowS)) * 1000,
  };
}

interface ConfirmedRouteIntent extends ConfirmedIntent {
  readonly intent: RouteIntent;
}

function routeKey(serviceId: string, callerRegionId: string): string {
  return JSON.stringify([serviceId, callerRegionId]);
}

/** All routes of one configuration. */
export class RouteTable {
  private readonly intentsByRoute = new Map<string, ConfirmedRouteIntent[]>();
  private readonly regionIdsByService: ReadonlyMap<string, readonly string[]>;
  private readonly cachedRoutes = new Map<string, EffectiveRoute>();

  constructor(private readonly configuration: Configuration) {
    this.regionIdsByService = regionsWithTargets(configuration);
    for (const confirmed of configuration.intents) {
      const {intent} = confirmed;
      if (intent.kind !== 'route') continue;
      const key = routeKey(intent.serviceId, intent.callerRegionId);
      const routeIntents = this.intentsByRoute.get(key) ?? [];
      routeIntents.push({...confirmed, intent});
      this.intentsByRoute.set(key, routeIntents);
    }
  }

  /** The route of a service for callers in a region. */
  route(serviceId: string, callerRegionId: string): EffectiveRoute {
    const key = routeKey(serviceId, callerRegionId);
    let route = this.cachedRoutes.get(key);
    if (route === undefined) {
      route = this.makeRoute(serviceId, callerRegionId, this.intentsByRoute.get(key) ?? []);
      this.cachedRoutes.set(key, route);
    }
    return route;
  }

  private makeRoute(
    serviceId: string,
    callerRegionId: string,
    confirmed: readonly ConfirmedRouteIntent[],
  ): EffectiveRoute {
    const regionIds = this.regionIdsByService.get(serviceId) ?? [];
    const nearestRegionIds = sortRegionsByLatency(
      this.configuration.catalog,
      callerRegionId,
      regionIds,
    );
    const newestIntent = confirmed.reduce<ConfirmedRouteIntent | undefined>(
      (best, candidate) =>
        best === undefined || candidate.version > best.version ? candidate : best,
      undefined,
    );
    const shares = usableShares(newestIntent?.intent.shares ?? [], nearestRegionIds);
    const shareOf = (regionId: string): number =>
      shares.find(region => region.regionId === regionId)?.share ?? 0;
    return {
      serviceId,
      callerRegionId,
      shares,
      previousShares:
        newestIntent === undefined
          ? shares
          : usableShares(newestIntent.previousShares, nearestRegionIds),
      cap: combineCaps(confirmed.map(confirmedIntent => confirmedIntent.intent)),
      confirmedAtMs: newestIntent?.confirmedAtMs,
      regionIdsByPreference: [...nearestRegionIds].sort((a, b) => shareOf(b) - shareOf(a)),
    };
  }
}
