/** Results of the bench and their text form. */
import type {BenchLoadResult} from './bench_load';
import {formatTextTable} from './text_table';

/** One measured line. */
export interface BenchMeasurement {
  readonly name: string;
  readonly result: BenchLoadResult;
}

/** Resident memory of one process. */
export interface MemoryMeasurement {
  readonly name: string;
  readonly residentBytes: number;
}

/** All results. */
export interface BenchReport {
  readonly nodeVersion: string;
  readonly seed: number;
  readonly workers: number;
  readonly measurements: readonly BenchMeasurement[];
  readonly idleMemory: readonly MemoryMeasurement[];
  /** Parts that were not measured, with the reason. */
  readonly skipped: readonly string[];
}

/** The report as tables. */
export function benchReportText(report: BenchReport): string {
  const loads = formatTextTable(
    ['MEASUREMENT', 'REQUESTS/S', 'P50 MS', 'P99 MS', 'FAILED'],
    report.measurements.map(({name, result}) => [
      name,
      result.requestsPerS.toFixed(0),
      result.p50Ms.toFixed(3),
      result.p99Ms.toFixed(3),
      String(result.failed),
    ]),
  );
  const memory = formatTextTable(
    ['PROCESS', 'RESIDENT WHEN IDLE'],
    report.idleMemory.map(({name, residentBytes}) => [
      name,
      `${(residentBytes / 2 ** 20).toFixed(1)} MiB`,
    ]),
  );
  const skipped = report.skipped.map(reason => `skipped: ${reason}\n`).join('');
  return [loads, report.idleMemory.length > 0 ? memory : '', skipped]
    .filter(text => text !== '')
    .join('\n');
}
