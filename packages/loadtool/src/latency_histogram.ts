/** HDR histogram of latencies, with microsecond resolution and three significant digits. */
import {build} from 'hdr-histogram-js';

/** Count, percentiles and maximum of recorded latencies. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const maxMicroseconds = 3_600_000_000; // one hour, longer than any deadline

/** Records latencies and returns their percentiles. */
export class LatencyHistogram {
  private readonly histogram = build({
    bitBucketSize: 64,
    autoResize: false,
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxMicroseconds,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });

  /** Records one latency; it is limited to the range from 1 us to one hour. */
  record(latencyMs: number): void {
    const microseconds = Math.round(latencyMs * 1000);
    this.histogram.recordValue(Math.min(Math.max(microseconds, 1), maxMicroseconds));
  }

  /** Number of recorded latencies. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** Returns a percentile, given as a number from 0 to 100; 0 when nothing was recorded. */
  percentileMs(percentile: number): number {
    return this.count === 0 ? 0 : this.histogram.getValueAtPercentile(percentile) / 1000;
  }
}

/** Summarizes the latencies in a histogram. */
export function summarizeLatency(histogram: LatencyHistogram): LatencySummary {
  return {
    count: histogram.count,
    p50Ms: histogram.percentileMs(50),
    p99Ms: histogram.percentileMs(99),
    maxMs: histogram.percentileMs(100),
  };
}
