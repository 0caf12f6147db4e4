/**
 * Jest retains every value that is assigned to a global, and Effect assigns each running fiber to one. Without this
 * setting, traces of several hours would exhaust the heap.
 *
 * @jest-environment-options {"globalsCleanup": "off"}
 */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {formatResults, replayTrace} from '../src/replay/replay_trace';
import type {ScenarioFactory} from '../src/replay/scenario';
import {scenarioFactories} from '../src/replay/scenario_factories';
import {parseTrace} from '../src/replay/trace_file';

const tracesDirectory = join(__dirname, '../../../examples/traces');
// A trace of an hour takes several seconds of CPU time.
jest.setTimeout(120_000);

const header = '{"trace":1,"kind":"clock","description":"test"}';
const startClockScenario: ScenarioFactory = (_header, time) => {
  const startMs = time.monotonicMs();
  const seenMs: number[] = [];
  return {
    apply: async () => void seenMs.push(time.monotonicMs() - startMs),
    observe: async () => seenMs,
  };
};

describe('replayTrace', () => {
  it.each(readdirSync(tracesDirectory))('finds no differences in %s', async file => {
    const trace = parseTrace(file, readFileSync(join(tracesDirectory, file), 'utf8'));
    const results = await replayTrace(trace, scenarioFactories);
    expect(results.length).toBeGreaterThan(0);
    expect(results.filter(result => !result.matches)).toEqual([]);
  });

  // Guards against a replay that always passes, or whose clock does not follow the trace.
  it('advances the clock to each line and reports differences', async () => {
    const lines = [
      header,
      '{"atMs":5,"event":"x"}',
      '{"atMs":9,"event":"x"}',
      '{"atMs":9,"expect":"seen","value":[5,9]}',
      '{"atMs":9,"expect":"seen","of":"y","value":[5]}',
    ];
    const results = await replayTrace(parseTrace('t', lines.join('\n')), {
      clock: startClockScenario,
    });
    expect(formatResults(results).split('\n')).toEqual([
      'same  line 4, seen: [5,9]',
      'DIFF  line 5, seen of y: expected [5], actual [5,9]',
      '2 expectations, 1 differences',
      '',
    ]);
  });

  // Guards against bounds that any value satisfies, or a value that is not a number.
  it.each([
    [2, {atMost: 2}, true],
    [2, {atMost: 1.9}, false],
    [2, {atLeast: 2}, true],
    [2, {atLeast: 2.1}, false],
    [null, {atMost: 2}, false],
    [{atMost: 2}, {atMost: 2, atLeast: 1}, false],
  ])('compares %j with %j', async (actual, value, matches) => {
    const startFixedScenario: ScenarioFactory = () => ({
      apply: async () => undefined,
      observe: async () => actual,
    });
    const lines = [header, JSON.stringify({atMs: 0, expect: 'x', value})];
    const results = await replayTrace(parseTrace('t', lines.join('\n')), {
      clock: startFixedScenario,
    });
    expect(results.map(result => result.matches)).toEqual([matches]);
  });

  it('throws for an unknown kind of scenario', async () => {
    const trace = parseTrace('t', header);
    const expectedMessage = `use one of ${Object.keys(scenarioFactories).join(', ')}`;
    await expect(replayTrace(trace, scenarioFactories)).rejects.toThrow(expectedMessage);
  });
});

describe('parseTrace', () => {
  it.each([
    ['', 'header'],
    ['{"trace":2,"kind":"clock","description":""}', 'trace'],
    [`${header}\n{"atMs":5,"event":"x"}\n{"atMs":4,"event":"x"}`, 'line 3'],
    [`${header}\n{"atMs":5}`, 'line 2'],
    [`${header}\nnot json`, 'one JSON object a line'],
  ])('throws for %j', (text, expectedMessage) => {
    expect(() => parseTrace('t', text)).toThrow(expectedMessage);
  });
});
