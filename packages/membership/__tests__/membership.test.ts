import {SimFleet} from './support/sim_fleet';

describe('Membership in a fleet', () => {
  it.each([
    {instances: 10, regions: 3},
    {instances: 100, regions: 5},
  ])('finds all instances from seed peers and a crash ($instances instances)', options => {
    const fleet = new SimFleet(options);
    fleet.converge();
    fleet.kill('i-5');
    const foundMs = fleet.time.advanceUntil(
      () => fleet.allSee('i-5', {reachability: 'unreachable'}),
      30_000,
    );
    expect(foundMs).toBeLessThanOrEqual(15_000);
  });
});
