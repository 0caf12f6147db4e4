/**
 * Answers to `GET /v1/lookup`: which instances a caller should use. The answers are serialized when the configuration
 * or the members change and served from buffers. Each region has several rotations of its answer, so that its callers
 * spread over its instances.
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
  /** Seconds for which callers may cache the answer. */
  readonly maxAgeS: number;
}

/** The serialized answers for the callers of one region. */
interface PreparedAnswers {
  readonly rotations: readonly Buffer[];
  nextIndex: number;
}

const instancesPerAnswer = 3;

/** Serialized look-up answers per caller region. */
export class LookupAnswers {
  private answersByRegion = new Map<string, PreparedAnswers>();
  private serviceIds = new Set<string>();

  constructor(private readonly lookupTtlS: number) {}

  /** Serializes the answers for all regions of the catalog and the members. */
  rebuild(configuration: Configuration, members: readonly Member[]): void {
    const {services, regions, links} = configuration.catalog;
    this.serviceIds = new Set(services.map(service => service.id));
    const regionIds = new Set([
      ...regions.map(region => region.id),
      ...members.map(member => member.instance.regionId),
    ]);
    const groups = groupByRegion(members.filter(isUsable));
    const latencies = new LinkLatencies(links);
    this.answersByRegion = new Map(
      [...regionIds].map(regionId => [regionId, this.prepareAnswers(regionId, groups, latencies)]),
    );
  }

  /** Whether the catalog contains the service. */
  knowsService(serviceId: string): boolean {
    return this.serviceIds.has(serviceId);
  }

  /** The next rotation of the answer for callers of a region; undefined when no instance is usable. */
  answerFor(callerRegionId: string): Buffer | undefined {
    const prepared = this.answersByRegion.get(callerRegionId);
    if (prepared === undefined || prepared.rotations.length === 0) return undefined;
    prepared.nextIndex = (prepared.nextIndex + 1) % prepared.rotations.length;
    return prepared.rotations[prepared.nextIndex];
  }

  private prepareAnswers(
    regionId: string,
    groups: ReadonlyMap<string, RegionGroup>,
    latencies: LinkLatencies,
  ): PreparedAnswers {
    const ownRegionMembers = groups.get(regionId)?.members ?? [];
    const tiers = nearestTiers(regionId, groups, latencies);
    const nearestTier = ownRegionMembers.length > 0 ? undefined : tiers.shift();
    const firstMembers =
      nearestTier === undefined ? ownRegionMembers : nearestTier.flatMap(group => group.sorted);
    if (nearestTier !== undefined && nearestTier.length > 1) firstMembers.sort(compareById);
    const otherMembers = firstMembersOfTiers(tiers);
    // If possible, the last place goes to an instance of another region, so that callers survive the loss of a region.
    const firstPlaces = otherMembers.length > 0 ? instancesPerAnswer - 1 : instancesPerAnswer;
    const firstCount = Math.min(firstPlaces, firstMembers.length);
    const lastMembers = otherMembers.slice(0, instancesPerAnswer - firstCount);
    const rotations = firstMembers.map((_, offset) => {
      const rotated = Array.from(
        {length: firstCount},
        (_place, index) => firstMembers[(offset + index) % firstMembers.length] as UsableMember,
      );
      return this.encode([...rotated, ...lastMembers]);
    });
    return {rotations, nextIndex: 0};
  }

  private encode(members: readonly UsableMember[]): Buffer {
    const instances = members.map(member => member.json).join(',');
    return Buffer.from(`{"instances":[${instances}],"maxAgeS":${this.lookupTtlS}}`);
  }
}

/** A member that callers may use, with its serialized entry of an answer. */
interface UsableMember {
  readonly id: string;
  readonly regionId: string;
  readonly json: string;
}

/** Usable members of one region. */
interface RegionGroup {
  readonly regionId: string;
  /** In the order of the member list. */
  readonly members: UsableMember[];
  /** Sorted by id. */
  readonly sorted: readonly UsableMember[];
}

function isUsable(member: Member): boolean {
  return member.state === 'serving' && member.reachability !== 'unreachable';
}

function compareById(a: UsableMember, b: UsableMember): number {
  return a.id < b.id ? -1 : 1;
}

function usableMember({instance}: Member): UsableMember {
  const lookupInstance: LookupInstance = {
    instanceId: instance.id,
    host: instance.callerAddress.host,
    port: instance.callerAddress.port,
  };
  return {id: instance.id, regionId: instance.regionId, json: JSON.stringify(lookupInstance)};
}

function groupByRegion(usable: readonly Member[]): ReadonlyMap<string, RegionGroup> {
  const membersByRegion = new Map<string, UsableMember[]>();
  for (const member of usable.map(usableMember)) {
    const list = membersByRegion.get(member.regionId) ?? [];
    list.push(member);
    membersByRegion.set(member.regionId, list);
  }
  return new Map(
    [...membersByRegion].map(([regionId, members]) => [
      regionId,
      {regionId, members, sorted: [...members].sort(compareById)},
    ]),
  );
}

/** Other regions with usable members, nearest first; regions at the same latency form one tier. */
function nearestTiers(
  regionId: string,
  groups: ReadonlyMap<string, RegionGroup>,
  latencies: LinkLatencies,
): RegionGroup[][] {
  const tiers = new Map<number, RegionGroup[]>();
  for (const group of groups.values()) {
    if (group.regionId === regionId) continue;
    const latencyMs = latencies.latencyBetweenMs(regionId, group.regionId);
    const tier = tiers.get(latencyMs) ?? [];
    tier.push(group);
    tiers.set(latencyMs, tier);
  }
  return [...tiers].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, tier]) => tier);
}

/** Members of the nearest tiers, sorted by tier and id, up to the size of an answer. */
function firstMembersOfTiers(tiers: readonly (readonly RegionGroup[])[]): readonly UsableMember[] {
  const found: UsableMember[] = [];
  for (const tier of tiers) {
    if (found.length >= instancesPerAnswer) break;
    found.push(
      ...tier.flatMap(group => group.sorted.slice(0, instancesPerAnswer)).sort(compareById),
    );
  }
  return found.slice(0, instancesPerAnswer);
}

/** Link latencies indexed by region pair, to avoid a search of the link list for each pair. */
class LinkLatencies {
  private readonly latenciesByRegionMs = new Map<string, Map<string, number>>();

  constructor(links: readonly Link[]) {
    for (const {fromRegionId, toRegionId, oneWayLatencyMs} of links) {
      this.setIfAbsent(fromRegionId, toRegionId, oneWayLatencyMs);
      this.setIfAbsent(toRegionId, fromRegionId, oneWayLatencyMs);
    }
  }

  /** One-way latency in milliseconds; infinite when no link is known. */
  latencyBetweenMs(fromRegionId: string, toRegionId: string): number {
    return this.latenciesByRegionMs.get(fromRegionId)?.get(toRegionId) ?? Number.POSITIVE_INFINITY;
  }

  private setIfAbsent(fromRegionId: string, toRegionId: string, latencyMs: number): void {
    const latencies = this.latenciesByRegionMs.get(fromRegionId) ?? new Map<string, number>();
    if (!latencies.has(toRegionId)) latencies.set(toRegionId, latencyMs);
    this.latenciesByRegionMs.set(fromRegionId, latencies);
  }
}

/** One-way latency between two regions in milliseconds; infinite when no link is known. */
export function linkLatencyMs(
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
