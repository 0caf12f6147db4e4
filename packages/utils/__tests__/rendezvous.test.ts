import {hash32, ownerByRendezvous, rankByRendezvous} from '@cuminsill/utils';

const members = Array.from({length: 10}, (_, index) => `instance-${index}`);
const keys = Array.from({length: 5000}, (_, index) => `key-${index}`);

describe('rendezvous hashing', () => {
  it('moves only the keys of a member that leaves', () => {
    const remaining = members.filter(member => member !== 'instance-3');
    for (const key of keys) {
      const before = ownerByRendezvous(key, members);
      const after = ownerByRendezvous(key, remaining);
      if (before !== 'instance-3') expect(after).toBe(before);
    }
  });

  it('ranks the owner first', () => {
    for (const key of keys.slice(0, 100)) {
      expect(rankByRendezvous(key, members)[0]).toBe(ownerByRendezvous(key, members));
    }
  });

  it('spreads keys so that no member owns more than 1.25 times the mean', () => {
    const counts = new Map<string, number>();
    for (const key of keys) {
      const owner = ownerByRendezvous(key, members) ?? '';
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).toBeLessThan(1.25 * (keys.length / members.length));
  });

  it('returns no owner when there are no members', () => {
    expect(ownerByRendezvous('key', [])).toBeUndefined();
  });

  it('hashes to an unsigned 32-bit integer', () => {
    for (const key of keys.slice(0, 100)) {
      expect(hash32(key)).toBeGreaterThanOrEqual(0);
      expect(hash32(key)).toBeLessThan(2 ** 32);
    }
  });
});
