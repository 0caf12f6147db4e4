import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {ControlSettingsSchema, EntrySettingsSchema, loadSettings} from '@cuminsill/validation';
import {runCli} from '../src/run_cli';

const examples = join(__dirname, '../../../examples');
const deployments = readdirSync(examples).filter(name =>
  readdirSync(join(examples, name)).includes('catalog.json'),
);
const schemas = {entry: EntrySettingsSchema, control: ControlSettingsSchema} as const;

const cases = deployments.flatMap(deployment =>
  (['entry', 'control'] as const).map(kind => ({
    kind,
    name: `${deployment}/${kind}.json`,
    file: join(examples, deployment, `${kind}.json`),
  })),
);

// Guards against example settings that a daemon would refuse.
describe('example settings', () => {
  it('exist for both deployments', () => {
    expect(deployments).toEqual(['boletines', 'carpas']);
  });

  it.each(cases)('$name matches its schema', ({kind, file}) => {
    const {instance} = loadSettings(file, schemas[kind] as typeof EntrySettingsSchema);
    expect(instance.id).toBe('instance-01');
  });

  it.each(cases)('$name passes `cuminsill settings check`', async ({kind, file}) => {
    let out = '';
    let err = '';
    const exitCode = await runCli(['settings', 'check', file], {
      print: text => void (out += text),
      printError: text => void (err += text),
      ask: async () => undefined,
      sleep: async () => false,
      environment: {},
    });
    expect({exitCode, err}).toEqual({exitCode: 0, err: ''});
    expect(out).toContain(`valid ${kind}`);
  });

  it.each(deployments)('of %s join the entry to its control process', name => {
    const read = (kind: string) =>
      JSON.parse(readFileSync(join(examples, name, `${kind}.json`), 'utf8')) as Record<
        string,
        unknown
      >;
    const entry = read('entry');
    const control = read('control');
    expect(entry['control']).toEqual(control['peers']);
    expect(entry['peers']).toEqual(control['entryPeers']);
    expect(entry['callers']).toEqual(control['callers']);
    expect(entry['peerKey']).toBe(control['peerKey']);
  });
});
