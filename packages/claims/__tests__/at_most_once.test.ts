import {availableParallelism} from 'node:os';
import {join} from 'node:path';
import {Worker} from 'node:worker_threads';
import {addResults, emptyResult} from './histories';
import type {BatchResult, HistoryBatch} from './histories';
import type {DisabledSafeguard, HistoryResult} from './history_types';

const seed = 20_261;
const defaultRuns = 10_000;
const runs = Number(process.env['CUMINSILL_FUZZ_RUNS'] ?? defaultRuns);
const runsWithoutSafeguard = 400;
const runsPerBatch = 250;

// Started once for all tests, because a worker needs longer to load the sources than to run a few histories.
const workers = Array.from(
  {length: Math.min(8, Math.max(1, availableParallelism() - 1))},
  () => new Worker(join(__dirname, 'history_worker.mjs')),
);

afterAll(() => Promise.all(workers.map(worker => worker.terminate())));

async function runInBatches(
  numRuns: number,
  disabled: DisabledSafeguard,
): Promise<readonly BatchResult[]> {
  const size = Math.min(runsPerBatch, Math.ceil(numRuns / workers.length));
  const batches: HistoryBatch[] = [];
  for (let from = 0; from < numRuns; from += size) {
    batches.push({seed: seed + from, numRuns: Math.min(size, numRuns - from), disabled});
  }
  const results = await Promise.all(workers.map(worker => runBatchesOn(worker, batches)));
  return results.flat();
}

async function runBatchesOn(
  worker: Worker,
  batches: HistoryBatch[],
): Promise<readonly BatchResult[]> {
  const results: BatchResult[] = [];
  for (let batch = batches.shift(); batch !== undefined; batch = batches.shift()) {
    results.push(await runBatchOn(worker, batch));
  }
  return results;
}

function runBatchOn(worker: Worker, batch: HistoryBatch): Promise<BatchResult> {
  return new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', (result: BatchResult) => {
      worker.off('error', reject);
      resolve(result);
    });
    worker.postMessage(batch);
  });
}

function sumOf(results: readonly BatchResult[]): HistoryResult {
  return results.map(result => result.total).reduce(addResults, emptyResult);
}

describe('at most once', () => {
  // Guards against operations that run twice and against a false "not run", with single failures and pairs of failures.
  it(
    `holds in ${runs} generated histories`,
    async () => {
      const results = await runInBatches(runs, 'nothing');
      const total = sumOf(results);
      const unknownPercent = ((100 * total.unknownOperations) / total.operations).toFixed(2);
      console.log(`${runs} histories: ${unknownPercent}% unknown; ${JSON.stringify(total)}`);
      const counterexamples = results.flatMap(({counterexample}) => counterexample ?? []);
      expect(counterexamples).toEqual([]);
      // An operation that stays unknown only because of its claim would be lost to its caller.
      expect(total).toMatchObject({
        doubleRuns: 0,
        falseNotRuns: 0,
        falseRuns: 0,
        blockedOperations: 0,
      });
    },
    Math.max(300, runs / 10) * 1_000,
  );

  // Guards against checks that cannot fail: if a safeguard is disabled, the same histories must violate them.
  it.each<[DisabledSafeguard, 'doubleRuns' | 'falseNotRuns']>([
    ['archived-claims', 'doubleRuns'],
    ['durable-append', 'doubleRuns'],
    ['refusal-of-held-keys', 'doubleRuns'],
    ['unknown-after-lost-connection', 'doubleRuns'],
    ['unknown-after-lost-connection', 'falseNotRuns'],
  ])(
    'without the safeguard "%s", the histories contain %s',
    async (disabled, violation) => {
      const total = sumOf(await runInBatches(runsWithoutSafeguard, disabled));
      expect(total[violation]).toBeGreaterThan(0);
    },
    120_000,
  );
});
