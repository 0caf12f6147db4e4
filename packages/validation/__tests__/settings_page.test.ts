import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Schema} from 'effect';
import {SchemaAST} from 'effect';
import {decodeOrThrow, InvalidDataError} from '../src/decode';
import {ControlSettingsSchema, EntrySettingsSchema} from '../src/settings';

const settingsPage = readFileSync(join(__dirname, '../../../docs/settings.md'), 'utf8');
const address = {host: '127.0.0.1', port: 20_000};
const tls = {certFile: 'cert.pem', keyFile: 'key.pem'};

/** All required fields and every optional object, so that defaults inside objects are filled in too. */
const commonSettings = {
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
  return {program, ast: schema.ast, decode, data: {...commonSettings, ...data}};
}

const daemonCases: readonly DaemonCase[] = [
  daemonCase('cuminsill-entry', EntrySettingsSchema, {control: address}),
  daemonCase('cuminsill-control', ControlSettingsSchema, {
    entryPeers: address,
    operators: address,
    operatorTls: tls,
    store: address,
    instanceList: address,
  }),
];

/** Paths of all fields that are not objects; `[]` stands for the elements of a list. */
function fieldPaths(ast: SchemaAST.AST, path = ''): readonly string[] {
  const encodedAst = SchemaAST.encodedAST(ast);
  if (SchemaAST.isUnion(encodedAst)) {
    const paths = encodedAst.types
      .filter(type => !SchemaAST.isUndefinedKeyword(type))
      .flatMap(type => fieldPaths(type, path));
    return [...new Set(paths)];
  }
  if (SchemaAST.isTupleType(encodedAst)) {
    return encodedAst.rest.flatMap(rest => fieldPaths(rest.type, `${path}[]`));
  }
  if (!SchemaAST.isTypeLiteral(encodedAst)) return [path];
  return encodedAst.propertySignatures.flatMap(field =>
    fieldPaths(field.type, path === '' ? String(field.name) : `${path}.${String(field.name)}`),
  );
}

interface TableRow {
  readonly defaultValue: string;
  readonly bounds: string;
}

/** Rows of one program's table in docs/settings.md, by field. */
function tableRowsByField(program: string): ReadonlyMap<string, TableRow> {
  const section = settingsPage.split(`\n## \`${program}\`\n`)[1]?.split('\n## ')[0] ?? '';
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

/** Bounds that the error message for -1 states, which is below the minimum of every number. */
function statedBounds({decode, data}: DaemonCase, path: string): string | undefined {
  try {
    decode(withValue(data, path.split('.'), -1));
  } catch (error) {
    if (!(error instanceof InvalidDataError)) throw error;
    return /use a (?:whole )?number from (.*)$/.exec(error.problems[0]?.fix ?? '')?.[1];
  }
  return undefined;
}

describe.each(daemonCases)('docs/settings.md for $program', daemon => {
  const paths = fieldPaths(daemon.ast);
  const rows = tableRowsByField(daemon.program);

  // Guards against a field that is added, renamed or removed without updating the page.
  it('lists exactly the fields of the schema', () => {
    expect(paths.length).toBeGreaterThan(20);
    expect([...rows.keys()].sort()).toEqual([...paths].sort());
  });

  // Guards against a default that is changed, added or removed without updating the page.
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

  // Guards against bounds on the page that differ from those in the error message.
  it('states the bounds of every number', () => {
    const numbers = paths
      .filter(path => !path.includes('[]'))
      .map(path => [path, statedBounds(daemon, path)] as const)
      .filter(([, bounds]) => bounds !== undefined);
    expect(numbers.length).toBeGreaterThan(5);
    expect(numbers.map(([path]) => [path, rows.get(path)?.bounds])).toEqual(numbers);
  });
});

/** Whether the field, or the top-level object that holds it, can be left out. */
function isOptional({decode, data}: DaemonCase, path: string): boolean {
  const [name = ''] = path.split('.');
  return ['', path].some(field => {
    const withoutField =
      field === ''
        ? Object.fromEntries(Object.entries(data).filter(([key]) => key !== name))
        : withValue(data, path.split('.'), undefined);
    try {
      decode(withoutField);
      return true;
    } catch (error) {
      if (!(error instanceof InvalidDataError)) throw error;
      return false;
    }
  });
}
