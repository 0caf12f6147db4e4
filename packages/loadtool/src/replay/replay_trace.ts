/** Replays a trace on a manual clock and compares the expected values with the actual ones. */
import {isDeepStrictEqual} from 'node:util';
import {ManualTime} from '@cuminsill/utils';
import {InvalidDataError} from '@cuminsill/validation';
import {Option, Schema} from 'effect';
import type {ScenarioFactory} from './scenario';
import {stepTimeMs} from './trace_file';
import type {Trace, TraceExpectation} from './trace_file';

const BoundSchema = Schema.Union(
  Schema.Struct({atMost: Schema.Number}),
  Schema.Struct({atLeast: Schema.Number}),
);

/** An expectation of a trace with the actual value. */
export interface ExpectationResult {
  readonly line: number;
  /** The expectation without its value, for example `result of a1`. */
  readonly subject: string;
  readonly expected: unknown;
  readonly actual: unknown;
  readonly matches: boolean;
}

/** Replays a trace. Rejects with InvalidDataError for an unknown kind of scenario or event. */
export async function replayTrace(
  trace: Trace,
  scenarioFactories: Readonly<Record<string, ScenarioFactory>>,
): Promise<readonly ExpectationResult[]> {
  const startScenario = Object.hasOwn(scenarioFactories, trace.header.kind)
    ? scenarioFactories[trace.header.kind]
    : undefined;
  if (startScenario === undefined) throw unknownKindError(trace.header.kind, scenarioFactories);
  const time = new ManualTime();
  const scenario = startScenario(trace.header, time);
  const results: ExpectationResult[] = [];
  let nowMs = 0;
  for (const step of trace.steps) {
    time.advance(stepTimeMs(step) - nowMs);
    nowMs = stepTimeMs(step);
    if ('event' in step) {
      await scenario.apply(step.event);
      continue;
    }
    const {expectation} = step;
    const actual = toJsonData(await scenario.observe(expectation));
    const expected = expectation.value;
    const matches = matchesExpected(actual, expected);
    results.push({line: step.line, subject: subjectOf(expectation), expected, actual, matches});
  }
  return results;
}

/** Formats the results as text: one line each, and a summary line. */
export function formatResults(results: readonly ExpectationResult[]): string {
  const lines = results.map(result => {
    const expected = JSON.stringify(result.expected);
    const location = `line ${result.line}, ${result.subject}`;
    return result.matches
      ? `same  ${location}: ${expected}`
      : `DIFF  ${location}: expected ${expected}, actual ${JSON.stringify(result.actual)}`;
  });
  const differenceCount = results.filter(result => !result.matches).length;
  const summary = `${results.length} expectations, ${differenceCount} differences`;
  return [...lines, summary].map(line => `${line}\n`).join('');
}

function subjectOf({expect, of}: TraceExpectation): string {
  return typeof of === 'string' ? `${expect} of ${of}` : expect;
}

/** Expected `{"atMost": n}` and `{"atLeast": n}` are bounds of a number; any other value must be equal. */
function matchesExpected(actual: unknown, expected: unknown): boolean {
  const bound = Schema.decodeUnknownOption(BoundSchema, {onExcessProperty: 'error'})(expected);
  if (Option.isNone(bound)) return isDeepStrictEqual(actual, expected);
  if (typeof actual !== 'number') return false;
  return 'atMost' in bound.value ? actual <= bound.value.atMost : actual >= bound.value.atLeast;
}

/** Converts a value to plain JSON data for the comparison, for example without undefined fields. */
function toJsonData(value: unknown): unknown {
  return value === undefined ? null : (JSON.parse(JSON.stringify(value)) as unknown);
}

function unknownKindError(
  kind: string,
  scenarioFactories: Readonly<Record<string, ScenarioFactory>>,
): InvalidDataError {
  const fix = `use one of ${Object.keys(scenarioFactories).join(', ')}`;
  return new InvalidDataError('trace header', [{field: 'kind', value: JSON.stringify(kind), fix}]);
}
