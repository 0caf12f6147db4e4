/**
 * Counters, gauges and histograms over StatsD. Values are buffered in the process and sent over UDP every
 * `flushIntervalMs`, so an unavailable receiver does not slow down requests. `docs/metrics.md` lists the metrics.
 */
import {StatsD} from 'hot-shots';

/** Tags of a metric, for example service, class, tenant or result code. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records counters, gauges and histograms. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, amount: number, tags?: MetricTags): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records one value in a histogram; durations are in milliseconds. */
  histogram(name: string, value: number, tags?: MetricTags): void;
  /** Sends buffered values and closes the socket. */
  close(): void;
}

/** Where and how often metrics are sent. */
export interface MetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly flushIntervalMs: number;
  readonly instanceId: string;
}

/** Creates metrics that are sent to a StatsD receiver. */
export function createMetrics(options: MetricsOptions): Metrics {
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: 'cuminsill.',
    globalTags: {instance: options.instanceId},
    maxBufferSize: 1400,
    bufferFlushInterval: options.flushIntervalMs,
    cacheDns: true,
    // Without a handler, an unreachable receiver would cause an uncaught error.
    errorHandler: () => undefined,
  });
  return {
    count: (name, amount, tags) => client.increment(name, amount, tags ?? {}),
    gauge: (name, value, tags) => client.gauge(name, value, tags ?? {}),
    histogram: (name, value, tags) => client.histogram(name, value, tags ?? {}),
    close: () => client.close(() => undefined),
  };
}

/** Metrics that discard all values. */
export const silentMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  histogram: () => undefined,
  close: () => undefined,
};
