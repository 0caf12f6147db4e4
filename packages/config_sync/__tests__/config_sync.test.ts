import {intentChange, SimConfigFleet} from './support/sim_config_fleet';

describe('ConfigSync in a fleet', () => {
  it('accepts a change and brings it into force everywhere', () => {
    const fleet = new SimConfigFleet({instances: 12, regions: 3});
    fleet.time.advance(5_000);
    expect(fleet.result(fleet.submit('i-4', intentChange(1, 'a')))).toBe('accepted 1');
    expect(fleet.spread(1)).toBeLessThanOrEqual(15_000);
    expect(fleet.reverted).toEqual([]);
  });

  it('lets one of two racing operators win and shows the other the new state', () => {
    const fleet = new SimConfigFleet({instances: 6, regions: 2});
    fleet.time.advance(5_000);
    const first = fleet.submit('i-1', intentChange(1, 'a'));
    const second = fleet.submit('i-2', intentChange(1, 'b'));
    const results = [fleet.result(first), fleet.result(second)];
    expect(results.sort()).toEqual(['ConfigConflictError', 'accepted 1']);
  });

  it.each(['answer-lost-after-write', 'answer-lost-before-write'] as const)(
    'stores a change once when its answer is lost (%s)',
    fault => {
      const fleet = new SimConfigFleet({instances: 6, regions: 2});
      fleet.time.advance(5_000);
      let faults = 0;
      fleet.store.setFaultPlan(kind => {
        if (kind !== 'write' || faults > 0) return 'none';
        faults += 1;
        return fault;
      });
      expect(fleet.result(fleet.submit('i-1', intentChange(1, 'a')))).toBe('accepted 1');
      expect(fleet.store.keys()).toEqual(['config/log/000000000001']);
    },
  );
});
