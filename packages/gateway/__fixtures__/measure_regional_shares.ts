/** Prints the load of regions with too few targets, with shares by slots alone and with reports of the targets. */
import {placeRequest} from '../src/targets/placement';
import {bySlotsAlone} from './baseline_policies';
import type {ServiceOutcome} from './service_load';
import {unevenRegionsLoad} from './service_loads';
import type {PlacementPolicy} from './service_simulation';
import {simulateService} from './service_simulation';

const policies: ReadonlyArray<readonly [string, PlacementPolicy]> = [
  ['slots alone', bySlotsAlone],
  ['with reports', placeRequest],
];
const seeds = [1, 2, 3];
/** The first seconds, in which caches are empty, are left out. */
const warmUpS = 18;
const peakS = 3;

const columns = ['mean', 'peak of 3 s', 'waited', 'mean wait ms', 'cached', 'in time', 'change'];
console.log(`| requests/s | share | ${columns.join(' | ')} |`);
console.log(`|${' --- |'.repeat(columns.length + 2)}`);
for (const requestsPerS of [200, 290, 340, 400]) {
  for (const [name, policy] of policies) {
    const rows = seeds.map(seed =>
      figuresOf(simulateService({...unevenRegionsLoad, requestsPerS, seed}, policy)),
    );
    const cells = columns.map((_column, index) => mean(rows.map(row => row[index] ?? 0)));
    const texts = cells.map(cell => (cell > 10 ? cell.toFixed(0) : cell.toFixed(2)));
    console.log(`| ${requestsPerS} | ${name} | ${texts.join(' | ')} |`);
  }
}

function figuresOf(outcome: ServiceOutcome): readonly number[] {
  const byRegion = outcome.utilizationsBySecond.map(values => values.slice(warmUpS));
  const peaks = byRegion.map(values =>
    values.slice(peakS - 1).map((_value, index) => mean(values.slice(index, index + peakS))),
  );
  const changes = outcome.outOfRegionFractions.flatMap(fractions =>
    fractions
      .slice(warmUpS / 2)
      .map((value, index, all) => Math.abs(value - (all[index - 1] ?? value))),
  );
  return [
    Math.max(...byRegion.map(mean)),
    Math.max(...peaks.flat()),
    outcome.waitedFraction,
    outcome.meanWaitMs,
    outcome.cachedFraction,
    outcome.inTimeCount / outcome.requestCount,
    Math.max(...changes),
  ];
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
