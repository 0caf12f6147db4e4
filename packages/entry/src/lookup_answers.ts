/**
 * Answers to `GET /v1/lookup`: which instances a caller should use. Answers are built when the configuration
 * or the membership changes and served from buffers; each answer has several rotations, so that callers of one
 * region spread over its instances.
 */
import type {Configuration, Link, Member} from '@cuminsill/types';

/** One instance in a look-up answer. */
export interface LookupInstance {
  readonly instanceId: string;
  readonly host: string;
  readonly port: number;
}

/** Body of a look-up answer. */
export interface LookupAnswer {
  readonly instances: readonly LookupInstance[];
  /** Seconds that the answer may be kept. */
  readonly maxAgeS: number;
}

interface PreparedAnswers {
  readonly rotations: readonly Buffer[];
  next: number;
}

const instancesPerAnswer = 3;

/** Holds the prepared answers. */
export class LookupAnswers {
  private byRegion = new Map<string, PreparedAnswers>();
  private services = new Set<string>();

  constructor(private readonly lookupTtlS: number) {}

  /** Prepares all answers for a new view. */
  rebuild(configuration: Configuration, members: readonly Member[]): void {
    const {services, regions, links} = configuration.catalog;
    this.services = new Set(services.map(service => service.id));
    const regionIds = new Set([
      ...regions.map(region => region.id),
      ...members.map(member => member.instance.regionId),
    ]);
    const groups = groupByRegion(members.filter(isUsable));
    const latencies = new LinkLatencies(links);
    this.byRegion = new Map(
      [...regionIds].map(regionId => [regionId, this.prepare(regionId, groups, latencies)]),
    );
  }

  /** Whether the service is offered. */
  knowsService(serviceId: string): boolean {
    return this.services.has(serviceId);
  }

  /** The next answer for callers of a region; undefined when no instance serves. */
  answerFor(callerRegionId: string): Buffer | undefined {
    const prepared = this.byRegion.get(callerRegionId);
    if (prepared === undefined || prepared.rotations.length === 0) return undefined;
    prepared.next = (prepared.next + 1) % prepared.rotations.length;
    return prepared.rotations[prepared.next];
  }

  private prepare(
    regionId: string,
    groups: ReadonlyMap<string, RegionGroup>,
    latencies: LinkLatencies,
  ): PreparedAnswers {
    const near = groups.get(regionId)?.members ?? [];
    const tiers = nearestTiers(regionId, groups, latencies);
    const nearestTier = near.length > 0 ? undefined : tiers.shift();
    const first = nearestTier === undefined ? near : nearestTier.flatMap(group => group.sorted);
    if (nearestTier !== undefined && nearestTier.length > 1) first.sort(byId);
    const rest = firstOfTiers(tiers);
    // The last place goes to another region where there is one, so that an answer survives the loss of a region.
    const places = rest.length > 0 ? instancesPerAnswer - 1 : instancesPerAnswer;
    const kept = Math.min(places, first.length);
    const tail = rest.slice(0, instancesPerAnswer - kept);
    const rotations = first.map((_, offset) => {
      const rotated = Array.from(
        {length: kept},
        (_place, index) => first[(offset + index) % first.length] as UsableMember,
      );
      return this.encode([...rotated, ...tail]);
    });
    return {rotations, next: 0};
  }

  private encode(members: readonly UsableMember[]): Buffer {
    const instances = members.map(member => member.json).join(',');
    return Buffer.from(`{"instances":[${instances}],"maxAgeS":${this.lookupTtlS}}`);
  }
}

/** A member that callers may be sent to, with its part of an answer. */
interface UsableMember {
  readonly id: string;
  readonly regionId: string;
  readonly json: string;
}

/** Usable members of one region. */
interface RegionGroup {
  readonly regionId: string;
  /** In the order of the view. */
  readonly members: UsableMember[];
  /** By id. */
  readonly sorted: readonly UsableMember[];
}

function isUsable(member: Member): boolean {
  return member.state === 'serving' && member.reachability !== 'unreachable';
}

function byId(a: UsableMember, b: UsableMember): number {
  return a.id < b.id ? -1 : 1;
}

function usableMember({instance}: Member): UsableMember {
  const place: LookupInstance = {
    instanceId: instance.id,
    host: instance.callerAddress.host,
    port: instance.callerAddress.port,
  };
  return {id: instance.id, regionId: instance.regionId, json: JSON.stringify(place)};
}

function groupByRegion(usable: readonly Member[]): ReadonlyMap<string, RegionGroup> {
  const byRegion = new Map<string, UsableMember[]>();
  for (const member of usable.map(usableMember)) {
    const list = byRegion.get(member.regionId) ?? [];
    list.push(member);
    byRegion.set(member.regionId, list);
  }
  return new Map(
    [...byRegion].map(([regionId, members]) => [
      regionId,
      {regionId, members, sorted: [...members].sort(byId)},
    ]),
  );
}

/** Other regions with usable members by latency; regions with the same latency share a tier. */
function nearestTiers(
  regionId: string,
  groups: ReadonlyMap<string, RegionGroup>,
  latencies: LinkLatencies,
): RegionGroup[][] {
  const tiers = new Map<number, RegionGroup[]>();
  for (const group of groups.values()) {
    if (group.regionId === regionId) continue;
    const latency = latencies.between(regionId, group.regionId);
    const tier = tiers.get(latency) ?? [];
    tier.push(group);
    tiers.set(latency, tier);
  }
  return [...tiers].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, tier]) => tier);
}

/** As many members of the nearest tiers as an answer holds, by tier and id. */
function firstOfTiers(tiers: readonly (readonly RegionGroup[])[]): readonly UsableMember[] {
  const found: UsableMember[] = [];
  for (const tier of tiers) {
    if (found.length >= instancesPerAnswer) break;
    found.push(...tier.flatMap(group => group.sorted.slice(0, instancesPerAnswer)).sort(byId));
  }
  return found.slice(0, instancesPerAnswer);
}

/** Latencies of all links, so that a question does not search the list of links. */
class LinkLatencies {
  private readonly byRegions = new Map<string, Map<string, number>>();

  constructor(links: readonly Link[]) {
    for (const {fromRegionId, toRegionId, oneWayLatencyMs} of links) {
      this.setOnce(fromRegionId, toRegionId, oneWayLatencyMs);
      this.setOnce(toRegionId, fromRegionId, oneWayLatencyMs);
    }
  }

  /** One-way latency in milliseconds; infinite when no link is known. */
  between(fromRegionId: string, toRegionId: string): number {
    return this.byRegions.get(fromRegionId)?.get(toRegionId) ?? Number.POSITIVE_INFINITY;
  }

  private setOnce(fromRegionId: string, toRegionId: string, latency: number): void {
    const latencies = this.byRegions.get(fromRegionId) ?? new Map<string, number>();
    if (!latencies.has(toRegionId)) latencies.set(toRegionId, latency);
    this.byRegions.set(fromRegionId, latencies);
  }
}

/** One-way latency between regions in milliseconds; infinite when no link is known. */
export function latencyMs(
  links: readonly Link[],
  fromRegionId: string,
  toRegionId: string,
): number {
  if (fromRegionId === toRegionId) return 0;
  const link = links.find(
    candidate =>
      (candidate.fromRegionId === fromRegionId && candidate.toRegionId === toRegionId) ||
      (candidate.fromRegionId === toRegionId && candidate.toRegionId === fromRegionId),
  );
  return link?.oneWayLatencyMs ?? Number.POSITIVE_INFINITY;
}
