import {limitTagValues} from '../src/limit_tag_values';
import type {Metrics, MetricTags} from '../src/metrics';

function recordingMetrics(recordedTags: Array<MetricTags | undefined>): Metrics {
  const record = (_name: string, _value: number, tags?: MetricTags) => void recordedTags.push(tags);
  return {count: record, gauge: record, histogram: record, close: () => undefined};
}

// Guards against unbounded time series when callers invent tenant names.
describe('boundTag', () => {
  it('passes on the first values and replaces all later ones by "other"', () => {
    const recordedTags: Array<MetricTags | undefined> = [];
    const metrics = limitTagValues(recordingMetrics(recordedTags), 'tenant', 2);
    for (const tenant of ['a', 'b', 'c', 'a', 'd']) metrics.count('x', 1, {tenant, code: '1'});
    metrics.histogram('y', 1, {tenant: 'e'});
    metrics.gauge('z', 1, {tenant: 'b'});
    expect(recordedTags.map(tags => tags?.['tenant'])).toEqual([
      'a',
      'b',
      'other',
      'a',
      'other',
      'other',
      'b',
    ]);
    expect(recordedTags[2]).toEqual({tenant: 'other', code: '1'});
  });

  it('does not change metrics without the tag', () => {
    const recordedTags: Array<MetricTags | undefined> = [];
    const metrics = limitTagValues(recordingMetrics(recordedTags), 'tenant', 0);
    metrics.count('x', 1);
    metrics.count('x', 1, {code: '1'});
    expect(recordedTags).toEqual([undefined, {code: '1'}]);
  });
});
