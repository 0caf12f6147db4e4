import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Schema} from 'effect';
import {SchemaAST} from 'effect';
import {decodeOrThrow, InvalidDataError} from '../src/decode';
import {ControlSettingsSchema, EntrySettingsSchema} from '../src/settings';

const page = readFileSync(join(__dirname, '../../../docs/settings.md'), 'utf8');
const address = {host: '127.0.0.1', port: 20_000};
const tls = {certFile: 'cert.pem', keyFile: 'key.pem'};

/** Required fields, and every optional object, so that defaults inside objects are filled in too. */
const common = {
  instance: {id: 'instance-01', regionId: 'este', failureDomainId: 'este-1'},
  callers: address,
  peers: address,
  peerKey: '0123456789abcdef',
  peerTls: tls,
  metrics: address,
};

interface DaemonCase {
  readonly program: string;
  readonly ast: SchemaAST.AST;
  readonly decode: (data: unknown) => unknown;
  readonly data: Readonly<Record<string, unknown>>;
}

function daemonCase<A, I>(
  program: string,
  schema: Schema.Schema<A, I>,
  data: Readonly<Record<string, unknown>>,
): DaemonCase {
  const decode = (value: unknown) => decodeOrThrow('test', schema, value);
  return {program, ast: schema.ast, decode, data: {...common, ...data}};
}

const daemons: readonly DaemonCase[] = [
  daemonCase('cuminsill-entry', EntrySettingsSchema, {control: address}),
  daemonCase('cuminsill-control', ControlSettingsSchema, {
    entryPeers: address,
    operators: address,
    operatorTls: tls,
    store: address,
    instanceList: address,
  }),
];

/** Paths of all fields that are not objects themselves. */
function fieldPaths(ast: SchemaAST.AST, path = ''): readonly string[] {
  const form = SchemaAST.encodedAST(ast);
  if (SchemaAST.isUnion(form)) {
    const paths = form.types
      .filter(type => !SchemaAST.isUndefinedKeyword(type))
      .flatMap(type => fieldPaths(type, path));
    return [...new Set(paths)];
  }
  if (SchemaAST.isTupleType(form)) {
    return form.rest.flatMap(rest => fieldPaths(rest.type, `${path}[]`));
  }
  if (!SchemaAST.isTypeLiteral(form)) return [path];
  return form.propertySignatures.flatMap(field =>
    fieldPaths(field.type, path === '' ? String(field.name) : `${path}.${String(field.name)}`),
  );
}

interface Row {
  readonly defaultValue: string;
  readonly bounds: string;
}

/** Rows of the table of one program by field. */
function rowsOf(program: string): ReadonlyMap<string, Row> {
  const section = page.split(`\n## \`${program}\`\n`)[1]?.split('\n## ')[0] ?? '';
  const rows = section
    .split('\n')
    .map(line => line.split('|').map(cell => cell.trim()))
    .filter(cells => /^`.+`$/.test(cells[1] ?? ''));
  return new Map(
    rows.map(([, field, , , defaultValue, bounds]) => [
      (field ?? '').slice(1, -1),
      {defaultValue: (defaultValue ?? '').replaceAll('`', ''), bounds: bounds ?? ''},
    ]),
  );
}

function valueAt(data: unknown, path: string): unknown {
  return path
    .split('.')
    .reduce<unknown>((value, name) => (value as Record<string, unknown> | undefined)?.[name], data);
}

function withValue(data: object, path: readonly string[], value: unknown): object {
  const [name = '', ...rest] = path;
  const inner = (data as Record<string, unknown>)[name] ?? {};
  return {...data, [name]: rest.length === 0 ? value : withValue(inner as object, rest, value)};
}

/** Bounds as the error message for a number below all bounds states them. */
function statedBounds({decode, data}: DaemonCase, path: string): string | undefined {
  try {
    decode(withValue(data, path.split('.'), -1));
  } catch (error) {
    if (!(error instanceof InvalidDataError)) throw error;
    return /use a (?:whole )?number from (.*)$/.exec(error.problems[0]?.fix ?? '')?.[1];
  }
  return undefined;
}

describe.each(daemons)('docs/settings.md for $program', daemon => {
  const paths = fieldPaths(daemon.ast);
  const rows = rowsOf(daemon.program);

  // Guards against a field that is added, renamed or removed without the page.
  it('lists exactly the fields of the schema', () => {
    expect(paths.length).toBeGreaterThan(20);
    expect([...rows.keys()].sort()).toEqual([...paths].sort());
  });

  // Guards against a default that is changed, added or removed without the page.
  it('states every default', () => {
    const decoded = daemon.decode(daemon.data);
    const expected = paths.map(path => {
      const [list = '', ...rest] = path.split('[]');
      if (rest.length > 0) return [path, JSON.stringify(valueAt(decoded, list))];
      if (valueAt(daemon.data, path) === undefined && valueAt(decoded, path) !== undefined) {
        return [path, String(valueAt(decoded, path))];
      }
      return [path, isOptional(daemon, path) ? 'optional' : ''];
    });
    expect(paths.map(path => [path, rows.get(path)?.defaultValue])).toEqual(expected);
  });

  // Guards against bounds that differ from those that a wrong value is told.
  it('states the bounds of every number', () => {
    const numbers = paths
      .filter(path => !path.includes('[]'))
      .map(path => [path, statedBounds(daemon, path)] as const)
      .filter(([, bounds]) => bounds !== undefined);
    expect(numbers.length).toBeGreaterThan(5);
    expect(numbers.map(([path]) => [path, rows.get(path)?.bounds])).toEqual(numbers);
  });
});

/** Whether the field, or the object that holds it, can be left out. */
function isOptional({decode, data}: DaemonCase, path: string): boolean {
  const [name = ''] = path.split('.');
  return ['', path].some(field => {
    const left =
      field === ''
        ? Object.fromEntries(Object.entries(data).filter(([key]) => key !== name))
        : withValue(data, path.split('.'), undefined);
    try {
      decode(left);
      return true;
    } catch (error) {
      if (!(error instanceof InvalidDataError)) throw error;
      return false;
    }
  });
}
