/** Which peers an instance sends its heartbeats to. */
import type {Member} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {hash32, randomBelow} from '@cuminsill/utils';
import type {MemberTable} from './member_table';

/** Peer lists of one revision of the member table. */
interface PeerLists {
  readonly revision: number;
  readonly ring: readonly string[];
  readonly remote: readonly string[];
  readonly unreachable: readonly string[];
}

/** Chooses peers. Lists are made once per revision of the table. */
export class PeerChoice {
  private lists: PeerLists | undefined;

  constructor(
    private readonly table: MemberTable,
    private readonly random: RandomSource,
    private readonly ringPeers: number,
  ) {}

  /** Ids of the successors of the own instance on the hash ring of its region. */
  ring(): readonly string[] {
    return this.current().ring;
  }

  /** A random peer in another region; undefined when none is known. */
  randomRemote(): string | undefined {
    return this.pick(this.current().remote);
  }

  /** A random unreachable member; undefined when there is none. */
  randomUnreachable(): string | undefined {
    return this.pick(this.current().unreachable);
  }

  private pick(ids: readonly string[]): string | undefined {
    return ids[randomBelow(this.random, ids.length)];
  }

  private current(): PeerLists {
    if (this.lists?.revision !== this.table.revision) this.lists = this.build();
    return this.lists as PeerLists;
  }

  private build(): PeerLists {
    const own = this.table.self().instance;
    const region: string[] = [];
    const remote: string[] = [];
    const unreachable: string[] = [];
    for (const {member} of this.table.others()) {
      const id = member.instance.id;
      if (member.reachability === 'unreachable') unreachable.push(id);
      else if (member.instance.regionId === own.regionId) region.push(id);
      else remote.push(id);
    }
    const ring = ringSuccessors(own.id, region, this.ringPeers);
    return {revision: this.table.revision, ring, remote, unreachable};
  }
}

/** The first `count` ids that follow the own id on the hash ring. */
export function ringSuccessors(
  ownId: string,
  otherIds: readonly string[],
  count: number,
): readonly string[] {
  const ownHash = hash32(ownId);
  const distance = (id: string) => (hash32(id) - ownHash) >>> 0;
  return otherIds
    .map(id => ({id, distance: distance(id)}))
    .sort((a, b) => a.distance - b.distance || (a.id < b.id ? -1 : 1))
    .slice(0, count)
    .map(peer => peer.id);
}

/** Members in an order that starts at a random place, so that repeated samples cover all of them. */
export function sampleMembers(
  members: readonly Member[],
  count: number,
  random: RandomSource,
): readonly Member[] {
  if (members.length <= count) return members;
  const start = randomBelow(random, members.length);
  const end = start + count;
  return [...members.slice(start, end), ...members.slice(0, Math.max(0, end - members.length))];
}
