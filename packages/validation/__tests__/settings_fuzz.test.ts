import * as fc from 'fast-check';
import type {Schema} from 'effect';
import {ControlSettingsSchema, decodeOrThrow, EntrySettingsSchema, InvalidDataError} from '../src';

const fuzzRuns = Number(process.env['CUMINSILL_FUZZ_RUNS'] ?? 0);
const parameters =
  fuzzRuns > 0 ? {seed: Date.now(), numRuns: fuzzRuns} : {seed: 20_261_203, numRuns: 30};

const address = {host: '127.0.0.1', port: 1};
const tls = {certFile: 'cert.pem', keyFile: 'key.pem', caFile: 'ca.pem'};
const commonSettings = {
  instance: {id: 'instance-1', regionId: 'north', failureDomainId: 'north-1'},
  callers: address,
  peers: address,
  peerKey: 'a-key-for-tests-only',
  peerTls: tls,
  log: {level: 'info'},
  metrics: {...address, flushIntervalMs: 1000},
};
const requiredSettings = {
  entry: {...commonSettings, control: address},
  control: {
    ...commonSettings,
    entryPeers: address,
    operators: address,
    store: address,
    instanceList: address,
    seeds: [address],
    operatorTls: tls,
    operatorTokens: [{name: 'operator', role: 'operator', tokenSha256: '0'.repeat(64)}],
  },
};
const schemas: Readonly<Record<keyof typeof requiredSettings, Schema.Schema.AnyNoContext>> = {
  entry: EntrySettingsSchema,
  control: ControlSettingsSchema,
};

type Path = ReadonlyArray<string | number>;

/** Paths of all fields that hold a single value, not an object or a list. */
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

function formatPath(path: Path): string {
  return path
    .map((part, index) =>
      typeof part === 'number' ? `[${part}]` : index === 0 ? part : `.${part}`,
    )
    .join('');
}

const settingsWithDefaults = (daemon: keyof typeof requiredSettings): unknown =>
  decodeOrThrow('settings', schemas[daemon], requiredSettings[daemon]);

const fieldCases = (['entry', 'control'] as const).flatMap(daemon =>
  leafPaths(settingsWithDefaults(daemon)).map(path => ({daemon, path, field: formatPath(path)})),
);

// Values that are invalid for every field: objects, lists, null, negative numbers, infinity and NaN.
const wrongValue = fc.oneof(
  fc.constantFrom<unknown>(null, [], {}, [1], {a: 1}),
  fc.double({max: -Number.MIN_VALUE, noNaN: true}),
  fc.constantFrom(Infinity, NaN),
);

it('finds the fields of both daemons', () => {
  expect(fieldCases.filter(({daemon}) => daemon === 'entry').length).toBeGreaterThan(30);
  expect(fieldCases.filter(({daemon}) => daemon === 'control').length).toBeGreaterThan(30);
});

// Guards against an invalid setting that is accepted, or whose error does not name the field.
it.each(fieldCases)('an invalid $field of $daemon is named', ({daemon, path, field}) => {
  fc.assert(
    fc.property(wrongValue, value => {
      const settings = withValueAt(settingsWithDefaults(daemon), path, value);
      try {
        decodeOrThrow('settings', schemas[daemon], settings);
      } catch (error) {
        if (!(error instanceof InvalidDataError)) throw error;
        expect(error.problems.map(problem => problem.field)).toContain(field);
        for (const problem of error.problems) expect(problem.fix).not.toBe('');
        return;
      }
      throw new Error(`${JSON.stringify(value)} was accepted`);
    }),
    parameters,
  );
});

it.each(fieldCases)(
  'the error for an invalid $field of $daemon shows no secret',
  ({daemon, path}) => {
    const settings = withValueAt(settingsWithDefaults(daemon), path, {});
    expect(() => decodeOrThrow('settings', schemas[daemon], settings)).toThrow(
      expect.objectContaining({message: expect.not.stringContaining(commonSettings.peerKey)}),
    );
  },
);

it.each(['entry', 'control'] as const)('an unknown field of %s is named', daemon => {
  const name = fc.stringMatching(/^[a-z]{3,12}X$/);
  fc.assert(
    fc.property(name, fc.jsonValue(), (unknown, value) => {
      const settings = {...requiredSettings[daemon], [unknown]: value};
      expect(() => decodeOrThrow('settings', schemas[daemon], settings)).toThrow(unknown);
    }),
    parameters,
  );
});
