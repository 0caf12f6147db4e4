/** The room for bodies: what is accepted, what waits, and what is free again. */
import fc from 'fast-check';
import {BodyBuffer} from '../src/memory/body_buffer';
import type {BodyReservation} from '../src/memory/body_memory';
import {BodyMemory, maxSmallBodyBytes} from '../src/memory/body_memory';

const room = {totalBytes: 1_000_000, largeBytes: 800_000};
const unlimited = {resize: () => true, release: () => undefined};

interface Case {
  readonly name: string;
  /** Bytes that are held before. */
  readonly held: readonly number[];
  readonly bytes: number;
  readonly isAccepted: boolean;
}

const cases: readonly Case[] = [
  {name: 'a large body in an empty room', held: [], bytes: 800_000, isAccepted: true},
  {name: 'a body larger than the room, alone', held: [], bytes: 5_000_000, isAccepted: true},
  {name: 'the same beside another large one', held: [70_000], bytes: 5_000_000, isAccepted: false},
  {name: 'large bodies up to their part', held: [400_000], bytes: 400_000, isAccepted: true},
  {name: 'large bodies beyond their part', held: [400_000], bytes: 400_001, isAccepted: false},
  {name: 'a small body beside large ones', held: [800_000], bytes: 50_000, isAccepted: true},
  {
    name: 'a small body without room',
    held: [800_000, ...Array<number>(4).fill(50_000)],
    bytes: 1,
    isAccepted: false,
  },
];

/** Guards against bodies beyond the memory of the process, and against short requests that large bodies keep out. */
test.each(cases)('$name', ({held, bytes, isAccepted}) => {
  const memory = new BodyMemory(room);
  for (const heldBytes of held) memory.hold(heldBytes);
  expect(memory.tryReserve(bytes) !== undefined).toBe(isAccepted);
});

/** Guards against a large body that later ones overtake for good, and against room that stays taken. */
test('bodies that wait get room in order of arrival, and those that give up do not', () => {
  const memory = new BodyMemory(room);
  const first = memory.hold(700_000);
  const admitted: string[] = [];
  const reservations: BodyReservation[] = [];
  const wait = (name: string, bytes: number) =>
    memory.whenRoom(bytes, reservation => {
      admitted.push(name);
      reservations.push(reservation);
    });
  wait('second', 600_000);
  const giveUpThird = wait('third', 600_000);
  wait('fourth', 150_000);
  expect(admitted).toEqual([]);
  giveUpThird();
  first.release();
  first.release();
  expect(admitted).toEqual(['second', 'fourth']);
  for (const reservation of reservations) reservation.release();
  expect(memory.heldBytes).toBe(0);
});

/** Guards against bytes that are counted twice or never freed, whatever the order of events. */
test('the held bytes are those of the reservations', () => {
  const bytes = fc.integer({min: 0, max: 3 * maxSmallBodyBytes});
  const steps = fc.array(
    fc.record({bytes, index: fc.nat(20), kind: fc.constantFrom('reserve', 'resize', 'release')}),
  );
  const property = fc.property(steps, list => {
    const memory = new BodyMemory(room);
    const open = new Map<BodyReservation, number>();
    for (const {kind, bytes: amount, index} of list) {
      const chosen = [...open.keys()][index];
      if (kind === 'reserve') {
        const reservation = memory.tryReserve(amount);
        if (reservation !== undefined) open.set(reservation, amount);
      } else if (chosen !== undefined && kind === 'release') {
        chosen.release();
        open.delete(chosen);
      } else if (chosen?.resize(amount) === true) open.set(chosen, amount);
      expect(memory.heldBytes).toBe([...open.values()].reduce((sum, held) => sum + held, 0));
    }
  });
  fc.assert(property, {numRuns: 200, seed: 49});
});

interface BufferCase {
  readonly name: string;
  readonly chunks: readonly string[];
  readonly knownBytes: number | undefined;
}

const bufferCases: readonly BufferCase[] = [
  {name: 'one chunk of known length', chunks: ['hello'], knownBytes: 5},
  {name: 'chunks of known length', chunks: ['he', 'l', 'lo'], knownBytes: 5},
  {name: 'chunks of unknown length', chunks: ['he', 'l', 'lo'], knownBytes: undefined},
  {name: 'many short chunks', chunks: Array<string>(9_000).fill('hello'), knownBytes: undefined},
  {name: 'no chunk', chunks: [], knownBytes: undefined},
];

/** Guards against bytes that are lost, doubled or out of order when chunks are joined. */
test.each(bufferCases)('$name', ({chunks, knownBytes}) => {
  const body = new BodyBuffer({reservation: unlimited, maxBytes: 1_000_000, knownBytes});
  for (const chunk of chunks) expect(body.add(Buffer.from(chunk))).toBeUndefined();
  expect(body.bytes().toString()).toBe(chunks.join(''));
});

test.each([
  {name: 'beyond the largest size', maxBytes: 4, resize: () => true, overflow: 'too-large'},
  {name: 'without room', maxBytes: 100, resize: () => false, overflow: 'no-room'},
])('a chunk $name is not added', ({maxBytes, resize, overflow}) => {
  const reservation = {...unlimited, resize};
  const body = new BodyBuffer({reservation, maxBytes, knownBytes: undefined});
  expect(body.add(Buffer.from('hello'))).toBe(overflow);
});

/** Guards against an answer in short chunks without end that takes the processor until its deadline has passed. */
test('short chunks are given up long before their bytes reach the largest size', () => {
  const maxBytes = 1_000_000;
  const body = new BodyBuffer({
    reservation: unlimited,
    maxBytes,
    maxWeightBytes: maxBytes,
    knownBytes: undefined,
  });
  const chunk = Buffer.from('data: 1234\n\n');
  let added = 0;
  while (body.add(chunk) === undefined) added += 1;
  expect(added * chunk.length).toBeLessThan(maxBytes / 5);
});
