/** Runs benchmark loads in worker threads. */
import {join} from 'node:path';
import {Worker} from 'node:worker_threads';
import type {BenchLoadOptions, BenchLoadResult} from './bench_load';

/** Runs each load in a worker thread of its own, all at the same time, and merges the results. */
export async function runInWorkers(loads: readonly BenchLoadOptions[]): Promise<BenchLoadResult> {
  return mergeResults(await Promise.all(loads.map(runInWorker)));
}

/** Divides a load evenly among a number of workers; each gets a seed of its own. */
export function splitLoad(
  options: BenchLoadOptions,
  workerCount: number,
): readonly BenchLoadOptions[] {
  return Array.from({length: workerCount}, (_, index) => ({
    ...options,
    connections: Math.max(1, Math.round(options.connections / workerCount)),
    ratePerS: options.ratePerS === undefined ? undefined : options.ratePerS / workerCount,
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

/** Takes the highest percentile of any worker, which is an upper bound of the percentile of all requests. */
function mergeResults(results: readonly BenchLoadResult[]): BenchLoadResult {
  const sum = (getValue: (result: BenchLoadResult) => number) =>
    results.reduce((total, result) => total + getValue(result), 0);
  const max = (getValue: (result: BenchLoadResult) => number) => Math.max(...results.map(getValue));
  return {
    count: sum(result => result.count),
    requestsPerS: sum(result => result.requestsPerS),
    answered: sum(result => result.answered),
    failed: sum(result => result.failed),
    p50Ms: max(result => result.p50Ms),
    p99Ms: max(result => result.p99Ms),
    maxMs: max(result => result.maxMs),
  };
}
