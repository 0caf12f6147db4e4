/**
 * Benchmarks one instance against plain Node http servers:
 *
 * - forwarding through one entry, compared with direct requests to the same stand-in target, both saturated and at 70%
 *   of the forwarded rate;
 * - look-ups at one entry, compared with a bare http server that answers the same bytes;
 * - CPU time per answer of each measured process, because throughput depends on what else the machine runs;
 * - resident memory and heap when idle;
 * - the maximum rate of the load generator, which shows whether the generator is the bottleneck.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {loadavg, tmpdir} from 'node:os';
import {join} from 'node:path';
import type {SocketAddress} from '@cuminsill/types';
import type {BenchLoadOptions, BenchLoadResult} from './bench_load';
import type {MemoryMeasurement} from './bench_process_usage';
import {readCpuTimeMs} from './bench_process_usage';
import type {BenchMeasurement, BenchReport, BenchSummary} from './bench_report';
import {benchTargetPath, makeBenchRequestText, startBenchInstance} from './bench_instance';
import type {BenchInstance} from './bench_instance';
import {runInWorkers, splitLoad} from './run_in_workers';
import {ManagedProcess} from './managed_process';
import {findUnbuiltDaemons} from './daemon_settings';

/** A part of the benchmark that can be run alone. */
export type BenchPart = 'lookups' | 'forwarding';

/** Options of the benchmark. */
export interface BenchOptions {
  readonly seed: number;
  /** Threads of the load generator. */
  readonly workers: number;
  /** Connections of all threads together. */
  readonly connections: number;
  /** Warm-up at the start of each measurement, not counted. */
  readonly warmUpMs: number;
  /** Length of each measurement after its warm-up. */
  readonly measureMs: number;
  /** Skips the measurements that need the entry and control processes. */
  readonly baselineOnly: boolean;
  /** Measures only this part; all parts when undefined. */
  readonly onlyPart: BenchPart | undefined;
}

const partialLoadFraction = 0.7;
const warmUpRunMs = 1000;
/** Keeps the whole benchmark within about a minute and a half. */
const maxWarmUpRuns = 6;
/**
 * CPU time per answer has settled when two consecutive runs differ by at most this fraction. The kernel counts CPU time
 * in ticks of 1% of a warm-up run.
 */
const maxSettledChangeFraction = 0.05;

const emptySummary: BenchSummary = {
  addedP99Ms: undefined,
  forwardedShare: undefined,
  lookupShare: undefined,
  lookupCpuFactor: undefined,
};

/** Runs all measurements, one after another. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const directory = mkdtempSync(join(tmpdir(), 'cuminsill-bench-'));
  const unbuiltDaemons = findUnbuiltDaemons();
  const startsDaemons = !options.baselineOnly && unbuiltDaemons.length === 0;
  const runner = new BenchRunner(options);
  const loadAverageAtStart = loadavg()[0] ?? 0;
  try {
    const instance = await startBenchInstance(directory, startsDaemons);
    try {
      await runner.measureInstance(instance);
    } finally {
      await instance.stop();
    }
  } finally {
    rmSync(directory, {recursive: true});
  }
  const reason = options.baselineOnly ? 'only the baseline was asked for' : 'not built';
  const skipped = startsDaemons
    ? []
    : [
        `entry and control: ${reason}${unbuiltDaemons.length > 0 ? ` (${unbuiltDaemons.join(', ')})` : ''}`,
      ];
  return {
    nodeVersion: process.version,
    seed: options.seed,
    workers: options.workers,
    loadAverages: [loadAverageAtStart, loadavg()[0] ?? 0],
    measurements: runner.measurements,
    summary: runner.summary,
    idleMemory: runner.idleMemory,
    skipped,
  };
}

/** A server to send requests to, and the process whose CPU time is measured. */
interface MeasuredServer {
  readonly address: SocketAddress;
  readonly path: string;
  /** Undefined when no single process answers; CPU time then counts as 0. */
  readonly processId: number | undefined;
}

class BenchRunner {
  readonly measurements: BenchMeasurement[] = [];
  idleMemory: readonly MemoryMeasurement[] = [];
  summary: BenchSummary = emptySummary;

  constructor(private readonly options: BenchOptions) {}

  async measureInstance(instance: BenchInstance): Promise<void> {
    this.idleMemory = await instance.measureMemory();
    const {onlyPart} = this.options;
    if (onlyPart === undefined) await this.measureGeneratorCeiling(instance.lookupBody);
    if (onlyPart !== 'forwarding') await this.measureLookups(instance);
    if (onlyPart !== 'lookups') await this.measureForwarding(instance);
    this.computeSummary();
  }

  private async measureLookups({lookupBody, entryAddress, entryProcess}: BenchInstance) {
    await this.measureBareServer(lookupBody);
    if (entryAddress === undefined) return;
    await this.measureSaturated('look-ups at one entry', {
      address: entryAddress,
      path: '/v1/lookup?service=bench',
      processId: entryProcess?.processId,
    });
  }

  /**
   * Measures latency both directly and through the entry at 70% of the forwarded rate, so that the difference is what
   * the entry adds.
   */
  private async measureForwarding(instance: BenchInstance): Promise<void> {
    const {targetAddress, targetProcess, entryAddress, entryProcess} = instance;
    const direct = {
      address: targetAddress,
      path: benchTargetPath,
      processId: targetProcess.processId,
    };
    const directRatePerS = (await this.measureSaturated('direct to the target, saturated', direct))
      .requestsPerS;
    if (entryAddress === undefined) {
      await this.measure(
        'direct to the target, at 70%',
        direct,
        directRatePerS * partialLoadFraction,
      );
      return;
    }
    const processId = entryProcess?.processId;
    const forwarded = {address: entryAddress, path: `/svc/bench${benchTargetPath}`, processId};
    const {requestsPerS} = await this.measureSaturated('through one entry, saturated', forwarded);
    const ratePerS = requestsPerS * partialLoadFraction;
    if (ratePerS === 0) return;
    await this.measure('direct to the target, at 70%', direct, ratePerS);
    await this.measure('through one entry, at 70%', forwarded, ratePerS);
  }

  private async measureBareServer(body: Buffer): Promise<void> {
    const server = await startBareServer(body);
    const {processId} = server;
    await this.measureSaturated('bare http server', {
      address: listeningAddress(server),
      path: '/',
      processId,
    });
    await server.stop();
  }

  /** Measures the maximum rate of the generator with one bare server per worker, so that no server limits it. */
  private async measureGeneratorCeiling(body: Buffer): Promise<void> {
    const {workers} = this.options;
    const servers = await Promise.all(Array.from({length: workers}, () => startBareServer(body)));
    const [load] = splitLoad(this.makeLoadOptions(listeningAddress(servers[0]), '/'), workers);
    const loads = servers.map(server => ({
      ...(load as BenchLoadOptions),
      address: listeningAddress(server),
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

  private measureSaturated(name: string, server: MeasuredServer): Promise<BenchLoadResult> {
    return this.measure(name, server, undefined);
  }

  /** Repeats short warm-up runs until the CPU time per answer has settled, then measures. */
  private async measure(
    name: string,
    server: MeasuredServer,
    ratePerS: number | undefined,
  ): Promise<BenchLoadResult> {
    const load = {...this.makeLoadOptions(server.address, server.path), ratePerS};
    const shortLoad = {...load, warmUpMs: 0, measureMs: warmUpRunMs};
    let previousCpuMsPerRequest = 0;
    let warmUpRuns = 0;
    let settled = false;
    while (!settled && warmUpRuns < maxWarmUpRuns) {
      const {cpuMsPerRequest} = await this.runLoadOnce(shortLoad, server.processId);
      settled =
        Math.abs(cpuMsPerRequest - previousCpuMsPerRequest) <=
        maxSettledChangeFraction * previousCpuMsPerRequest;
      previousCpuMsPerRequest = cpuMsPerRequest;
      warmUpRuns += 1;
    }
    const {result, cpuMsPerRequest} = await this.runLoadOnce(load, server.processId);
    this.measurements.push({name, result, cpuMsPerRequest, warmUpRuns, settled});
    return result;
  }

  private async runLoadOnce(load: BenchLoadOptions, processId: number | undefined) {
    const readCpuMs = () => (processId === undefined ? 0 : readCpuTimeMs(processId));
    const beforeMs = readCpuMs();
    const result = await runInWorkers(splitLoad(load, this.options.workers));
    return {result, cpuMsPerRequest: (readCpuMs() - beforeMs) / Math.max(1, result.answered)};
  }

  private computeSummary(): void {
    const findMeasurement = (name: string) => this.measurements.find(entry => entry.name === name);
    const divide = (numerator: number | undefined, denominator: number | undefined) =>
      numerator === undefined || denominator === undefined || denominator === 0
        ? undefined
        : numerator / denominator;
    const direct = findMeasurement('direct to the target, saturated');
    const forwarded = findMeasurement('through one entry, saturated');
    const bare = findMeasurement('bare http server');
    const lookups = findMeasurement('look-ups at one entry');
    const directP99Ms = findMeasurement('direct to the target, at 70%')?.result.p99Ms;
    const forwardedP99Ms = findMeasurement('through one entry, at 70%')?.result.p99Ms;
    this.summary = {
      addedP99Ms:
        directP99Ms === undefined || forwardedP99Ms === undefined
          ? undefined
          : forwardedP99Ms - directP99Ms,
      forwardedShare: divide(forwarded?.result.requestsPerS, direct?.result.requestsPerS),
      lookupShare: divide(lookups?.result.requestsPerS, bare?.result.requestsPerS),
      lookupCpuFactor: divide(lookups?.cpuMsPerRequest, bare?.cpuMsPerRequest),
    };
  }

  private makeLoadOptions(address: SocketAddress, path: string): BenchLoadOptions {
    const {connections, seed, warmUpMs, measureMs} = this.options;
    const requestText = makeBenchRequestText(path);
    return {address, requestText, connections, seed, warmUpMs, measureMs};
  }
}

function startBareServer(body: Buffer): Promise<ManagedProcess> {
  const file = join(__dirname, 'bin/bare_server.js');
  return ManagedProcess.start({name: 'bare server', file, args: [body.toString('base64')]});
}

function listeningAddress(server: ManagedProcess | undefined): SocketAddress {
  return server?.readyMessage['address'] as SocketAddress;
}
