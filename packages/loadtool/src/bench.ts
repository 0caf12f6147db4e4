/**
 * Measures one instance against what Node's http gives without it:
 *
 * - forwarding through one entry against the same stand-in target reached directly, saturated and at 70%;
 * - look-ups of one entry against a bare http server that answers the same bytes;
 * - resident memory when idle;
 * - the ceiling of the load generator, so that it can be seen not to be the bottleneck.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {SocketAddress} from '@cuminsill/types';
import type {BenchLoadOptions, BenchLoadResult} from './bench_load';
import type {BenchMeasurement, BenchReport, MemoryMeasurement} from './bench_report';
import {benchPath, benchRequestText, startBenchInstance} from './bench_instance';
import type {BenchInstance} from './bench_instance';
import {runInWorkers, splitLoad} from './bench_workers';
import {RunningChild} from './child_process';
import {missingDaemons} from './daemon_settings';

/** Options of a bench. */
export interface BenchOptions {
  readonly seed: number;
  readonly workers: number;
  readonly connections: number;
  readonly warmUpMs: number;
  readonly measureMs: number;
  /** Measures only what needs no daemons. */
  readonly baselineOnly: boolean;
}

const partialLoadShare = 0.7;

/** Runs all measurements, one after another. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const directory = mkdtempSync(join(tmpdir(), 'cuminsill-bench-'));
  const missing = missingDaemons();
  const withDaemons = !options.baselineOnly && missing.length === 0;
  const bench = new Bench(options);
  try {
    const instance = await startBenchInstance(directory, withDaemons);
    try {
      await bench.measureInstance(instance);
    } finally {
      await instance.stop();
    }
  } finally {
    rmSync(directory, {recursive: true});
  }
  const reason = options.baselineOnly ? 'only the baseline was asked for' : 'not built';
  const skipped = withDaemons
    ? []
    : [`entry and control: ${reason}${missing.length > 0 ? ` (${missing.join(', ')})` : ''}`];
  return {
    nodeVersion: process.version,
    seed: options.seed,
    workers: options.workers,
    measurements: bench.measurements,
    idleMemory: bench.idleMemory,
    skipped,
  };
}

class Bench {
  readonly measurements: BenchMeasurement[] = [];
  readonly idleMemory: MemoryMeasurement[] = [];

  constructor(private readonly options: BenchOptions) {}

  async measureInstance(instance: BenchInstance): Promise<void> {
    for (const child of instance.children) {
      this.idleMemory.push({name: child.name, residentBytes: child.residentBytes()});
    }
    const lookupBody = instance.lookupBody;
    await this.measureGenerator(lookupBody);
    await this.measureBareServer(lookupBody);
    if (instance.entryAddress !== undefined) {
      const path = '/v1/lookup?service=bench';
      await this.saturate('look-ups at one entry', instance.entryAddress, path);
    }
    await this.measureForwarding('direct to the target', instance.targetAddress, benchPath);
    if (instance.entryAddress !== undefined) {
      const path = `/svc/bench${benchPath}`;
      await this.measureForwarding('through one entry', instance.entryAddress, path);
    }
  }

  private async measureForwarding(
    name: string,
    address: SocketAddress,
    path: string,
  ): Promise<void> {
    const saturated = await this.saturate(`${name}, saturated`, address, path);
    const ratePerS = saturated.requestsPerS * partialLoadShare;
    if (ratePerS > 0) await this.measure(`${name}, at 70%`, address, path, ratePerS);
  }

  private async measureBareServer(body: Buffer): Promise<void> {
    const server = await startBareServer(body);
    await this.saturate('bare http server', addressOf(server), '/');
    await server.stop();
  }

  /** One bare server for each worker, all at once: what the generator reaches when no server limits it. */
  private async measureGenerator(body: Buffer): Promise<void> {
    const {workers} = this.options;
    const servers = await Promise.all(Array.from({length: workers}, () => startBareServer(body)));
    const [load] = splitLoad(this.loadOptions(addressOf(servers[0]), '/'), workers);
    const loads = servers.map(server => ({
      ...(load as BenchLoadOptions),
      address: addressOf(server),
    }));
    const result = await runInWorkers(loads);
    this.measurements.push({name: `generator ceiling (${workers} servers)`, result});
    await Promise.all(servers.map(server => server.stop()));
  }

  private saturate(name: string, address: SocketAddress, path: string): Promise<BenchLoadResult> {
    return this.measure(name, address, path, undefined);
  }

  private async measure(
    name: string,
    address: SocketAddress,
    path: string,
    ratePerS: number | undefined,
  ): Promise<BenchLoadResult> {
    const load = {...this.loadOptions(address, path), ratePerS};
    const result = await runInWorkers(splitLoad(load, this.options.workers));
    this.measurements.push({name, result});
    return result;
  }

  private loadOptions(address: SocketAddress, path: string): BenchLoadOptions {
    const {connections, seed, warmUpMs, measureMs} = this.options;
    const requestText = benchRequestText(path);
    return {address, requestText, connections, seed, warmUpMs, measureMs};
  }
}

function startBareServer(body: Buffer): Promise<RunningChild> {
  const file = join(__dirname, 'bin/bare_server.js');
  return RunningChild.start({name: 'bare server', file, args: [body.toString('base64')]});
}

function addressOf(server: RunningChild | undefined): SocketAddress {
  return server?.ready['address'] as SocketAddress;
}
