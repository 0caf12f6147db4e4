/** Compares ways to divide slots: spread over the entries, and slots that move when one instance joins or leaves. */
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
  /** Largest number of slots of an entry against the mean. */
  readonly spread: number;
  readonly movedOnLeave: number;
  readonly movedOnJoin: number;
  /** Share that has to move in any case: one entry's part. */
  readonly leastMoved: number;
}

const slots = slotsOfTargets(makeTargets('s', 'r', 500, 4));

function keyOf(slot: TargetSlot): string {
  return `${slot.targetId}/${slot.slotIndex}`;
}

function divideByWeightedRendezvous(members: readonly string[]): Owners {
  const entries = members.map(instanceId => ({instanceId, weight: 1}));
  const owners = new Map<string, string>();
  for (const entry of assignSlots('pool', slots, entries)) {
    for (const slot of entry.slots) owners.set(keyOf(slot), entry.instanceId);
  }
  return owners;
}

function divideAtRandom(members: readonly string[]): Owners {
  const random = seededRandom(members.length);
  return new Map(
    slots.map(slot => [keyOf(slot), members[randomBelow(random, members.length)] ?? '']),
  );
}

function divideByRendezvous(members: readonly string[]): Owners {
  return new Map(slots.map(slot => [keyOf(slot), ownerByRendezvous(keyOf(slot), members) ?? '']));
}

/**
 * Greedy allocation that lowers the variance of ownership most at each step: a newcomer takes slots from the
 * largest owner, and the slots of one that leaves go to the smallest. Idea: CASSANDRA-7032.
 */
function allocateGreedily(members: readonly string[], before: Owners | undefined): Owners {
  const owned = new Map<string, string[]>(members.map(member => [member, []]));
  const unownedSlots: string[] = [];
  for (const slot of slots) {
    const list = owned.get(before?.get(keyOf(slot)) ?? '');
    if (list === undefined) unownedSlots.push(keyOf(slot));
    else list.push(keyOf(slot));
  }
  const ownedBySize = (): string[][] => [...owned.values()].sort((a, b) => a.length - b.length);
  for (const key of unownedSlots) ownedBySize()[0]?.push(key);
  for (;;) {
    const sorted = ownedBySize();
    const smallest = sorted[0];
    const largest = sorted.at(-1);
    if (smallest === undefined || largest === undefined) break;
    if (largest.length - smallest.length <= 1) break;
    smallest.push(largest.pop() ?? '');
  }
  return new Map([...owned].flatMap(([member, keys]) => keys.map(key => [key, member] as const)));
}

/** The same as a pure function of the members: all join in the order of their ids. */
function replayGreedily(members: readonly string[]): Owners {
  let owners: Owners | undefined;
  members.forEach((_, index) => {
    owners = allocateGreedily(members.slice(0, index + 1), owners);
  });
  return owners ?? new Map();
}

const methods: Readonly<Record<string, DivideSlots>> = {
  'largest remainders and rendezvous scores': divideByWeightedRendezvous,
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

function measure(method: string, divide: DivideSlots, count: number): DivisionRow {
  const members = Array.from({length: count}, (_, index) => `e${String(index).padStart(3, '0')}`);
  const owners = divide(members, undefined);
  const counts = members.map(member => [...owners.values()].filter(id => id === member).length);
  const changes = [0, 0.25, 0.5, 0.75].map(position => {
    const index = Math.floor(position * count);
    const fewer = members.filter((_, position) => position !== index);
    const withoutOne = divide(fewer, owners);
    return {
      leave: movedFraction(owners, withoutOne),
      join: movedFraction(withoutOne, divide(members, withoutOne)),
    };
  });
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  return {
    method,
    members: count,
    slots: slots.length,
    spread: Math.max(...counts) / (slots.length / count),
    movedOnLeave: mean(changes.map(change => change.leave)),
    movedOnJoin: mean(changes.map(change => change.join)),
    leastMoved: 1 / count,
  };
}

const rows = Object.entries(methods).flatMap(([method, divide]) =>
  [10, 30, 170].map(count => measure(method, divide, count)),
);
console.table(rows);
console.log(JSON.stringify(rows));
