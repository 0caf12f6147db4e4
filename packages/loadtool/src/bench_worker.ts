/** Worker thread of the benchmark's load generator: runs one load and posts its result. */
import {parentPort, workerData} from 'node:worker_threads';
import {runBenchLoad} from './bench_load';
import type {BenchLoadOptions} from './bench_load';

if (parentPort !== null) {
  const port = parentPort;
  void runBenchLoad(workerData as BenchLoadOptions).then(result => port.postMessage(result));
}
