import {faultProfiles, planFaults, profileForSeed} from '../src';

test('draws the same faults for the same seed, and others for another seed', () => {
  expect(planFaults(7, 5_000, 'mixed')).toEqual(planFaults(7, 5_000, 'mixed'));
  expect(planFaults(7, 5_000, 'mixed')).not.toEqual(planFaults(8, 5_000, 'mixed'));
});

test('draws faults in order of time, within the run, some of which overlap', () => {
  const faults = planFaults(3, 20_000, 'mixed');
  const times = faults.map(({atMs}) => atMs);
  expect(times).toEqual([...times].sort((a, b) => a - b));
  expect(times.at(-1)).toBeLessThan(20_000);
  const overlapping = faults.filter(({atMs, durationMs}, index) => {
    const next = faults[index + 1];
    return next !== undefined && next.atMs < atMs + durationMs;
  });
  expect(overlapping.length).toBeGreaterThan(0);
});

test('draws only the kinds of a profile, and in a long run each of them', () => {
  for (const name of [
    'planned',
    'links',
    'processes',
    'store',
    'mixed',
    'crashing',
    'limited',
    'directed',
  ] as const) {
    const kinds = new Set(planFaults(1, 400_000, name).map(({kind}) => kind));
    expect([...kinds].sort()).toEqual(Object.keys(faultProfiles[name]).sort());
  }
});

test('uses every profile within consecutive seeds', () => {
  const seeds = Object.keys(faultProfiles).map((_name, seed) => seed);
  const names = seeds.map(profileForSeed);
  expect(new Set(names).size).toBe(Object.keys(faultProfiles).length);
});
