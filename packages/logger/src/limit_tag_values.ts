/** Limits the cardinality of a metric tag whose values come from callers. */
import type {Metrics, MetricTags} from './metrics';

/** Tag value that replaces new values once the limit is reached. */
export const otherTagValue = 'other';

/**
 * Wraps metrics so that the first `maxValues` distinct values of one tag are passed on and all later ones become
 * `other`. Callers therefore cannot make a receiver keep an unbounded number of time series.
 */
export function limitTagValues(metrics: Metrics, tag: string, maxValues: number): Metrics {
  const knownValues = new Set<string>();
  const limitTags = (tags: MetricTags | undefined): MetricTags | undefined => {
    const value = tags?.[tag];
    if (value === undefined || knownValues.has(value)) return tags;
    if (knownValues.size >= maxValues) return {...tags, [tag]: otherTagValue};
    knownValues.add(value);
    return tags;
  };
  return {
    count: (name, amount, tags) => metrics.count(name, amount, limitTags(tags)),
    gauge: (name, value, tags) => metrics.gauge(name, value, limitTags(tags)),
    histogram: (name, value, tags) => metrics.histogram(name, value, limitTags(tags)),
    close: () => metrics.close(),
  };
}
