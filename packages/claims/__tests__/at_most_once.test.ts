import {availableParallelism} from 'node:os';
import {join} from 'node:path';
import {Worker} from 'node:worker_threads';
import {addResults, noResult} from './histories';
import type {Part, PartResult} from './histories';
import type {HistoryResult, RemovedPart} from './history_types';

const seed = 20_261;
const ciRuns = 10_000;
const runs = Number(process.env['CUMINSILL_FUZZ_RUNS'] ?? ciRuns);
const brokenRuns = 400;
const partRuns = 250;

// Started once, because loading the sources takes a worker longer than the histories of a small test.
const workers = Array.from(
  {length: Math.min(8, Math.max(1, availableParallelism() - 1))},
  () => new Worker(join(__dirname, 'history_worker.mjs')),
);

afterAll(() => Promise.all(workers.map(worker => worker.terminate())));

async function runParts(numRuns: number, removed: RemovedPart): Promise<readonly PartResult[]> {
  const size = Math.min(partRuns, Math.ceil(numRuns / workers.length));
  const parts: Part[] = [];
  for (let from = 0; from < numRuns; from += size) {
    parts.push({seed: seed + from, numRuns: Math.min(size, numRuns - from), removed});
  }
  const results = await Promise.all(workers.map(worker => drain(worker, parts)));
  return results.flat();
}

async function drain(worker: Worker, parts: Part[]): Promise<readonly PartResult[]> {
  const results: PartResult[] = [];
  for (let part = parts.shift(); part !== undefined; part = parts.shift()) {
    results.push(await runOn(worker, part));
  }
  return results;
}

function runOn(worker: Worker, part: Part): Promise<PartResult> {
  return new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', (result: PartResult) => {
      worker.off('error', reject);
      resolve(result);
    });
    worker.postMessage(part);
  });
}

function sum(results: readonly PartResult[]): HistoryResult {
  return results.map(result => result.total).reduce(addResults, noResult);
}

describe('at most once', () => {
  // Guards against a second run and against a false "not run" under failures alone and in pairs.
  it(
    `holds in ${runs} generated histories`,
    async () => {
      const results = await runParts(runs, 'nothing');
      const total = sum(results);
      const share = ((100 * total.unknownOperations) / total.operations).toFixed(2);
      console.log(`${runs} histories: ${share}% unknown; ${JSON.stringify(total)}`);
      const counterexamples = results.flatMap(({counterexample}) => counterexample ?? []);
      expect(counterexamples).toEqual([]);
      // A key that nothing but the claims keep blocked would be lost to its caller.
      expect(total).toMatchObject({
        doubleRuns: 0,
        falseNotRuns: 0,
        falseRuns: 0,
        blockedOperations: 0,
      });
    },
    Math.max(300, runs / 10) * 1_000,
  );

  // Guards against checks that cannot fail: without a part of the mechanism the same histories violate them.
  it.each<[RemovedPart, 'doubleRuns' | 'falseNotRuns']>([
    ['archived-claims', 'doubleRuns'],
    ['durable-append', 'doubleRuns'],
    ['refusal-of-held-keys', 'doubleRuns'],
    ['unknown-after-lost-connection', 'doubleRuns'],
    ['unknown-after-lost-connection', 'falseNotRuns'],
  ])(
    'without "%s" the histories show %s',
    async (removed, violation) => {
      const total = sum(await runParts(brokenRuns, removed));
      expect(total[violation]).toBeGreaterThan(0);
    },
    120_000,
  );
});
