/** Results of the bench and their text form. */
import type {BenchLoadResult} from './bench_load';
import type {MemoryMeasurement} from './bench_processes';
import {formatTextTable} from './text_table';

/** One measured line. */
export interface BenchMeasurement {
  readonly name: string;
  readonly result: BenchLoadResult;
  /** Processor time of the measured process per answer, in milliseconds; undefined when there are several processes. */
  readonly cpuMsPerRequest: number | undefined;
  /** Short runs before the measurement, until the processor time per answer stayed the same. */
  readonly warmUpRuns: number;
  /** False when the processor time per answer still changed at the end of the warm-up. */
  readonly settled: boolean;
}

/** The figures that the targets name. */
export interface BenchSummary {
  /** p99 at 70% load through the entry minus that of direct requests at the same rate, in milliseconds. */
  readonly addedP99Ms: number | undefined;
  /** Saturated throughput through the entry as a part of the direct one. */
  readonly forwardedShare: number | undefined;
  /** Saturated look-ups of the entry as a part of the bare server's answers. */
  readonly lookupShare: number | undefined;
  /** Processor time of a look-up against an answer of the bare server. */
  readonly lookupCpuFactor: number | undefined;
}

/** All results. */
export interface BenchReport {
  readonly nodeVersion: string;
  readonly seed: number;
  readonly workers: number;
  /** Load average of one minute at the start and at the end of the run. */
  readonly loadAverages: readonly number[];
  readonly measurements: readonly BenchMeasurement[];
  readonly summary: BenchSummary;
  readonly idleMemory: readonly MemoryMeasurement[];
  /** Parts that were not measured, with the reason. */
  readonly skipped: readonly string[];
}

/** The report as tables. */
export function benchReportText(report: BenchReport): string {
  const loads = formatTextTable(
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
      mebibytes(residentBytes),
      mebibytes(heapUsedBytes),
      mebibytes(heapTotalBytes),
    ]),
  );
  const skipped = report.skipped.map(reason => `skipped: ${reason}\n`).join('');
  return [loads, summary, report.idleMemory.length > 0 ? memory : '', skipped]
    .filter(text => text !== '')
    .join('\n');
}

function mebibytes(bytes: number): string {
  return `${(bytes / 2 ** 20).toFixed(1)} MiB`;
}
