/** Selects the instances that watch the log, write the checkpoint, acknowledge changes and are compared with. */
import type {Member} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {ownerByRendezvous, randomBelow, rankByRendezvous} from '@cuminsill/utils';

/** Random draws per requested peer. With half of the members unreachable, 1 of 4,000 searches finds no peer. */
const maxDrawsPerPeer = 12;

/** Members that are not unreachable. A suspect member may still answer, and its role has a second holder. */
export function possiblyReachableMembers(members: readonly Member[]): readonly Member[] {
  return members.filter(member => member.reachability !== 'unreachable');
}

/** Up to `count` members of a region that watch the log for it, selected by rendezvous hashing. */
export function watchersOfRegion(
  members: readonly Member[],
  regionId: string,
  count: number,
): readonly Member[] {
  const candidates = possiblyReachableMembers(members).filter(
    member => member.instance.regionId === regionId && member.state !== 'leaving',
  );
  const byId = new Map(candidates.map(member => [member.instance.id, member]));
  return rankByRendezvous(`config-watch/${regionId}`, [...byId.keys()])
    .slice(0, count)
    .flatMap(id => byId.get(id) ?? []);
}

/** True when an instance is one of the `count` watchers of its region. */
export function isWatcher(
  members: readonly Member[],
  instance: Member['instance'],
  count: number,
): boolean {
  return watchersOfRegion(members, instance.regionId, count).some(
    member => member.instance.id === instance.id,
  );
}

/** Up to `count` watchers of each region. */
export function allWatchers(members: readonly Member[], count: number): readonly Member[] {
  const regions = new Set(members.map(member => member.instance.regionId));
  return [...regions].flatMap(regionId => watchersOfRegion(members, regionId, count));
}

/** Id of the instance that writes checkpoints; undefined when there is no candidate. */
export function checkpointWriterId(members: readonly Member[]): string | undefined {
  const candidates = possiblyReachableMembers(members).filter(member => member.state !== 'leaving');
  const ids = candidates.map(member => member.instance.id);
  return ownerByRendezvous('config-checkpoint', ids);
}

/**
 * Members outside this instance's failure domain in random order, with one member of each failure domain first, so
 * that two acknowledgements rarely come from the same domain.
 */
export function acknowledgementCandidates(
  members: readonly Member[],
  self: Member['instance'],
  random: RandomSource,
): readonly Member[] {
  const candidates = shuffled(
    possiblyReachableMembers(members).filter(
      member =>
        member.instance.id !== self.id &&
        member.instance.failureDomainId !== self.failureDomainId &&
        member.state !== 'leaving',
    ),
    random,
  );
  const seenDomainIds = new Set<string>();
  const firstOfDomain: Member[] = [];
  const others: Member[] = [];
  for (const member of candidates) {
    const list = seenDomainIds.has(member.instance.failureDomainId) ? others : firstOfDomain;
    seenDomainIds.add(member.instance.failureDomainId);
    list.push(member);
  }
  return [...firstOfDomain, ...others];
}

/** Up to `count` random members other than this instance. Draws at random, which is cheaper than a full shuffle. */
export function randomPeers(
  members: readonly Member[],
  selfId: string,
  count: number,
  random: RandomSource,
): readonly Member[] {
  const chosen = new Set<Member>();
  const maxDraws = Math.min(members.length, count) * maxDrawsPerPeer;
  for (let draw = 0; draw < maxDraws && chosen.size < count; draw += 1) {
    const member = members[randomBelow(random, members.length)];
    if (member === undefined || member.instance.id === selfId) continue;
    if (member.reachability !== 'unreachable') chosen.add(member);
  }
  return [...chosen];
}

/** Splits a list into at most `count` parts whose lengths differ by at most one. */
export function splitEvenly<T>(items: readonly T[], count: number): readonly (readonly T[])[] {
  const parts: T[][] = Array.from({length: Math.min(count, items.length)}, () => []);
  items.forEach((item, index) => parts[index % parts.length]?.push(item));
  return parts;
}

function shuffled<T>(items: readonly T[], random: RandomSource): readonly T[] {
  const result = [...items];
  for (let last = result.length - 1; last > 0; last -= 1) {
    const other = randomBelow(random, last + 1);
    [result[last], result[other]] = [result[other] as T, result[last] as T];
  }
  return result;
}
