/** Which instances watch the log, write the checkpoint, acknowledge changes and pass them on. */
import type {Member} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {ownerByRendezvous, randomBelow, rankByRendezvous} from '@cuminsill/utils';

/** Draws per wanted peer; with half of the members unreachable, one of 4,000 searches finds none. */
const drawsPerPeer = 12;

/** Members that may answer. A suspected one may still, and its duties have a second holder. */
export function answeringMembers(members: readonly Member[]): readonly Member[] {
  return members.filter(member => member.reachability !== 'unreachable');
}

/** The members of a region that watch the log. */
export function watchersOf(
  members: readonly Member[],
  regionId: string,
  count: number,
): readonly Member[] {
  const candidates = answeringMembers(members).filter(
    member => member.instance.regionId === regionId && member.state !== 'leaving',
  );
  const byId = new Map(candidates.map(member => [member.instance.id, member]));
  return rankByRendezvous(`config-watch/${regionId}`, [...byId.keys()])
    .slice(0, count)
    .flatMap(id => byId.get(id) ?? []);
}

/** True when an instance watches the log for its region. */
export function isWatcher(
  members: readonly Member[],
  instance: Member['instance'],
  count: number,
): boolean {
  return watchersOf(members, instance.regionId, count).some(
    member => member.instance.id === instance.id,
  );
}

/** The watchers of all regions. */
export function allWatchers(members: readonly Member[], count: number): readonly Member[] {
  const regions = new Set(members.map(member => member.instance.regionId));
  return [...regions].flatMap(regionId => watchersOf(members, regionId, count));
}

/** The instance that writes checkpoints. */
export function checkpointOwner(members: readonly Member[]): string | undefined {
  const candidates = answeringMembers(members).filter(member => member.state !== 'leaving');
  const ids = candidates.map(member => member.instance.id);
  return ownerByRendezvous('config-checkpoint', ids);
}

/**
 * Members in other failure domains than the own, in random order with one of each failure domain first, so that
 * two acknowledgements rarely come from the same one.
 */
export function acknowledgingCandidates(
  members: readonly Member[],
  self: Member['instance'],
  random: RandomSource,
): readonly Member[] {
  const candidates = shuffled(
    answeringMembers(members).filter(
      member =>
        member.instance.id !== self.id &&
        member.instance.failureDomainId !== self.failureDomainId &&
        member.state !== 'leaving',
    ),
    random,
  );
  const seenDomains = new Set<string>();
  const first: Member[] = [];
  const rest: Member[] = [];
  for (const member of candidates) {
    const list = seenDomains.has(member.instance.failureDomainId) ? rest : first;
    seenDomains.add(member.instance.failureDomainId);
    list.push(member);
  }
  return [...first, ...rest];
}

/** Up to `count` random members other than the own instance, found by drawing rather than by sorting all members. */
export function randomPeers(
  members: readonly Member[],
  selfId: string,
  count: number,
  random: RandomSource,
): readonly Member[] {
  const chosen = new Set<Member>();
  const draws = Math.min(members.length, count) * drawsPerPeer;
  for (let draw = 0; draw < draws && chosen.size < count; draw += 1) {
    const member = members[randomBelow(random, members.length)];
    if (member === undefined || member.instance.id === selfId) continue;
    if (member.reachability !== 'unreachable') chosen.add(member);
  }
  return [...chosen];
}

/** Divides a list into at most `count` parts of about the same length. */
export function divide<T>(items: readonly T[], count: number): readonly (readonly T[])[] {
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
