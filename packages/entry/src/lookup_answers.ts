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
    const usable = members.filter(
      member => member.state === 'serving' && member.reachability !== 'unreachable',
    );
    this.services = new Set(configuration.catalog.services.map(service => service.id));
    const regionIds = new Set([
      ...configuration.catalog.regions.map(region => region.id),
      ...members.map(member => member.instance.regionId),
    ]);
    this.byRegion = new Map(
      [...regionIds].map(regionId => [
        regionId,
        this.prepare(regionId, usable, configuration.catalog.links),
      ]),
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
    usable: readonly Member[],
    links: readonly Link[],
  ): PreparedAnswers {
    const distance = (member: Member) => latencyMs(links, regionId, member.instance.regionId);
    const near = usable.filter(member => member.instance.regionId === regionId);
    const far = usable
      .filter(member => member.instance.regionId !== regionId)
      .sort((a, b) => distance(a) - distance(b) || (a.instance.id < b.instance.id ? -1 : 1));
    const first = near.length > 0 ? near : nearestGroup(far, distance);
    const rest = far.filter(member => !first.includes(member));
    const rotations = first.map((_, offset) => {
      const rotated = [...first.slice(offset), ...first.slice(0, offset)];
      // The last place goes to another region where there is one, so that an answer survives the loss of a region.
      const kept = rotated.slice(0, rest.length > 0 ? instancesPerAnswer - 1 : instancesPerAnswer);
      return this.encode([...kept, ...rest.slice(0, instancesPerAnswer - kept.length)]);
    });
    return {rotations, next: 0};
  }

  private encode(members: readonly Member[]): Buffer {
    const answer: LookupAnswer = {
      instances: members.map(({instance}) => ({
        instanceId: instance.id,
        host: instance.callerAddress.host,
        port: instance.callerAddress.port,
      })),
      maxAgeS: this.lookupTtlS,
    };
    return Buffer.from(JSON.stringify(answer));
  }
}

function nearestGroup(
  sorted: readonly Member[],
  distance: (member: Member) => number,
): readonly Member[] {
  const [nearest] = sorted;
  if (nearest === undefined) return [];
  return sorted.filter(member => distance(member) === distance(nearest));
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
