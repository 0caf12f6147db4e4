/** Summary of a load: latency per traffic class and counts per result. */
import type {Catalog, TrafficClass} from '@cuminsill/types';
import {resultCodeByNumber, trafficClasses} from '@cuminsill/types';
import {latencySummary, LatencyHistogram} from './latency_histogram';
import type {LatencySummary} from './latency_histogram';
import type {LoadOutcome, LoadSample} from './load_run';
import {formatTextTable} from './text_table';

/** Latency of one traffic class. */
export interface ClassReport extends LatencySummary {
  readonly trafficClass: TrafficClass;
}

/** Number of requests with one result. */
export interface ResultCount {
  /** Result code; 0 when there is none. */
  readonly code: number;
  /** Name of the code, or how the request ended. */
  readonly name: string;
  readonly count: number;
}

/** Report of one load. */
export interface LoadReport {
  readonly durationS: number;
  readonly requests: number;
  readonly requestsPerS: number;
  readonly notSent: number;
  /** Answers that were cut off or belong to another request. */
  readonly notWhole: number;
  readonly classes: readonly ClassReport[];
  readonly results: readonly ResultCount[];
}

/** Summarises a load. Latency counts only answered requests. */
export function makeLoadReport(outcome: LoadOutcome, catalog: Catalog): LoadReport {
  const {samples} = outcome;
  const durationS = outcome.durationMs / 1000;
  return {
    durationS,
    requests: samples.length,
    requestsPerS: samples.length / durationS,
    notSent: outcome.notSent,
    notWhole: samples.filter(sample => !sample.result.whole).length,
    classes: trafficClasses.map(trafficClass => classReport(trafficClass, samples, catalog)),
    results: countResults(samples),
  };
}

/** The report as tables. */
export function loadReportText(report: LoadReport): string {
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
  const total =
    `${report.requests} requests in ${report.durationS.toFixed(1)} s ` +
    `(${report.requestsPerS.toFixed(1)}/s), ${report.notSent} not sent, ` +
    `${report.notWhole} answers not whole\n`;
  return [total, classes, results].join('\n');
}

function classReport(
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
    const counts = sample.result.kind === 'answered' && serviceIds.has(sample.serviceId);
    if (counts) histogram.record(sample.latencyMs);
  }
  return {trafficClass, ...latencySummary(histogram)};
}

function countResults(samples: readonly LoadSample[]): readonly ResultCount[] {
  const counts = new Map<string, ResultCount>();
  for (const {result} of samples) {
    const name =
      resultCodeByNumber(result.code)?.name ??
      (result.kind === 'answered' ? `status-${result.status}` : result.kind);
    const known = counts.get(name);
    counts.set(name, {code: result.code, name, count: (known?.count ?? 0) + 1});
  }
  return [...counts.values()].sort((a, b) => b.count - a.count || (a.name < b.name ? -1 : 1));
}
