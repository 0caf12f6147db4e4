/** Spreads a bench load over worker threads. */
import {join} from 'node:path';
import {Worker} from 'node:worker_threads';
import type {BenchLoadOptions, BenchLoadResult} from './bench_load';

/** Runs one load in each worker, at the same time, and adds them up. */
export async function runInWorkers(loads: readonly BenchLoadOptions[]): Promise<BenchLoadResult> {
  return addResults(await Promise.all(loads.map(runInWorker)));
}

/** The same load spread evenly over a number of workers. */
export function splitLoad(options: BenchLoadOptions, workers: number): readonly BenchLoadOptions[] {
  return Array.from({length: workers}, (_, index) => ({
    ...options,
    connections: Math.max(1, Math.round(options.connections / workers)),
    ratePerS: options.ratePerS === undefined ? undefined : options.ratePerS / workers,
    seed: options.seed + index,
  }));
}

function runInWorker(options: BenchLoadOptions): Promise<BenchLoadResult> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(join(__dirname, 'bench_worker.js'), {workerData: options});
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}

/** Percentiles are the highest of any worker, which is an upper bound of the joint percentile. */
function addResults(results: readonly BenchLoadResult[]): BenchLoadResult {
  const sum = (pick: (result: BenchLoadResult) => number) =>
    results.reduce((total, result) => total + pick(result), 0);
  const highest = (pick: (result: BenchLoadResult) => number) => Math.max(...results.map(pick));
  return {
    count: sum(result => result.count),
    requestsPerS: sum(result => result.requestsPerS),
    answered: sum(result => result.answered),
    failed: sum(result => result.failed),
    p50Ms: highest(result => result.p50Ms),
    p99Ms: highest(result => result.p99Ms),
    maxMs: highest(result => result.maxMs),
  };
}
