/**
 * What an entry process knows: the configuration in force, the other instances, and what follows from both. The
 * control process tells it; the last view stays in force while the control process is away.
 */
import type {Configuration, Member, ServiceContract} from '@cuminsill/types';
import {emptyConfiguration} from '@cuminsill/types';
import {ClientBlockTable} from './client_block_table';
import {latencyMs, LookupAnswers} from './lookup_answers';

/** The view of one entry process. */
export class EntryView {
  configuration: Configuration = emptyConfiguration;
  members: readonly Member[] = [];
  contracts: ReadonlyMap<string, ServiceContract> = new Map();
  clientBlocks = new ClientBlockTable([]);
  controlConnected = false;
  private membersById: ReadonlyMap<string, Member> = new Map();
  private latencies: ReadonlyMap<string, number> = new Map();
  /** Number of claim shards, as the control process states it. */
  claimShards = 16;
  readonly lookupAnswers: LookupAnswers;
  /** Value of the `cache-control` header of look-up answers. */
  readonly cacheControl: string;

  constructor(
    private readonly ownRegionId: string,
    lookupTtlS: number,
  ) {
    this.lookupAnswers = new LookupAnswers(lookupTtlS);
    this.cacheControl = `max-age=${lookupTtlS}`;
  }

  /** Adopts a configuration unless it is older than the one in force; returns whether it was adopted. */
  adoptConfiguration(configuration: Configuration): boolean {
    if (configuration.version <= this.configuration.version) return false;
    const sameBlocks =
      configuration.catalog.clientBlocks === this.configuration.catalog.clientBlocks;
    this.configuration = configuration;
    this.latencies = latenciesFrom(configuration, this.ownRegionId);
    this.contracts = new Map(
      configuration.catalog.services.map(service => [service.id, service] as const),
    );
    if (!sameBlocks) this.clientBlocks = new ClientBlockTable(configuration.catalog.clientBlocks);
    this.lookupAnswers.rebuild(this.configuration, this.members);
    return true;
  }

  /** One-way latency to a region in milliseconds; 0 when no link is known, so that nothing is refused for it. */
  latencyToMs(regionId: string): number {
    return this.latencies.get(regionId) ?? 0;
  }

  /** Adopts a list of members. */
  adoptMembers(members: readonly Member[]): void {
    this.members = members;
    this.membersById = new Map(members.map(member => [member.instance.id, member]));
    this.lookupAnswers.rebuild(this.configuration, this.members);
  }

  /** Where a member listens; undefined when it is not known or does not answer. */
  memberById(instanceId: string): Member | undefined {
    return this.membersById.get(instanceId);
  }
}

function latenciesFrom(
  configuration: Configuration,
  ownRegionId: string,
): ReadonlyMap<string, number> {
  const {regions, links} = configuration.catalog;
  const known = regions
    .map(region => [region.id, latencyMs(links, ownRegionId, region.id)] as const)
    .filter(([, latency]) => Number.isFinite(latency));
  return new Map(known);
}
