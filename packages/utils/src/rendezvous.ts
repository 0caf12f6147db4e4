/**
 * Rendezvous hashing: every instance that knows the same members picks the same owner of a key, and when a member
 * leaves, only its own keys get another owner. Source: Thaler and Ravishankar, "Using name-based mappings to increase
 * hit rates" (1998).
 */
import {hash32} from './hash';

/** Members in descending order of their weight for the key; the first is the owner. */
export function rankByRendezvous(key: string, members: readonly string[]): readonly string[] {
  return members
    .map(member => ({member, weight: hash32(`${member}/${key}`)}))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .map(candidate => candidate.member);
}

/** The member with the highest weight for the key; undefined when there are no members. */
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
