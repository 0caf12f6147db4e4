/** The reasons that a log gives for refused, failed and late requests, and the counts over many lines. */
import type {LossReason} from '../src/logs/loss_reasons';
import {lossOf} from '../src/logs/loss_reasons';
import {LossCollector} from '../src/logs/loss_report';

interface LossCase {
  readonly reason: LossReason | undefined;
  readonly line: Readonly<Record<string, unknown>>;
}

const late = {outcome: 'relayed', status: 200, elapsedMs: 300, targetLatencyMs: 250};

function answered(isHeld: boolean, elapsedMs = 295): readonly object[] {
  return [{targetId: 't', end: 'answered', elapsedMs, isHeld}];
}

const cases: readonly LossCase[] = [
  {reason: undefined, line: {...late, elapsedMs: 240, tries: answered(true, 235)}},
  {reason: undefined, line: {outcome: 'no-route', status: 404}},
  {reason: 'cache-miss', line: {...late, tries: answered(false)}},
  {reason: 'queued', line: {...late, waitMs: 60, tries: answered(true)}},
  {reason: 'target-slow', line: {...late, waitMs: 0, tries: answered(true)}},
  {reason: 'gateway-slow', line: {...late, tries: answered(true, 80)}},
  {reason: 'answer-lost', line: {...late, tries: [{end: 'lost'}, ...answered(true)]}},
  {reason: 'no-connection', line: {...late, tries: [{end: 'unsent'}, ...answered(true)]}},
  {reason: 'unexplained', line: {...late, tries: 'none'}},
  {reason: 'refused-wait', line: {outcome: 'overloaded', status: 503, refusedFor: 'wait'}},
  {reason: 'unexplained', line: {outcome: 'overloaded', status: 503}},
  {reason: 'gateway-starting', line: {outcome: 'no-configuration', status: 503}},
  {reason: 'answer-lost', line: {outcome: 'outcome-unknown', status: 502}},
  {reason: 'target-timed-out', line: {outcome: 'target-timed-out', status: 504}},
  {reason: 'target-failed', line: {...late, status: 500}},
  {reason: 'caller-left', line: {outcome: 'caller-gone', status: 0}},
  {reason: 'unexplained', line: {outcome: 'of a later build', status: 503}},
];

test.each(cases)('$line.outcome counts as $reason', ({reason, line}) => {
  expect(lossOf(line)?.reason).toBe(reason);
});

describe('the report', () => {
  const time = (second: number) => `2026-12-04T00:00:${String(second).padStart(2, '0')}.500Z`;
  const request = (second: number, changes: object) =>
    JSON.stringify({line: 'request', gateway: 'g-1', service: 's', time: time(second), ...changes});
  const served = {outcome: 'relayed', status: 200, elapsedMs: 80, targetLatencyMs: 250};
  const refused = {outcome: 'overloaded', status: 503, refusedFor: 'wait'};

  function collect(lines: readonly string[]): LossCollector {
    const collector = new LossCollector(2_000);
    for (const line of lines) collector.addLine(line);
    return collector;
  }

  test('names the worst window first, with what else happened in it', () => {
    const calm = Array.from({length: 20}, () => request(1, served));
    const bad = Array.from({length: 20}, (_, index) => request(5, index < 5 ? refused : served));
    const event = JSON.stringify({line: 'target', time: time(4)});
    const {worstWindows, total} = collect([...calm, ...bad, event]).report();
    expect(total).toEqual({requests: 40, byKind: {refused: 5}, byReason: {'refused-wait': 5}});
    expect(worstWindows.map(({from, events}) => [from, events])).toEqual([
      ['2026-12-04T00:00:04.000Z', {target: 1}],
    ]);
  });

  /** Guards against logs that end in the middle of a line, have text before their lines, or are of another program. */
  test('counts lines that it cannot read, and lines that were never written', () => {
    const lines = [
      `12.5 g-1 ${request(1, {...served, suppressedLines: 7})}`,
      request(1, served).slice(0, 40),
      'no log line',
      '{"line":"request"}',
    ];
    const report = collect(lines).report();
    expect([report.total.requests, report.unreadableLines, report.missingLines]).toEqual([1, 2, 7]);
  });
});
