/**
 * Compares methods of dividing slots among entries: how evenly they spread the slots, and how many slots change their
 * owner when an instance joins or leaves. Prints a table, then JSON.
 */
import {ownerByRendezvous, randomBelow, seededRandom} from '@cuminsill/utils';
import type {TargetSlot} from '../src';
import {assignSlots, slotsOfTargets} from '../src';
import {makeTargets} from './fleets';

type Owners = ReadonlyMap<string, string>;
type DivideSlots = (members: readonly string[], previousOwners: Owners | undefined) => Owners;

interface DivisionRow {
  readonly method: string;
  readonly members: number;
  readonly slots: number;
  /** Largest number of slots of an entry, divided by the mean. */
  readonly spread: number;
  /** Fraction of the slots that change their owner when an instance leaves. */
  readonly movedOnLeave: number;
  /** Fraction of the slots that change their owner when an instance joins. */
  readonly movedOnJoin: number;
  /** Lower bound of both fractions: the slots of one entry. */
  readonly leastMoved: number;
}

const slots = slotsOfTargets(makeTargets('s', 'r', 500, 4));

function slotKeyOf(slot: TargetSlot): string {
  return `${slot.targetId}/${slot.slotIndex}`;
}

function divideByQuota(members: readonly string[]): Owners {
  const entries = members.map(instanceId => ({instanceId, weight: 1}));
  const owners = new Map<string, string>();
  for (const entry of assignSlots('pool', slots, entries)) {
    for (const slot of entry.slots) owners.set(slotKeyOf(slot), entry.instanceId);
  }
  return owners;
}

function divideAtRandom(members: readonly string[]): Owners {
  const random = seededRandom(members.length);
  return new Map(
    slots.map(slot => [slotKeyOf(slot), members[randomBelow(random, members.length)] ?? '']),
  );
}

function divideByRendezvous(members: readonly string[]): Owners {
  return new Map(
    slots.map(slot => [slotKeyOf(slot), ownerByRendezvous(slotKeyOf(slot), members) ?? '']),
  );
}

/**
 * Greedy allocation that reduces the variance of the slot counts as much as possible at each step: a new member takes
 * slots from the member with the most, and the slots of a leaving member go to the member with the fewest. Follows
 * CASSANDRA-7032.
 */
function allocateGreedily(members: readonly string[], previousOwners: Owners | undefined): Owners {
  const slotsByMember = new Map<string, string[]>(members.map(member => [member, []]));
  const unownedSlots: string[] = [];
  for (const slot of slots) {
    const list = slotsByMember.get(previousOwners?.get(slotKeyOf(slot)) ?? '');
    if (list === undefined) unownedSlots.push(slotKeyOf(slot));
    else list.push(slotKeyOf(slot));
  }
  const membersBySize = (): string[][] =>
    [...slotsByMember.values()].sort((a, b) => a.length - b.length);
  for (const key of unownedSlots) membersBySize()[0]?.push(key);
  for (;;) {
    const sorted = membersBySize();
    const smallest = sorted[0];
    const largest = sorted.at(-1);
    if (smallest === undefined || largest === undefined) break;
    if (largest.length - smallest.length <= 1) break;
    smallest.push(largest.pop() ?? '');
  }
  return new Map(
    [...slotsByMember].flatMap(([member, keys]) => keys.map(key => [key, member] as const)),
  );
}

/** Greedy allocation as a pure function of the members: replays their joining in the order of their ids. */
function replayGreedily(members: readonly string[]): Owners {
  let owners: Owners | undefined;
  members.forEach((_, index) => {
    owners = allocateGreedily(members.slice(0, index + 1), owners);
  });
  return owners ?? new Map();
}

const methods: Readonly<Record<string, DivideSlots>> = {
  'largest remainders and rendezvous scores': divideByQuota,
  random: divideAtRandom,
  rendezvous: divideByRendezvous,
  'greedy with history': allocateGreedily,
  'greedy, replayed by id': replayGreedily,
};

function movedFraction(before: Owners, after: Owners): number {
  let moved = 0;
  for (const [key, owner] of before) if (after.get(key) !== owner) moved += 1;
  return moved / slots.length;
}

function measure(method: string, divide: DivideSlots, memberCount: number): DivisionRow {
  const members = Array.from(
    {length: memberCount},
    (_, index) => `e${String(index).padStart(3, '0')}`,
  );
  const owners = divide(members, undefined);
  const counts = members.map(member => [...owners.values()].filter(id => id === member).length);
  const changes = [0, 0.25, 0.5, 0.75].map(fraction => {
    const index = Math.floor(fraction * memberCount);
    const fewer = members.filter((_, position) => position !== index);
    const ownersWithoutOne = divide(fewer, owners);
    return {
      leave: movedFraction(owners, ownersWithoutOne),
      join: movedFraction(ownersWithoutOne, divide(members, ownersWithoutOne)),
    };
  });
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  return {
    method,
    members: memberCount,
    slots: slots.length,
    spread: Math.max(...counts) / (slots.length / memberCount),
    movedOnLeave: mean(changes.map(change => change.leave)),
    movedOnJoin: mean(changes.map(change => change.join)),
    leastMoved: 1 / memberCount,
  };
}

const rows = Object.entries(methods).flatMap(([method, divide]) =>
  [10, 30, 170].map(count => measure(method, divide, count)),
);
console.table(rows);
console.log(JSON.stringify(rows));
