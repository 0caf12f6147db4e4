/** Report of a load: latency per traffic class and number of requests per result. */
import type {Catalog, TrafficClass} from '@cuminsill/types';
import {resultCodeByNumber, trafficClasses} from '@cuminsill/types';
import {summarizeLatency, LatencyHistogram} from './latency_histogram';
import type {LatencySummary} from './latency_histogram';
import type {LoadResult, LoadSample} from './run_load';
import {formatTextTable} from './text_table';

/** Latency of the answered requests of one traffic class. */
export interface ClassReport extends LatencySummary {
  readonly trafficClass: TrafficClass;
}

/** Number of requests with one result. */
export interface ResultCount {
  /** Numbered result code; 0 when the answer has none. */
  readonly code: number;
  /** Name of the result code; without one, the HTTP status or how the request ended. */
  readonly name: string;
  readonly count: number;
}

/** Report of one load run. */
export interface LoadReport {
  readonly durationS: number;
  readonly requests: number;
  readonly requestsPerS: number;
  /** Requests that were not sent, because too many were in flight. */
  readonly notSent: number;
  /** Answers that were truncated or belong to another request. */
  readonly notWhole: number;
  readonly classes: readonly ClassReport[];
  readonly results: readonly ResultCount[];
}

/** Makes the report of a load. Latencies include only answered requests. */
export function makeLoadReport(result: LoadResult, catalog: Catalog): LoadReport {
  const {samples} = result;
  const durationS = result.durationMs / 1000;
  return {
    durationS,
    requests: samples.length,
    requestsPerS: samples.length / durationS,
    notSent: result.notSent,
    notWhole: samples.filter(sample => !sample.result.isIntact).length,
    classes: trafficClasses.map(trafficClass => makeClassReport(trafficClass, samples, catalog)),
    results: countResults(samples),
  };
}

/** Formats the report as a summary line and tables. */
export function formatLoadReport(report: LoadReport): string {
  const classes = formatTextTable(
    ['CLASS', 'ANSWERED', 'P50 MS', 'P99 MS', 'MAX MS'],
    report.classes.map(entry => [
      entry.trafficClass,
      String(entry.count),
      entry.p50Ms.toFixed(1),
      entry.p99Ms.toFixed(1),
      entry.maxMs.toFixed(1),
    ]),
  );
  const results = formatTextTable(
    ['CODE', 'RESULT', 'COUNT'],
    report.results.map(entry => [String(entry.code), entry.name, String(entry.count)]),
  );
  const summary =
    `${report.requests} requests in ${report.durationS.toFixed(1)} s ` +
    `(${report.requestsPerS.toFixed(1)}/s), ${report.notSent} not sent, ` +
    `${report.notWhole} answers truncated or wrong\n`;
  return [summary, classes, results].join('\n');
}

function makeClassReport(
  trafficClass: TrafficClass,
  samples: readonly LoadSample[],
  catalog: Catalog,
): ClassReport {
  const serviceIds = new Set(
    catalog.services
      .filter(service => service.trafficClass === trafficClass)
      .map(service => service.id),
  );
  const histogram = new LatencyHistogram();
  for (const sample of samples) {
    const isCounted = sample.result.kind === 'answered' && serviceIds.has(sample.serviceId);
    if (isCounted) histogram.record(sample.latencyMs);
  }
  return {trafficClass, ...summarizeLatency(histogram)};
}

function countResults(samples: readonly LoadSample[]): readonly ResultCount[] {
  const counts = new Map<string, ResultCount>();
  for (const {result} of samples) {
    const name =
      resultCodeByNumber(result.code)?.name ??
      (result.kind === 'answered' ? `status-${result.status}` : result.kind);
    const previous = counts.get(name);
    counts.set(name, {code: result.code, name, count: (previous?.count ?? 0) + 1});
  }
  return [...counts.values()].sort((a, b) => b.count - a.count || (a.name < b.name ? -1 : 1));
}
