import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {findingsText, replayTrace} from '../src/replay/replay_trace';
import type {ScenarioKind} from '../src/replay/scenario';
import {scenarioKinds} from '../src/replay/scenario_kinds';
import {parseTrace} from '../src/replay/trace_file';

const traces = join(__dirname, '../../../examples/traces');
const header = '{"trace":1,"kind":"clock","description":"test"}';
const clockKind: ScenarioKind = (_header, time) => {
  const startMs = time.monotonicMs();
  const seenMs: number[] = [];
  return {
    apply: async () => void seenMs.push(time.monotonicMs() - startMs),
    observe: async () => seenMs,
  };
};

describe('replayTrace', () => {
  it.each(readdirSync(traces))('finds no difference in %s', async file => {
    const trace = parseTrace(file, readFileSync(join(traces, file), 'utf8'));
    const findings = await replayTrace(trace, scenarioKinds);
    expect(findings.length).toBeGreaterThan(0);
    expect(findings.filter(finding => !finding.matches)).toEqual([]);
  });

  // Guards against a replay that passes whatever happens, or on a clock that does not follow the trace.
  it('moves the clock to each line and reports differences', async () => {
    const lines = [
      header,
      '{"atMs":5,"event":"x"}',
      '{"atMs":9,"event":"x"}',
      '{"atMs":9,"expect":"seen","value":[5,9]}',
      '{"atMs":9,"expect":"seen","of":"y","value":[5]}',
    ];
    const findings = await replayTrace(parseTrace('t', lines.join('\n')), {clock: clockKind});
    expect(findingsText(findings).split('\n')).toEqual([
      'same  line 4, seen: [5,9]',
      'DIFF  line 5, seen of y: expected [5], actual [5,9]',
      '2 expectations, 1 differences',
      '',
    ]);
  });

  it('refuses a kind that is not registered', async () => {
    const trace = parseTrace('t', header);
    await expect(replayTrace(trace, scenarioKinds)).rejects.toThrow('use one of store-log');
  });
});

describe('parseTrace', () => {
  it.each([
    ['', 'header'],
    ['{"trace":2,"kind":"clock","description":""}', 'trace'],
    [`${header}\n{"atMs":5,"event":"x"}\n{"atMs":4,"event":"x"}`, 'line 3'],
    [`${header}\n{"atMs":5}`, 'line 2'],
    [`${header}\nnot json`, 'one JSON object a line'],
  ])('refuses %j', (text, expectedMessage) => {
    expect(() => parseTrace('t', text)).toThrow(expectedMessage);
  });
});
