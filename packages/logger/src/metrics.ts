/**
 * Counters and histograms over StatsD. Values are summed in the process and sent every `flushIntervalMs`, over
 * UDP, so a receiver that is down costs nothing on the request path. The table of names is `docs/metrics.md`.
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
  /** Sends what is left and releases the socket. */
  close(): void;
}

/** Settings of the metrics. */
export interface MetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly flushIntervalMs: number;
  readonly instanceId: string;
}

/** Makes metrics that go to a StatsD receiver. */
export function createMetrics(options: MetricsOptions): Metrics {
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: 'cuminsill.',
    globalTags: {instance: options.instanceId},
    maxBufferSize: 1400,
    bufferFlushInterval: options.flushIntervalMs,
    cacheDns: true,
    // Without a handler an unreachable receiver would raise an uncaught error.
    errorHandler: () => undefined,
  });
  return {
    count: (name, amount, tags) => client.increment(name, amount, tags ?? {}),
    gauge: (name, value, tags) => client.gauge(name, value, tags ?? {}),
    histogram: (name, value, tags) => client.histogram(name, value, tags ?? {}),
    close: () => client.close(() => undefined),
  };
}

/** Metrics that go nowhere. */
export const silentMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  histogram: () => undefined,
  close: () => undefined,
};
