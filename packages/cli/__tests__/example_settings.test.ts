import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {ControlSettingsSchema, EntrySettingsSchema, loadSettings} from '@cuminsill/validation';
import {runCli} from '../src/run_cli';

const examplesDirectory = join(__dirname, '../../../examples');
const deployments = readdirSync(examplesDirectory).filter(name =>
  readdirSync(join(examplesDirectory, name)).includes('catalog.json'),
);
const schemas = {entry: EntrySettingsSchema, control: ControlSettingsSchema} as const;

const cases = deployments.flatMap(deployment =>
  (['entry', 'control'] as const).map(kind => ({
    kind,
    name: `${deployment}/${kind}.json`,
    file: join(examplesDirectory, deployment, `${kind}.json`),
  })),
);

// Guards against example settings that the entry or control process would reject.
describe('example settings', () => {
  it('exist for both deployments', () => {
    expect(deployments).toEqual(['boletines', 'carpas']);
  });

  it.each(cases)('$name matches its schema', ({kind, file}) => {
    const {instance} = loadSettings(file, schemas[kind] as typeof EntrySettingsSchema);
    expect(instance.id).toBe('instance-01');
  });

  it.each(cases)('$name passes `cuminsill settings check`', async ({kind, file}) => {
    let stdout = '';
    let stderr = '';
    const exitCode = await runCli(['settings', 'check', file], {
      print: text => void (stdout += text),
      printError: text => void (stderr += text),
      ask: async () => undefined,
      sleep: async () => false,
      environment: {},
    });
    expect({exitCode, stderr}).toEqual({exitCode: 0, stderr: ''});
    expect(stdout).toContain(`valid ${kind}`);
  });

  it.each(deployments)('of %s connect the entry process to its control process', name => {
    const read = (kind: string) =>
      JSON.parse(readFileSync(join(examplesDirectory, name, `${kind}.json`), 'utf8')) as Record<
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
