/** Latency histograms with microsecond resolution and three significant digits. */
import {build} from 'hdr-histogram-js';

/** Figures of one histogram. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const maxMicroseconds = 3_600_000_000; // one hour, longer than any deadline

/** Records latencies. */
export class LatencyHistogram {
  private readonly histogram = build({
    bitBucketSize: 64,
    autoResize: false,
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxMicroseconds,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });

  /** Records one latency in milliseconds. */
  record(latencyMs: number): void {
    const microseconds = Math.round(latencyMs * 1000);
    this.histogram.recordValue(Math.min(Math.max(microseconds, 1), maxMicroseconds));
  }

  /** Number of latencies recorded. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** Latency in milliseconds that a share of the requests, in percent, does not exceed. */
  percentileMs(percentile: number): number {
    return this.count === 0 ? 0 : this.histogram.getValueAtPercentile(percentile) / 1000;
  }
}

/** Figures of a histogram. */
export function latencySummary(histogram: LatencyHistogram): LatencySummary {
  return {
    count: histogram.count,
    p50Ms: histogram.percentileMs(50),
    p99Ms: histogram.percentileMs(99),
    maxMs: histogram.percentileMs(100),
  };
}
