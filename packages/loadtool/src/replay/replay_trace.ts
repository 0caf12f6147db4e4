/** Replays a trace on a manual clock and compares the stated outcomes with the actual ones. */
import {isDeepStrictEqual} from 'node:util';
import {ManualTime} from '@cuminsill/utils';
import {InvalidDataError} from '@cuminsill/validation';
import {Option, Schema} from 'effect';
import type {ScenarioKind} from './scenario';
import {stepTimeMs} from './trace_file';
import type {Trace, TraceExpectation} from './trace_file';

const BoundSchema = Schema.Union(
  Schema.Struct({atMost: Schema.Number}),
  Schema.Struct({atLeast: Schema.Number}),
);

/** One expectation with what was found. */
export interface ReplayFinding {
  readonly line: number;
  /** The expectation without its value, for example `result of a1`. */
  readonly subject: string;
  readonly expected: unknown;
  readonly actual: unknown;
  readonly matches: boolean;
}

/** Replays a trace. Throws InvalidDataError for a kind or an event that is not known. */
export async function replayTrace(
  trace: Trace,
  kinds: Readonly<Record<string, ScenarioKind>>,
): Promise<readonly ReplayFinding[]> {
  const start = Object.hasOwn(kinds, trace.header.kind) ? kinds[trace.header.kind] : undefined;
  if (start === undefined) throw unknownKind(trace.header.kind, kinds);
  const time = new ManualTime();
  const scenario = start(trace.header, time);
  const findings: ReplayFinding[] = [];
  let nowMs = 0;
  for (const step of trace.steps) {
    time.advance(stepTimeMs(step) - nowMs);
    nowMs = stepTimeMs(step);
    if ('event' in step) {
      await scenario.apply(step.event);
      continue;
    }
    const {expectation} = step;
    const actual = toJson(await scenario.observe(expectation));
    const expected = expectation.value;
    const matches = satisfies(actual, expected);
    findings.push({line: step.line, subject: subjectOf(expectation), expected, actual, matches});
  }
  return findings;
}

/** Findings as text, one a line, with a summary. */
export function findingsText(findings: readonly ReplayFinding[]): string {
  const lines = findings.map(finding => {
    const expected = JSON.stringify(finding.expected);
    const place = `line ${finding.line}, ${finding.subject}`;
    return finding.matches
      ? `same  ${place}: ${expected}`
      : `DIFF  ${place}: expected ${expected}, actual ${JSON.stringify(finding.actual)}`;
  });
  const differences = findings.filter(finding => !finding.matches).length;
  const summary = `${findings.length} expectations, ${differences} differences`;
  return [...lines, summary].map(line => `${line}\n`).join('');
}

function subjectOf({expect, of}: TraceExpectation): string {
  return typeof of === 'string' ? `${expect} of ${of}` : expect;
}

/** A stated `{"atMost": n}` or `{"atLeast": n}` is a bound of a number; any other value must be equal. */
function satisfies(actual: unknown, stated: unknown): boolean {
  const bound = Schema.decodeUnknownOption(BoundSchema, {onExcessProperty: 'error'})(stated);
  if (Option.isNone(bound)) return isDeepStrictEqual(actual, stated);
  if (typeof actual !== 'number') return false;
  return 'atMost' in bound.value ? actual <= bound.value.atMost : actual >= bound.value.atLeast;
}

/** Drops what JSON does not carry, such as undefined fields, before the comparison. */
function toJson(value: unknown): unknown {
  return value === undefined ? null : (JSON.parse(JSON.stringify(value)) as unknown);
}

function unknownKind(
  kind: string,
  kinds: Readonly<Record<string, ScenarioKind>>,
): InvalidDataError {
  const fix = `use one of ${Object.keys(kinds).join(', ')}`;
  return new InvalidDataError('trace header', [{field: 'kind', value: JSON.stringify(kind), fix}]);
}
