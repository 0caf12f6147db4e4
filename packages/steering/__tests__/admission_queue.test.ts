import type {TrafficClass} from '@cuminsill/types';
import {trafficClasses} from '@cuminsill/types';
import fc from 'fast-check';
import {AdmissionQueue} from '../src';

interface QueuedRequest {
  readonly trafficClass: TrafficClass;
  readonly deadlineMs: number;
}

const requestArbitrary = fc.record({
  trafficClass: fc.constantFrom(...trafficClasses),
  deadlineMs: fc.integer({min: 0, max: 100}),
});

function serviceOrder(item: QueuedRequest): number {
  return trafficClasses.indexOf(item.trafficClass) * 1000 + item.deadlineMs;
}

describe('AdmissionQueue', () => {
  test('serves by class, then by deadline, and counts the requests ahead', () => {
    const property = fc.property(fc.array(requestArbitrary, {maxLength: 60}), items => {
      const queue = new AdmissionQueue<QueuedRequest>();
      for (const item of items) {
        const requestsAhead = items.filter(
          other => queue.items().includes(other) && serviceOrder(other) <= serviceOrder(item),
        );
        expect(queue.countAhead(item)).toBe(requestsAhead.length);
        queue.add(item);
      }
      const ranks = queue.items().map(serviceOrder);
      expect(ranks).toEqual(items.map(serviceOrder).sort((a, b) => a - b));
    });
    fc.assert(property, {seed: 31, numRuns: 200});
  });

  test('removes only requests of a lower class, the lowest class first', () => {
    const property = fc.property(
      fc.array(requestArbitrary, {maxLength: 30}),
      fc.constantFrom(...trafficClasses),
      (items, trafficClass) => {
        const queue = new AdmissionQueue<QueuedRequest>();
        for (const item of items) queue.add(item);
        const last = queue.items().at(-1);
        const dropped = queue.removeLowerClass(trafficClass);
        const isLowerClass =
          last !== undefined &&
          trafficClasses.indexOf(last.trafficClass) > trafficClasses.indexOf(trafficClass);
        expect(dropped).toBe(isLowerClass ? last : undefined);
      },
    );
    fc.assert(property, {seed: 32, numRuns: 200});
  });

  test('removes exactly the requests that cannot be answered before their deadline', () => {
    const property = fc.property(fc.array(requestArbitrary, {maxLength: 30}), items => {
      const queue = new AdmissionQueue<QueuedRequest>();
      for (const item of items) queue.add(item);
      const late = queue.removeLate(40, 10);
      expect(late.every(item => item.deadlineMs < 50)).toBe(true);
      expect(queue.items().every(item => item.deadlineMs >= 50)).toBe(true);
      expect(late.length + queue.size).toBe(items.length);
    });
    fc.assert(property, {seed: 33, numRuns: 200});
  });
});
