/** Bounds the number of values of a tag whose values come from callers. */
import type {Metrics, MetricTags} from './metrics';

/** Value of the tag once the bound is reached. */
export const otherTagValue = 'other';

/**
 * Metrics that pass on the first `maxValues` values of one tag and count all later ones as `other`, so that
 * callers cannot make a receiver keep any number of series.
 */
export function boundTag(metrics: Metrics, tag: string, maxValues: number): Metrics {
  const known = new Set<string>();
  const bounded = (tags: MetricTags | undefined): MetricTags | undefined => {
    const value = tags?.[tag];
    if (value === undefined || known.has(value)) return tags;
    if (known.size >= maxValues) return {...tags, [tag]: otherTagValue};
    known.add(value);
    return tags;
  };
  return {
    count: (name, amount, tags) => metrics.count(name, amount, bounded(tags)),
    gauge: (name, value, tags) => metrics.gauge(name, value, bounded(tags)),
    histogram: (name, value, tags) => metrics.histogram(name, value, bounded(tags)),
    close: () => metrics.close(),
  };
}
