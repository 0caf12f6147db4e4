import type {TrafficClass} from '@cuminsill/types';
import {trafficClasses} from '@cuminsill/types';
import fc from 'fast-check';
import {AdmissionQueue} from '../src';

interface Item {
  readonly trafficClass: TrafficClass;
  readonly deadlineMs: number;
}

const itemArbitrary = fc.record({
  trafficClass: fc.constantFrom(...trafficClasses),
  deadlineMs: fc.integer({min: 0, max: 100}),
});

function rank(item: Item): number {
  return trafficClasses.indexOf(item.trafficClass) * 1000 + item.deadlineMs;
}

describe('AdmissionQueue', () => {
  test('serves by class, then by deadline, and tells how many are ahead', () => {
    const property = fc.property(fc.array(itemArbitrary, {maxLength: 60}), items => {
      const queue = new AdmissionQueue<Item>();
      for (const item of items) {
        const ahead = items.filter(
          other => queue.items().includes(other) && rank(other) <= rank(item),
        );
        expect(queue.countAhead(item)).toBe(ahead.length);
        queue.add(item);
      }
      const ranks = queue.items().map(rank);
      expect(ranks).toEqual(items.map(rank).sort((a, b) => a - b));
    });
    fc.assert(property, {seed: 31, numRuns: 200});
  });

  test('drops only requests of a lower class, the lowest first', () => {
    const property = fc.property(
      fc.array(itemArbitrary, {maxLength: 30}),
      fc.constantFrom(...trafficClasses),
      (items, trafficClass) => {
        const queue = new AdmissionQueue<Item>();
        for (const item of items) queue.add(item);
        const last = queue.items().at(-1);
        const dropped = queue.removeLowerClass(trafficClass);
        const lower =
          last !== undefined &&
          trafficClasses.indexOf(last.trafficClass) > trafficClasses.indexOf(trafficClass);
        expect(dropped).toBe(lower ? last : undefined);
      },
    );
    fc.assert(property, {seed: 32, numRuns: 200});
  });

  test('removes exactly the requests that cannot finish in time', () => {
    const property = fc.property(fc.array(itemArbitrary, {maxLength: 30}), items => {
      const queue = new AdmissionQueue<Item>();
      for (const item of items) queue.add(item);
      const late = queue.removeLate(40, 10);
      expect(late.every(item => item.deadlineMs < 50)).toBe(true);
      expect(queue.items().every(item => item.deadlineMs >= 50)).toBe(true);
      expect(late.length + queue.size).toBe(items.length);
    });
    fc.assert(property, {seed: 33, numRuns: 200});
  });
});
