/**
 * Rendezvous hashing: every instance that knows the same members picks the same owner, and a member that
 * leaves moves only its own keys. Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates" (1998).
 */
import {hash32} from './hash';

/** Members in order of preference for the key, best first. */
export function rankByRendezvous(key: string, members: readonly string[]): readonly string[] {
  return members
    .map(member => ({member, weight: hash32(`${member}/${key}`)}))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .map(ranked => ranked.member);
}

/** The preferred member for the key; undefined without members. */
export function ownerByRendezvous(key: string, members: readonly string[]): string | undefined {
  let owner: string | undefined;
  let ownerWeight = -1;
  for (const member of members) {
    const weight = hash32(`${member}/${key}`);
    if (weight > ownerWeight || (weight === ownerWeight && owner !== undefined && member < owner)) {
      owner = member;
      ownerWeight = weight;
    }
  }
  return owner;
}
