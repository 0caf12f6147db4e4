/**
 * The route of each service and caller region: target shares, cap and order of regions, as the configuration
 * and its intents say.
 */
import type {
  Catalog,
  Configuration,
  ConfirmedIntent,
  RegionShare,
  RouteIntent,
} from '@cuminsill/types';

/** Cap of a route without an intent. */
export const defaultMaxMovedShare = 0.25;
/** Window of a route without an intent, in milliseconds. */
export const defaultWindowMs = 60_000;

/** Largest share of requests that may change region within any window. */
export interface MoveLimit {
  readonly maxMovedShare: number;
  readonly windowMs: number;
}

/** Where the requests of one service from one caller region go once every move has ended. */
export interface EffectiveRoute {
  readonly serviceId: string;
  readonly callerRegionId: string;
  /** Shares per region; they add up to 1, or there are none when the service has no targets. */
  readonly shares: readonly RegionShare[];
  /** Shares before the newest intent; the same as `shares` without an intent. */
  readonly previousShares: readonly RegionShare[];
  readonly limit: MoveLimit;
  /** When the newest intent was confirmed, in milliseconds since the Unix epoch; undefined without one. */
  readonly confirmedAtMs?: number;
  /** Regions with targets: those with a larger share first, then the nearest. */
  readonly regionOrder: readonly string[];
}

/** Sites that a drain or stop intent takes out. */
export function drainedSites(intents: readonly ConfirmedIntent[]): ReadonlySet<string> {
  const sites = new Set<string>();
  for (const {intent} of intents) {
    if (intent.kind !== 'route') sites.add(intent.siteId);
  }
  return sites;
}

/** One-way latency between two regions in milliseconds; infinite when no link joins them. */
export function linkLatencyMs(catalog: Catalog, fromRegionId: string, toRegionId: string): number {
  if (fromRegionId === toRegionId) return 0;
  let latencyMs = Infinity;
  for (const link of catalog.links) {
    const joins =
      (link.fromRegionId === fromRegionId && link.toRegionId === toRegionId) ||
      (link.fromRegionId === toRegionId && link.toRegionId === fromRegionId);
    if (joins) latencyMs = Math.min(latencyMs, link.oneWayLatencyMs);
  }
  return latencyMs;
}

/** Regions ordered by link latency from one region; equal latencies by id. */
export function nearestRegions(
  catalog: Catalog,
  fromRegionId: string,
  regionIds: readonly string[],
): readonly string[] {
  const ranked = regionIds.map(id => ({id, latencyMs: linkLatencyMs(catalog, fromRegionId, id)}));
  ranked.sort((a, b) => {
    if (a.latencyMs !== b.latencyMs) return a.latencyMs < b.latencyMs ? -1 : 1;
    return a.id < b.id ? -1 : 1;
  });
  return ranked.map(entry => entry.id);
}

/** Regions that have a target for each service, without the targets of drained sites. */
export function regionsWithTargets(
  configuration: Configuration,
): ReadonlyMap<string, readonly string[]> {
  const drained = drainedSites(configuration.intents);
  const byService = new Map<string, Set<string>>();
  for (const target of configuration.catalog.targets) {
    if (drained.has(target.siteId)) continue;
    const regions = byService.get(target.serviceId) ?? new Set<string>();
    regions.add(target.regionId);
    byService.set(target.serviceId, regions);
  }
  return new Map([...byService].map(([serviceId, regions]) => [serviceId, [...regions].sort()]));
}

/** Keeps the shares of regions with targets and scales them to 1; falls back to the nearest region. */
function usableShares(
  shares: readonly RegionShare[],
  nearest: readonly string[],
): readonly RegionShare[] {
  const kept = shares.filter(entry => entry.share > 0 && nearest.includes(entry.regionId));
  const total = kept.reduce((sum, entry) => sum + entry.share, 0);
  if (total > 0) {
    return kept.map(({regionId, share}) => ({regionId, share: share / total}));
  }
  const first = nearest[0];
  return first === undefined ? [] : [{regionId: first, share: 1}];
}

/**
 * Cap for several intents on one service and caller region: the smallest share over the longest window, which
 * keeps the cap of each of them.
 */
function sharedLimit(intents: readonly RouteIntent[]): MoveLimit {
  if (intents.length === 0) {
    return {maxMovedShare: defaultMaxMovedShare, windowMs: defaultWindowMs};
  }
  return {
    maxMovedShare: Math.min(...intents.map(intent => intent.maxMovedShare)),
    windowMs: Math.max(...intents.map(intent => intent.windowS)) * 1000,
  };
}

interface ConfirmedRoute extends ConfirmedIntent {
  readonly intent: RouteIntent;
}

function routeKey(serviceId: string, callerRegionId: string): string {
  return JSON.stringify([serviceId, callerRegionId]);
}

/** All routes of one configuration. */
export class RouteTable {
  private readonly intents = new Map<string, ConfirmedRoute[]>();
  private readonly regions: ReadonlyMap<string, readonly string[]>;
  private readonly known = new Map<string, EffectiveRoute>();

  constructor(private readonly configuration: Configuration) {
    this.regions = regionsWithTargets(configuration);
    for (const confirmed of configuration.intents) {
      const {intent} = confirmed;
      if (intent.kind !== 'route') continue;
      const key = routeKey(intent.serviceId, intent.callerRegionId);
      const list = this.intents.get(key) ?? [];
      list.push({...confirmed, intent});
      this.intents.set(key, list);
    }
  }

  /** The route of a service for the callers of a region. */
  route(serviceId: string, callerRegionId: string): EffectiveRoute {
    const key = routeKey(serviceId, callerRegionId);
    let route = this.known.get(key);
    if (route === undefined) {
      route = this.makeRoute(serviceId, callerRegionId, this.intents.get(key) ?? []);
      this.known.set(key, route);
    }
    return route;
  }

  private makeRoute(
    serviceId: string,
    callerRegionId: string,
    confirmed: readonly ConfirmedRoute[],
  ): EffectiveRoute {
    const regions = this.regions.get(serviceId) ?? [];
    const nearest = nearestRegions(this.configuration.catalog, callerRegionId, regions);
    const newest = confirmed.reduce<ConfirmedRoute | undefined>(
      (best, entry) => (best === undefined || entry.version > best.version ? entry : best),
      undefined,
    );
    const shares = usableShares(newest?.intent.shares ?? [], nearest);
    const shareOf = (regionId: string): number =>
      shares.find(entry => entry.regionId === regionId)?.share ?? 0;
    return {
      serviceId,
      callerRegionId,
      shares,
      previousShares: newest === undefined ? shares : usableShares(newest.previousShares, nearest),
      limit: sharedLimit(confirmed.map(entry => entry.intent)),
      confirmedAtMs: newest?.confirmedAtMs,
      regionOrder: [...nearest].sort((a, b) => shareOf(b) - shareOf(a)),
    };
  }
}
