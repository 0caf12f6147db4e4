/**
 * What an entry process knows of the deployment: the configuration in force, the members, and data derived from both.
 * Updated by snapshots of the control process; the last view stays in force while the control process is unreachable.
 */
import type {Configuration, Member, ServiceContract} from '@cuminsill/types';
import {emptyConfiguration} from '@cuminsill/types';
import {ClientBlockTable} from './client_block_table';
import {linkLatencyMs, LookupAnswers} from './lookup_answers';

/** The configuration and members as one entry process knows them. */
export class EntryView {
  configuration: Configuration = emptyConfiguration;
  members: readonly Member[] = [];
  contracts: ReadonlyMap<string, ServiceContract> = new Map();
  clientBlocks = new ClientBlockTable([]);
  controlConnected = false;
  private membersById: ReadonlyMap<string, Member> = new Map();
  private latenciesByRegionMs: ReadonlyMap<string, number> = new Map();
  /** Number of claim shards; the control process sends it with each snapshot. */
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

  /** Adopts a configuration if it is newer than the one in force; returns whether it was adopted. */
  adoptConfiguration(configuration: Configuration): boolean {
    if (configuration.version <= this.configuration.version) return false;
    const sameBlocks =
      configuration.catalog.clientBlocks === this.configuration.catalog.clientBlocks;
    this.configuration = configuration;
    this.latenciesByRegionMs = knownLatenciesMs(configuration, this.ownRegionId);
    this.contracts = new Map(
      configuration.catalog.services.map(service => [service.id, service] as const),
    );
    if (!sameBlocks) this.clientBlocks = new ClientBlockTable(configuration.catalog.clientBlocks);
    this.lookupAnswers.rebuild(this.configuration, this.members);
    return true;
  }

  /** One-way latency to a region in milliseconds; 0 when no link is known, so that this refuses no request. */
  latencyToRegionMs(regionId: string): number {
    return this.latenciesByRegionMs.get(regionId) ?? 0;
  }

  /** Replaces the list of members. */
  adoptMembers(members: readonly Member[]): void {
    this.members = members;
    this.membersById = new Map(members.map(member => [member.instance.id, member]));
    this.lookupAnswers.rebuild(this.configuration, this.members);
  }

  /** The member with this instance id; undefined when there is none. */
  memberById(instanceId: string): Member | undefined {
    return this.membersById.get(instanceId);
  }
}

function knownLatenciesMs(
  configuration: Configuration,
  ownRegionId: string,
): ReadonlyMap<string, number> {
  const {regions, links} = configuration.catalog;
  const known = regions
    .map(region => [region.id, linkLatencyMs(links, ownRegionId, region.id)] as const)
    .filter(([, latency]) => Number.isFinite(latency));
  return new Map(known);
}
