/** Results of the benchmark and their text form. */
import type {BenchLoadResult} from './bench_load';
import type {MemoryMeasurement} from './bench_process_usage';
import {formatTextTable} from './text_table';

/** One measurement. */
export interface BenchMeasurement {
  readonly name: string;
  readonly result: BenchLoadResult;
  /** CPU time of the measured process per answer; undefined when there are several processes. */
  readonly cpuMsPerRequest: number | undefined;
  /** Number of short runs before the measurement, which end when the CPU time per answer has settled. */
  readonly warmUpRuns: number;
  /** False when the CPU time per answer was still changing at the end of the warm-up. */
  readonly settled: boolean;
}

/** Figures that have performance goals; undefined when one of their measurements is missing. */
export interface BenchSummary {
  /** 99th percentile through the entry at 70% load minus that of direct requests at the same rate. */
  readonly addedP99Ms: number | undefined;
  /** Saturated throughput through the entry divided by that of direct requests. */
  readonly forwardedShare: number | undefined;
  /** Saturated look-up throughput of the entry divided by the throughput of the bare server. */
  readonly lookupShare: number | undefined;
  /** CPU time of a look-up divided by that of an answer of the bare server. */
  readonly lookupCpuFactor: number | undefined;
}

/** All results of one benchmark run. */
export interface BenchReport {
  readonly nodeVersion: string;
  readonly seed: number;
  readonly workers: number;
  /** One-minute load averages of the machine at the start and at the end of the run. */
  readonly loadAverages: readonly number[];
  readonly measurements: readonly BenchMeasurement[];
  readonly summary: BenchSummary;
  readonly idleMemory: readonly MemoryMeasurement[];
  /** Parts that were not measured, with the reason. */
  readonly skipped: readonly string[];
}

/** Formats the report as tables. */
export function formatBenchReport(report: BenchReport): string {
  const measurements = formatTextTable(
    ['MEASUREMENT', 'REQUESTS/S', 'CPU MS/REQUEST', 'P50 MS', 'P99 MS', 'FAILED', 'SETTLED'],
    report.measurements.map(({name, result, cpuMsPerRequest, settled}) => [
      name,
      result.requestsPerS.toFixed(0),
      cpuMsPerRequest?.toFixed(4) ?? '-',
      result.p50Ms.toFixed(3),
      result.p99Ms.toFixed(3),
      String(result.failed),
      settled ? 'yes' : 'no',
    ]),
  );
  const summary = formatTextTable(
    ['FIGURE', 'VALUE'],
    Object.entries(report.summary as unknown as Record<string, number | undefined>).map(
      ([name, value]) => [name, value?.toFixed(3) ?? '-'],
    ),
  );
  const memory = formatTextTable(
    ['PROCESS', 'RESIDENT WHEN IDLE', 'HEAP USED', 'HEAP SIZE'],
    report.idleMemory.map(({name, residentBytes, heapUsedBytes, heapTotalBytes}) => [
      name,
      formatMebibytes(residentBytes),
      formatMebibytes(heapUsedBytes),
      formatMebibytes(heapTotalBytes),
    ]),
  );
  const skipped = report.skipped.map(reason => `skipped: ${reason}\n`).join('');
  return [measurements, summary, report.idleMemory.length > 0 ? memory : '', skipped]
    .filter(text => text !== '')
    .join('\n');
}

function formatMebibytes(bytes: number): string {
  return `${(bytes / 2 ** 20).toFixed(1)} MiB`;
}
