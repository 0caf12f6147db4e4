/** Selects the peers that this instance sends heartbeats to. */
import type {Member} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {hash32, randomBelow} from '@cuminsill/utils';
import type {MemberTable} from './member_table';

/** Peers by kind, for one revision of the member table. */
interface PeerLists {
  readonly revision: number;
  readonly ringSuccessorIds: readonly string[];
  readonly remoteIds: readonly string[];
  readonly unreachableIds: readonly string[];
}

/** Selects peers from lists that are built once per revision of the member table. */
export class PeerSelector {
  private cachedLists: PeerLists | undefined;

  constructor(
    private readonly table: MemberTable,
    private readonly random: RandomSource,
    private readonly ringPeerCount: number,
  ) {}

  /** Ids of the successors of this instance on the hash ring of its region. */
  ringSuccessorIds(): readonly string[] {
    return this.currentLists().ringSuccessorIds;
  }

  /** Id of a random peer in another region; undefined when none is known. */
  randomRemoteId(): string | undefined {
    return this.pickRandom(this.currentLists().remoteIds);
  }

  /** Id of a random unreachable member; undefined when there is none. */
  randomUnreachableId(): string | undefined {
    return this.pickRandom(this.currentLists().unreachableIds);
  }

  private pickRandom(ids: readonly string[]): string | undefined {
    return ids[randomBelow(this.random, ids.length)];
  }

  private currentLists(): PeerLists {
    if (this.cachedLists?.revision !== this.table.revision) this.cachedLists = this.buildLists();
    return this.cachedLists as PeerLists;
  }

  private buildLists(): PeerLists {
    const ownInstance = this.table.self().instance;
    const sameRegionIds: string[] = [];
    const remoteIds: string[] = [];
    const unreachableIds: string[] = [];
    for (const {member} of this.table.others()) {
      const id = member.instance.id;
      if (member.reachability === 'unreachable') unreachableIds.push(id);
      else if (member.instance.regionId === ownInstance.regionId) sameRegionIds.push(id);
      else remoteIds.push(id);
    }
    const ringSuccessorIds = ringSuccessors(ownInstance.id, sameRegionIds, this.ringPeerCount);
    return {
      revision: this.table.revision,
      ringSuccessorIds,
      remoteIds,
      unreachableIds,
    };
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

/** `count` consecutive members from a random start, wrapping around; repeated samples cover all members. */
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
