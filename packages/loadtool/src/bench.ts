/**
 * Measures one instance against what Node's http gives without it:
 *
 * - forwarding through one entry against the same stand-in target reached directly, saturated and at 70%;
 * - look-ups of one entry against a bare http server that answers the same bytes;
 * - processor time per answer of each measured process, because the rates depend on what else the machine runs;
 * - resident memory and heap when idle;
 * - the ceiling of the load generator, so that it can be seen not to be the bottleneck.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {loadavg, tmpdir} from 'node:os';
import {join} from 'node:path';
import type {SocketAddress} from '@cuminsill/types';
import type {BenchLoadOptions, BenchLoadResult} from './bench_load';
import type {MemoryMeasurement} from './bench_processes';
import {processorTimeMs} from './bench_processes';
import type {BenchMeasurement, BenchReport, BenchSummary} from './bench_report';
import {benchPath, benchRequestText, startBenchInstance} from './bench_instance';
import type {BenchInstance} from './bench_instance';
import {runInWorkers, splitLoad} from './bench_workers';
import {RunningChild} from './child_process';
import {missingDaemons} from './daemon_settings';

/** A part of the bench that can be run alone. */
export type BenchPart = 'lookups' | 'forwarding';

/** Options of a bench. */
export interface BenchOptions {
  readonly seed: number;
  readonly workers: number;
  readonly connections: number;
  readonly warmUpMs: number;
  readonly measureMs: number;
  /** Measures only what needs no daemons. */
  readonly baselineOnly: boolean;
  /** Measures only this part; all parts when undefined. */
  readonly only: BenchPart | undefined;
}

const partialLoadShare = 0.7;
const warmUpRunMs = 1000;
/** Bounds the whole bench to about a minute and a half. */
const maxWarmUpRuns = 6;
/** Two runs in a row within this part count as settled; processor time is counted in ticks of 1% of a run. */
const settledDifference = 0.05;

const emptySummary: BenchSummary = {
  addedP99Ms: undefined,
  forwardedShare: undefined,
  lookupShare: undefined,
  lookupCpuFactor: undefined,
};

/** Runs all measurements, one after another. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const directory = mkdtempSync(join(tmpdir(), 'cuminsill-bench-'));
  const missing = missingDaemons();
  const withDaemons = !options.baselineOnly && missing.length === 0;
  const bench = new Bench(options);
  const loadAtStart = loadavg()[0] ?? 0;
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
    loadAverages: [loadAtStart, loadavg()[0] ?? 0],
    measurements: bench.measurements,
    summary: bench.summary,
    idleMemory: bench.idleMemory,
    skipped,
  };
}

/** What to ask, and the process whose processor time counts. */
interface Subject {
  readonly address: SocketAddress;
  readonly path: string;
  /** Undefined when several processes answer. */
  readonly processId: number | undefined;
}

class Bench {
  readonly measurements: BenchMeasurement[] = [];
  idleMemory: readonly MemoryMeasurement[] = [];
  summary: BenchSummary = emptySummary;

  constructor(private readonly options: BenchOptions) {}

  async measureInstance(instance: BenchInstance): Promise<void> {
    this.idleMemory = await instance.measureMemory();
    const {only} = this.options;
    if (only === undefined) await this.measureGenerator(instance.lookupBody);
    if (only !== 'forwarding') await this.measureLookups(instance);
    if (only !== 'lookups') await this.measureForwarding(instance);
    this.summarise();
  }

  private async measureLookups({lookupBody, entryAddress, entryProcess}: BenchInstance) {
    await this.measureBareServer(lookupBody);
    if (entryAddress === undefined) return;
    await this.saturate('look-ups at one entry', {
      address: entryAddress,
      path: '/v1/lookup?service=bench',
      processId: entryProcess?.processId,
    });
  }

  /** Latencies at 70% of the forwarded rate, both ways, so that their difference is what the entry adds. */
  private async measureForwarding(instance: BenchInstance): Promise<void> {
    const {targetAddress, targetProcess, entryAddress, entryProcess} = instance;
    const direct = {address: targetAddress, path: benchPath, processId: targetProcess.processId};
    const directRate = (await this.saturate('direct to the target, saturated', direct))
      .requestsPerS;
    if (entryAddress === undefined) {
      await this.measure('direct to the target, at 70%', direct, directRate * partialLoadShare);
      return;
    }
    const processId = entryProcess?.processId;
    const forwarded = {address: entryAddress, path: `/svc/bench${benchPath}`, processId};
    const {requestsPerS} = await this.saturate('through one entry, saturated', forwarded);
    const ratePerS = requestsPerS * partialLoadShare;
    if (ratePerS === 0) return;
    await this.measure('direct to the target, at 70%', direct, ratePerS);
    await this.measure('through one entry, at 70%', forwarded, ratePerS);
  }

  private async measureBareServer(body: Buffer): Promise<void> {
    const server = await startBareServer(body);
    const {processId} = server;
    await this.saturate('bare http server', {address: addressOf(server), path: '/', processId});
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
    const name = `generator ceiling (${workers} servers)`;
    this.measurements.push({
      name,
      result,
      cpuMsPerRequest: undefined,
      warmUpRuns: 0,
      settled: false,
    });
    await Promise.all(servers.map(server => server.stop()));
  }

  private saturate(name: string, subject: Subject): Promise<BenchLoadResult> {
    return this.measure(name, subject, undefined);
  }

  /** Measures after short runs until the processor time per answer has settled. */
  private async measure(
    name: string,
    subject: Subject,
    ratePerS: number | undefined,
  ): Promise<BenchLoadResult> {
    const load = {...this.loadOptions(subject.address, subject.path), ratePerS};
    const shortLoad = {...load, warmUpMs: 0, measureMs: warmUpRunMs};
    let before = 0;
    let warmUpRuns = 0;
    let settled = false;
    while (!settled && warmUpRuns < maxWarmUpRuns) {
      const {cpuMsPerRequest} = await this.runOnce(shortLoad, subject.processId);
      settled = Math.abs(cpuMsPerRequest - before) <= settledDifference * before;
      before = cpuMsPerRequest;
      warmUpRuns += 1;
    }
    const {result, cpuMsPerRequest} = await this.runOnce(load, subject.processId);
    this.measurements.push({name, result, cpuMsPerRequest, warmUpRuns, settled});
    return result;
  }

  private async runOnce(load: BenchLoadOptions, processId: number | undefined) {
    const cpuMs = () => (processId === undefined ? 0 : processorTimeMs(processId));
    const beforeMs = cpuMs();
    const result = await runInWorkers(splitLoad(load, this.options.workers));
    return {result, cpuMsPerRequest: (cpuMs() - beforeMs) / Math.max(1, result.answered)};
  }

  private summarise(): void {
    const find = (name: string) => this.measurements.find(entry => entry.name === name);
    const ratio = (a: number | undefined, b: number | undefined) =>
      a === undefined || b === undefined || b === 0 ? undefined : a / b;
    const direct = find('direct to the target, saturated');
    const forwarded = find('through one entry, saturated');
    const bare = find('bare http server');
    const lookups = find('look-ups at one entry');
    const directP99 = find('direct to the target, at 70%')?.result.p99Ms;
    const forwardedP99 = find('through one entry, at 70%')?.result.p99Ms;
    this.summary = {
      addedP99Ms:
        directP99 === undefined || forwardedP99 === undefined
          ? undefined
          : forwardedP99 - directP99,
      forwardedShare: ratio(forwarded?.result.requestsPerS, direct?.result.requestsPerS),
      lookupShare: ratio(lookups?.result.requestsPerS, bare?.result.requestsPerS),
      lookupCpuFactor: ratio(lookups?.cpuMsPerRequest, bare?.cpuMsPerRequest),
    };
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
