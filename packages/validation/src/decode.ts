/**
 * Validates external data against a Schema. All problems are reported together, each with the field, the value and
 * how to fix it. Invalid data is never used in part.
 */
import {Either, ParseResult, Schema} from 'effect';

/** An invalid field. */
export interface FieldProblem {
  /** Path of the field, for example `peers[2].port`. */
  readonly field: string;
  /** The value found, truncated; `missing` when there is none, `***` for secrets. */
  readonly value: string;
  /** How to correct the value. */
  readonly fix: string;
}

/** External data does not match its schema. */
export class InvalidDataError extends Error {
  override readonly name = 'InvalidDataError';

  /**
   * @param source Origin of the data, for example a file name.
   * @param problems All problems found.
   */
  constructor(
    readonly source: string,
    readonly problems: readonly FieldProblem[],
  ) {
    super(formatProblems(source, problems));
  }
}

const maxShownValueLength = 80;
/** Effect reports a wrong optional field a second time with this message, because it may also be undefined. */
const undefinedFixPrefix = 'Expected undefined,';
const secretFieldPattern = /(secret|token|key|password)$/i;

/** Decodes a value that must match the schema exactly; an unknown field is an error. Throws InvalidDataError. */
export function decodeOrThrow<A, I>(source: string, schema: Schema.Schema<A, I>, data: unknown): A {
  const decoded = Schema.decodeUnknownEither(schema, {
    errors: 'all',
    onExcessProperty: 'error',
  })(data);
  if (Either.isRight(decoded)) return decoded.right;
  throw new InvalidDataError(source, problemsOf(decoded.left, data));
}

/** Parses JSON text and decodes it. Throws InvalidDataError. */
export function decodeJsonOrThrow<A, I>(
  source: string,
  schema: Schema.Schema<A, I>,
  text: string,
): A {
  return decodeOrThrow(source, schema, parseJson(source, text));
}

function parseJson(source: string, text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    const fix = `write valid JSON (${error instanceof Error ? error.message : 'parse error'})`;
    throw new InvalidDataError(source, [{field: '(file)', value: truncate(text), fix}]);
  }
}

function problemsOf(error: ParseResult.ParseError, data: unknown): readonly FieldProblem[] {
  const issues = ParseResult.ArrayFormatter.formatErrorSync(error);
  const problems = issues.map(issue => {
    const field = formatPath(issue.path);
    return {field, value: describeValue(field, valueAt(data, issue.path)), fix: issue.message};
  });
  return problems.filter(
    problem =>
      !problem.fix.startsWith(undefinedFixPrefix) ||
      problems.every(other => other === problem || !isSameOrSubfield(other.field, problem.field)),
  );
}

function isSameOrSubfield(field: string, outer: string): boolean {
  return field === outer || field.startsWith(`${outer}.`) || field.startsWith(`${outer}[`);
}

function formatPath(path: readonly PropertyKey[]): string {
  if (path.length === 0) return '(whole)';
  return path
    .map((part, index) => {
      if (typeof part === 'number') return `[${part}]`;
      return index === 0 ? String(part) : `.${String(part)}`;
    })
    .join('');
}

function valueAt(data: unknown, path: readonly PropertyKey[]): unknown {
  let current = data;
  for (const part of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = (current as Record<PropertyKey, unknown>)[part];
  }
  return current;
}

function describeValue(field: string, value: unknown): string {
  if (value === undefined) return 'missing';
  if (secretFieldPattern.test(field)) return '***';
  return truncate(JSON.stringify(value));
}

function truncate(text: string): string {
  return text.length <= maxShownValueLength ? text : `${text.slice(0, maxShownValueLength)}...`;
}

function formatProblems(source: string, problems: readonly FieldProblem[]): string {
  const lines = problems.map(
    problem => `  ${problem.field}: found ${problem.value}; ${problem.fix}`,
  );
  return [`${source} is not valid:`, ...lines].join('\n');
}
