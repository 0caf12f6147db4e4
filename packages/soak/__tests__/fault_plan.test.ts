import {faultProfiles, planFaults, profileOf} from '../src';

test('a seed always draws the same disruptions, and another seed others', () => {
  expect(planFaults(7, 5_000, 'mixed')).toEqual(planFaults(7, 5_000, 'mixed'));
  expect(planFaults(7, 5_000, 'mixed')).not.toEqual(planFaults(8, 5_000, 'mixed'));
});

test('disruptions come in order, within the run, and overlap', () => {
  const faults = planFaults(3, 20_000, 'mixed');
  const times = faults.map(({atMs}) => atMs);
  expect(times).toEqual([...times].sort((a, b) => a - b));
  expect(times.at(-1)).toBeLessThan(20_000);
  const overlapping = faults.filter(({atMs, forMs}, index) => {
    const next = faults[index + 1];
    return next !== undefined && next.atMs < atMs + forMs;
  });
  expect(overlapping.length).toBeGreaterThan(0);
});

test('a profile draws only its own kinds, and a long run draws each of them', () => {
  for (const name of ['planned', 'links', 'processes', 'store', 'mixed'] as const) {
    const kinds = new Set(planFaults(1, 400_000, name).map(({kind}) => kind));
    expect([...kinds].sort()).toEqual(Object.keys(faultProfiles[name]).sort());
  }
});

test('consecutive seeds play every profile', () => {
  const names = [0, 1, 2, 3, 4].map(profileOf);
  expect(new Set(names).size).toBe(Object.keys(faultProfiles).length);
});
