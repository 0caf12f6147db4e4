import {boundTag} from '../src/bounded_tag';
import type {Metrics, MetricTags} from '../src/metrics';

function recordingMetrics(seen: Array<MetricTags | undefined>): Metrics {
  const record = (_name: string, _value: number, tags?: MetricTags) => void seen.push(tags);
  return {count: record, gauge: record, histogram: record, close: () => undefined};
}

// Guards against callers that make up tenant names and so any number of series.
describe('boundTag', () => {
  it('passes on the first values and counts the others together', () => {
    const seen: Array<MetricTags | undefined> = [];
    const metrics = boundTag(recordingMetrics(seen), 'tenant', 2);
    for (const tenant of ['a', 'b', 'c', 'a', 'd']) metrics.count('x', 1, {tenant, code: '1'});
    metrics.histogram('y', 1, {tenant: 'e'});
    metrics.gauge('z', 1, {tenant: 'b'});
    expect(seen.map(tags => tags?.['tenant'])).toEqual([
      'a',
      'b',
      'other',
      'a',
      'other',
      'other',
      'b',
    ]);
    expect(seen[2]).toEqual({tenant: 'other', code: '1'});
  });

  it('leaves metrics without the tag alone', () => {
    const seen: Array<MetricTags | undefined> = [];
    const metrics = boundTag(recordingMetrics(seen), 'tenant', 0);
    metrics.count('x', 1);
    metrics.count('x', 1, {code: '1'});
    expect(seen).toEqual([undefined, {code: '1'}]);
  });
});
