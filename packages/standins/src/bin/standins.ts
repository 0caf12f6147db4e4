#!/usr/bin/env node
/** The program `cuminsill-standins`: runs the stand-ins of a settings file, or writes the example files. */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {dirname, join, resolve} from 'node:path';
import type {Instance} from '@cuminsill/types';
import {CatalogSchema, decodeJsonOrThrow, InvalidDataError} from '@cuminsill/validation';
import {Command} from 'commander';
import {deploymentNames} from '../example_deployments';
import {exampleFiles} from '../example_files';
import {StandinSettingsSchema, startStandins} from '../start_standins';
import type {RunningStandins, StandinInputs} from '../start_standins';

const version = (
  JSON.parse(readFileSync(join(__dirname, '../../package.json'), 'utf8')) as {version: string}
).version;

function readInputs(file: string): StandinInputs {
  const settings = decodeJsonOrThrow(file, StandinSettingsSchema, readFileSync(file, 'utf8'));
  const read = (name: string) => readFileSync(resolve(dirname(file), name), 'utf8');
  return {
    settings,
    catalog: decodeJsonOrThrow(settings.catalogFile, CatalogSchema, read(settings.catalogFile)),
    instances: JSON.parse(read(settings.instancesFile)) as readonly Instance[],
  };
}

function stopOnSignal(standins: RunningStandins): void {
  const stop = () => void standins.close().then(() => process.exit(0));
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

async function runStandins(file: string): Promise<void> {
  const standins = await startStandins(readInputs(file));
  stopOnSignal(standins);
  const ready = {
    ready: true,
    store: standins.storeAddress,
    instanceList: standins.instanceListAddress,
    targetControl: standins.targetControlAddress,
    targets: standins.fleet.targets.size,
  };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
}

function writeExamples(directory: string): void {
  for (const name of deploymentNames) {
    mkdirSync(join(directory, name), {recursive: true});
    exampleFiles(name).forEach(file => writeFileSync(join(directory, name, file.name), file.text));
  }
}

function fail(error: unknown): void {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = error instanceof InvalidDataError ? 2 : 1;
}

const program = new Command('cuminsill-standins')
  .description(
    'Stand-ins for the store, the instance list and the targets, for tests and the demo.',
  )
  .version(version);
program
  .command('run', {isDefault: true})
  .description('Starts the stand-ins and prints {"ready":true,...} when all of them listen.')
  .requiredOption('--settings <file>', 'JSON settings file')
  .action((options: {readonly settings: string}) => runStandins(options.settings).catch(fail));
program
  .command('write-examples')
  .description('Writes catalog, instances and settings of the example deployments.')
  .requiredOption('--directory <directory>', 'directory to write to')
  .action((options: {readonly directory: string}) => writeExamples(options.directory));
void program.parseAsync();
