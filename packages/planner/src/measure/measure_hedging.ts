/** Simulates hedging at the sizes of docs/design.md; prints JSON with the medians of five seeds per case. */
import {runHedgingCase} from './hedging_model';
import type {HedgingCase, HedgingResult} from './hedging_model';

const seeds = [1, 2, 3, 4, 5];
const requests = 200_000;
const loads = [0.5, 0.7, 0.9, 0.95];
const variants: ReadonlyArray<Pick<HedgingCase, 'slowCause' | 'cancels' | 'entries'>> = [
  {slowCause: 'target', cancels: true, entries: 1},
  {slowCause: 'target', cancels: false, entries: 1},
  {slowCause: 'request', cancels: true, entries: 1},
  {slowCause: 'target', cancels: true, entries: 10},
  {slowCause: 'target', cancels: false, entries: 10},
  {slowCause: 'request', cancels: true, entries: 10},
];

function median(results: readonly HedgingResult[], field: keyof HedgingResult): number {
  const sorted = results.map(result => result[field]).sort((a, b) => a - b);
  return sorted[sorted.length >> 1] ?? NaN;
}

function runAllSeeds(variant: (typeof variants)[number], load: number, hedging: boolean) {
  return seeds.map(seed =>
    runHedgingCase({...variant, load, hedging, seed, requests, targets: 12, slotsPerTarget: 3}),
  );
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

const rows = variants.flatMap(variant =>
  loads.map(load => {
    const off = runAllSeeds(variant, load, false);
    const on = runAllSeeds(variant, load, true);
    const medianLatencies = (results: readonly HedgingResult[]) => ({
      p50Ms: round(median(results, 'p50Ms'), 1),
      p99Ms: round(median(results, 'p99Ms'), 1),
      p999Ms: round(median(results, 'p999Ms'), 1),
    });
    const addedLoad = median(on, 'busySlotMs') / median(off, 'busySlotMs') - 1;
    return {
      ...variant,
      load,
      off: medianLatencies(off),
      on: medianLatencies(on),
      addedLoadPercent: round(addedLoad * 100, 2),
      hedgedPercent: round((median(on, 'hedges') / requests) * 100, 2),
    };
  }),
);
console.log(JSON.stringify({requests, seeds, rows}, null, 2));
