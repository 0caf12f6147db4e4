import * as fc from 'fast-check';
import type {Schema} from 'effect';
import {ControlSettingsSchema, decodeOrThrow, EntrySettingsSchema, InvalidDataError} from '../src';

const runs = Number(process.env['CUMINSILL_FUZZ_RUNS'] ?? 0);
const parameters = runs > 0 ? {seed: Date.now(), numRuns: runs} : {seed: 20_261_203, numRuns: 30};

const address = {host: '127.0.0.1', port: 1};
const tls = {certFile: 'cert.pem', keyFile: 'key.pem', caFile: 'ca.pem'};
const common = {
  instance: {id: 'instance-1', regionId: 'north', failureDomainId: 'north-1'},
  callers: address,
  peers: address,
  peerKey: 'a-key-for-tests-only',
  peerTls: tls,
  log: {level: 'info'},
  metrics: {...address, flushIntervalMs: 1000},
};
const minimal = {
  entry: {...common, control: address},
  control: {
    ...common,
    entryPeers: address,
    operators: address,
    store: address,
    instanceList: address,
    seeds: [address],
    operatorTls: tls,
    operatorTokens: [{name: 'operator', role: 'operator', tokenSha256: '0'.repeat(64)}],
  },
};
const schemas: Readonly<Record<keyof typeof minimal, Schema.Schema.AnyNoContext>> = {
  entry: EntrySettingsSchema,
  control: ControlSettingsSchema,
};

type Path = ReadonlyArray<string | number>;

/** Paths of all fields that hold one value, in settings with every default filled in. */
function leafPaths(value: unknown, path: Path = []): readonly Path[] {
  if (typeof value !== 'object' || value === null) return [path];
  const entries = Array.isArray(value)
    ? value.map((part, index) => [index, part] as const)
    : Object.entries(value);
  return entries.flatMap(([name, part]) => leafPaths(part, [...path, name]));
}

function withValueAt(settings: unknown, [name, ...rest]: Path, value: unknown): unknown {
  if (name === undefined) return value;
  if (Array.isArray(settings)) {
    return settings.map((part, index) => (index === name ? withValueAt(part, rest, value) : part));
  }
  const object = settings as Record<string, unknown>;
  return {...object, [name]: withValueAt(object[name], rest, value)};
}

function nameOf(path: Path): string {
  return path
    .map((part, index) =>
      typeof part === 'number' ? `[${part}]` : index === 0 ? part : `.${part}`,
    )
    .join('');
}

const full = (daemon: keyof typeof minimal): unknown =>
  decodeOrThrow('settings', schemas[daemon], minimal[daemon]);

const cases = (['entry', 'control'] as const).flatMap(daemon =>
  leafPaths(full(daemon)).map(path => ({daemon, path, field: nameOf(path)})),
);

// No field takes an object, a list, null, a negative number, or infinity.
const wrongValue = fc.oneof(
  fc.constantFrom<unknown>(null, [], {}, [1], {a: 1}),
  fc.double({max: -Number.MIN_VALUE, noNaN: true}),
  fc.constantFrom(Infinity, NaN),
);

it('knows the fields of both daemons', () => {
  expect(cases.filter(({daemon}) => daemon === 'entry').length).toBeGreaterThan(30);
  expect(cases.filter(({daemon}) => daemon === 'control').length).toBeGreaterThan(30);
});

// Guards against a wrong setting that is taken, or whose error leaves the operator to search for it.
it.each(cases)('a wrong $field of $daemon is named', ({daemon, path, field}) => {
  fc.assert(
    fc.property(wrongValue, value => {
      const settings = withValueAt(full(daemon), path, value);
      try {
        decodeOrThrow('settings', schemas[daemon], settings);
      } catch (error) {
        if (!(error instanceof InvalidDataError)) throw error;
        expect(error.problems.map(problem => problem.field)).toContain(field);
        for (const problem of error.problems) expect(problem.fix).not.toBe('');
        return;
      }
      throw new Error(`${JSON.stringify(value)} was taken`);
    }),
    parameters,
  );
});

it.each(cases)('a secret beside a wrong $field of $daemon is not shown', ({daemon, path}) => {
  const settings = withValueAt(full(daemon), path, {});
  expect(() => decodeOrThrow('settings', schemas[daemon], settings)).toThrow(
    expect.objectContaining({message: expect.not.stringContaining(common.peerKey)}),
  );
});

it.each(['entry', 'control'] as const)('an unknown field of %s is named', daemon => {
  const name = fc.stringMatching(/^[a-z]{3,12}X$/);
  fc.assert(
    fc.property(name, fc.jsonValue(), (unknown, value) => {
      const settings = {...minimal[daemon], [unknown]: value};
      expect(() => decodeOrThrow('settings', schemas[daemon], settings)).toThrow(unknown);
    }),
    parameters,
  );
});
