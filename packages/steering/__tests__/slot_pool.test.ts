import {ManualTime} from '@cuminsill/utils';
import {makeSteeringOptions, makeService, makeTargets} from '../__fixtures__/fleets';
import {SlotPool} from '../src';

const service = makeService('s');
const targets = makeTargets('s', 'r', 1, 2);
const slots = [0, 1].map(slotIndex => ({targetId: 's-r-0', slotIndex}));

function makePool(time: ManualTime): SlotPool {
  let lastSlotId = 0;
  const pool = new SlotPool(
    service,
    'r',
    'e0',
    () => (lastSlotId += 1),
    makeSteeringOptions('e0', 'r'),
    time,
  );
  pool.setTargets(service, targets);
  pool.setOwnSlots(slots.map(slot => ({...slot, hadOtherOwner: false})));
  return pool;
}

describe('SlotPool handover', () => {
  test.each([
    {name: 'free', isInUse: false},
    {name: 'in use', isInUse: true},
  ])(
    'a slot that another entry owned in between stays blocked, also if it was $name before',
    ({isInUse}) => {
      const time = new ManualTime();
      const pool = makePool(time);
      const request = {
        trafficClass: 'interactive',
        deadlineMs: time.monotonicMs() + 60_000,
        excludedTargetIds: [],
      } as const;
      const acquired = isInUse ? [pool.tryAcquire(request), pool.tryAcquire(request)] : [];
      pool.setOwnSlots([]);
      pool.setOwnSlots(slots.map(slot => ({...slot, hadOtherOwner: true})));
      for (const slot of acquired) if (slot) pool.release(slot, 'interactive', 'answered', 100);
      time.advance(5900);
      expect(pool.tryAcquire(request)).toBeUndefined();
      time.advance(200);
      expect(pool.tryAcquire(request)).toBeDefined();
    },
  );
});
