/** Files and settings of the daemons that the demo and the bench start. */
import {existsSync, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {controlSettingsFor, entrySettingsFor} from '@cuminsill/standins';
import type {DeploymentInstances, InstanceSurroundings} from '@cuminsill/standins';
import type {Instance} from '@cuminsill/types';
import type {ChildCommand} from './child_process';

/** The two daemons of an instance. */
export type DaemonName = 'entry' | 'control';

const root = resolve(__dirname, '../../..');

/** Shorter than the defaults, so that a demo of less than a minute shows a start, a move and a stop. */
const quickEntrySettings = {lookupTtlS: 2, stopMarginS: 1, slowStartStepS: 0.5};

/** Built file of each daemon. */
export const daemonFiles: Readonly<Record<DaemonName, string>> = {
  entry: join(root, 'packages/entry/dist/bin/entry.js'),
  control: join(root, 'packages/control/dist/bin/control.js'),
};

/** What the settings of one instance's daemons are made from. */
export interface DaemonSettingsInput {
  readonly instance: Instance;
  /** Instances that are known at the start, with their operators' ports. */
  readonly deployment: DeploymentInstances;
  readonly surroundings: InstanceSurroundings;
}

/** Contents of both settings files. */
export type DaemonSettings = Readonly<Record<DaemonName, unknown>>;

/** Contents of the settings files of one instance. */
export function makeDaemonSettings(input: DaemonSettingsInput): DaemonSettings {
  const {instance, deployment, surroundings} = input;
  return {
    entry: {...entrySettingsFor(instance, surroundings), ...quickEntrySettings},
    control: controlSettingsFor(deployment, instance, surroundings),
  };
}

/** Names of daemons that are not built. */
export function missingDaemons(): readonly DaemonName[] {
  return (Object.keys(daemonFiles) as DaemonName[]).filter(name => !existsSync(daemonFiles[name]));
}

/** Writes the settings files of one instance and returns the commands that start its daemons. */
export function writeDaemonSettings(
  directory: string,
  input: DaemonSettingsInput,
): Readonly<Record<DaemonName, ChildCommand>> {
  const settings = makeDaemonSettings(input);
  const commandOf = (name: DaemonName): ChildCommand => {
    const file = join(directory, `${input.instance.id}.${name}.json`);
    writeFileSync(file, JSON.stringify(settings[name]), {mode: 0o600});
    return {
      name: `${name} of ${input.instance.id}`,
      file: daemonFiles[name],
      args: ['--settings', file],
    };
  };
  return {entry: commandOf('entry'), control: commandOf('control')};
}
