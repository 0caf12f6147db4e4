/** Parses the trace format of `docs/traces.md`: a header, then events and expectations, one JSON object per line. */
import {decodeOrThrow, InvalidDataError, wholeNumberBetween} from '@cuminsill/validation';
import {Schema} from 'effect';

const atMs = wholeNumberBetween(0, Number.MAX_SAFE_INTEGER);
const additionalFields = Schema.Record({key: Schema.String, value: Schema.Unknown});

const HeaderSchema = Schema.Struct({
  trace: Schema.Literal(1),
  kind: Schema.String,
  description: Schema.String,
  seed: Schema.optional(wholeNumberBetween(0, 0x7fff_ffff)),
  settings: Schema.optional(additionalFields),
});

const EventSchema = Schema.Struct({atMs, event: Schema.String}, additionalFields);

const ExpectationSchema = Schema.Struct(
  {atMs, expect: Schema.String, value: Schema.Unknown},
  additionalFields,
);

/** First line of a trace: format version, kind of scenario, seed and settings. */
export type TraceHeader = typeof HeaderSchema.Type;

/** An event at a time of the trace, with fields that depend on the kind of scenario. */
export type TraceEvent = typeof EventSchema.Type;

/** An expected value at a time of the trace, with fields that depend on the kind of scenario. */
export type TraceExpectation = typeof ExpectationSchema.Type;

/** An event or an expectation, with its line number in the file. */
export type TraceStep =
  | {readonly line: number; readonly event: TraceEvent}
  | {readonly line: number; readonly expectation: TraceExpectation};

/** A parsed trace. */
export interface Trace {
  readonly header: TraceHeader;
  readonly steps: readonly TraceStep[];
}

/** Parses a trace. Skips empty lines and lines that start with `#`. Throws InvalidDataError when it is not valid. */
export function parseTrace(source: string, text: string): Trace {
  const lines = text
    .split('\n')
    .map((content, index) => ({line: index + 1, content: content.trim()}))
    .filter(({content}) => content !== '' && !content.startsWith('#'));
  const [first, ...rest] = lines;
  if (first === undefined) throw traceError(source, 'empty file', 'start with a header line');
  const header = decodeOrThrow(
    `${source}, line ${first.line}`,
    HeaderSchema,
    parseLine(source, first.line, first.content),
  );
  const steps = rest.map(({line, content}) => parseStep(source, line, content));
  requireAscendingTimes(source, steps);
  return {header, steps};
}

/** Returns the time of a step in milliseconds since the start of the trace. */
export function stepTimeMs(step: TraceStep): number {
  return 'event' in step ? step.event.atMs : step.expectation.atMs;
}

function parseStep(source: string, line: number, content: string): TraceStep {
  const data = parseLine(source, line, content);
  const lineName = `${source}, line ${line}`;
  const isEvent = typeof data === 'object' && data !== null && 'event' in data;
  return isEvent
    ? {line, event: decodeOrThrow(lineName, EventSchema, data)}
    : {line, expectation: decodeOrThrow(lineName, ExpectationSchema, data)};
}

function requireAscendingTimes(source: string, steps: readonly TraceStep[]): void {
  steps.forEach((step, index) => {
    const previous = steps[index - 1];
    if (previous === undefined || stepTimeMs(previous) <= stepTimeMs(step)) return;
    throw traceError(
      `${source}, line ${step.line}`,
      String(stepTimeMs(step)),
      'sort lines by atMs',
    );
  });
}

function parseLine(source: string, line: number, content: string): unknown {
  try {
    return JSON.parse(content) as unknown;
  } catch {
    throw traceError(
      `${source}, line ${line}`,
      content.slice(0, 80),
      'write one JSON object a line',
    );
  }
}

function traceError(source: string, value: string, fix: string): InvalidDataError {
  return new InvalidDataError(source, [{field: '(line)', value, fix}]);
}
