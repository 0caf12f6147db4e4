/** Settings files and start commands of the daemons that the demo and the benchmark start. */
import {existsSync, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {controlSettingsFor, entrySettingsFor} from '@cuminsill/standins';
import type {DeploymentInstances, SharedInstanceSettings} from '@cuminsill/standins';
import type {Instance} from '@cuminsill/types';
import type {ProcessCommand} from './managed_process';

/** The two daemons of an instance. */
export type DaemonName = 'entry' | 'control';

const repositoryRoot = resolve(__dirname, '../../..');

/** Shorter than the defaults, so that a demo of less than a minute covers a start, a traffic move and a stop. */
const shortEntryIntervals = {lookupTtlS: 2, stopMarginS: 1, slowStartStepS: 0.5};

/** Compiled program of each daemon. */
export const daemonFiles: Readonly<Record<DaemonName, string>> = {
  entry: join(repositoryRoot, 'packages/entry/dist/bin/entry.js'),
  control: join(repositoryRoot, 'packages/control/dist/bin/control.js'),
};

/** Input for the settings of one instance's daemons. */
export interface DaemonSettingsInput {
  readonly instance: Instance;
  /** Instances that are known at the start, with the ports of their operators' APIs. */
  readonly deployment: DeploymentInstances;
  /** Addresses and secrets that the daemons need. */
  readonly environment: SharedInstanceSettings;
}

/** Contents of the settings file of each daemon. */
export type DaemonSettings = Readonly<Record<DaemonName, unknown>>;

/** Makes the contents of the settings files of one instance. */
export function makeDaemonSettings(input: DaemonSettingsInput): DaemonSettings {
  const {instance, deployment, environment} = input;
  return {
    entry: {...entrySettingsFor(instance, environment), ...shortEntryIntervals},
    control: controlSettingsFor(deployment, instance, environment),
  };
}

/** Returns the daemons whose compiled program is missing. */
export function findUnbuiltDaemons(): readonly DaemonName[] {
  return (Object.keys(daemonFiles) as DaemonName[]).filter(name => !existsSync(daemonFiles[name]));
}

/** Writes the settings files of one instance and returns the commands that start its daemons. */
export function prepareDaemonCommands(
  directory: string,
  input: DaemonSettingsInput,
): Readonly<Record<DaemonName, ProcessCommand>> {
  const settings = makeDaemonSettings(input);
  const prepareCommand = (name: DaemonName): ProcessCommand => {
    const file = join(directory, `${input.instance.id}.${name}.json`);
    writeFileSync(file, JSON.stringify(settings[name]), {mode: 0o600});
    return {
      name: `${name} of ${input.instance.id}`,
      file: daemonFiles[name],
      args: ['--settings', file],
    };
  };
  return {entry: prepareCommand('entry'), control: prepareCommand('control')};
}
