/**
 * Jest keeps every value that is assigned to a global. Effect assigns each fiber that runs, so traces of hours
 * would fill the heap without this setting.
 *
 * @jest-environment-options {"globalsCleanup": "off"}
 */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {findingsText, replayTrace} from '../src/replay/replay_trace';
import type {ScenarioKind} from '../src/replay/scenario';
import {scenarioKinds} from '../src/replay/scenario_kinds';
import {parseTrace} from '../src/replay/trace_file';

const traces = join(__dirname, '../../../examples/traces');
// A trace of an hour takes some seconds of CPU time.
jest.setTimeout(120_000);

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

  // Guards against a bound that is met by any value, or by a value that is no number.
  it.each([
    [2, {atMost: 2}, true],
    [2, {atMost: 1.9}, false],
    [2, {atLeast: 2}, true],
    [2, {atLeast: 2.1}, false],
    [null, {atMost: 2}, false],
    [{atMost: 2}, {atMost: 2, atLeast: 1}, false],
  ])('compares %j with %j', async (actual, value, matches) => {
    const kind: ScenarioKind = () => ({apply: async () => undefined, observe: async () => actual});
    const lines = [header, JSON.stringify({atMs: 0, expect: 'x', value})];
    const findings = await replayTrace(parseTrace('t', lines.join('\n')), {clock: kind});
    expect(findings.map(finding => finding.matches)).toEqual([matches]);
  });

  it('refuses a kind that is not registered', async () => {
    const trace = parseTrace('t', header);
    const known = `use one of ${Object.keys(scenarioKinds).join(', ')}`;
    await expect(replayTrace(trace, scenarioKinds)).rejects.toThrow(known);
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
