/** Files and settings of the daemons that the demo and the bench start. */
import {createHash} from 'node:crypto';
import {existsSync, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import type {Instance, SocketAddress} from '@cuminsill/types';
import type {ChildCommand} from './child_process';

/** The two daemons of an instance. */
export type DaemonName = 'entry' | 'control';

const seedCount = 3;
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
  /** Instances that are known at the start. */
  readonly instances: readonly Instance[];
  readonly operatorAddress: SocketAddress;
  readonly storeAddress: SocketAddress;
  readonly instanceListAddress: SocketAddress;
  /** Bearer token of the operators' API. */
  readonly operatorToken: string;
  /** Key that instances share, and with which plans and request ids are signed. */
  readonly sharedKey: string;
}

/** Contents of both settings files. */
export type DaemonSettings = Readonly<Record<DaemonName, unknown>>;

/**
 * Contents of the settings files of one instance. They have to match `EntrySettingsSchema` and
 * `ControlSettingsSchema` in `@cuminsill/validation`.
 */
export function makeDaemonSettings(input: DaemonSettingsInput): DaemonSettings {
  const {id, regionId, failureDomainId, ...addresses} = input.instance;
  const instance = {id, regionId, failureDomainId};
  const seeds = input.instances
    .filter(other => other.id !== id)
    .slice(0, seedCount)
    .map(other => other.controlPeerAddress);
  const tokenSha256 = createHash('sha256').update(input.operatorToken).digest('hex');
  return {
    entry: {
      instance,
      callers: addresses.callerAddress,
      peers: addresses.entryPeerAddress,
      control: addresses.controlPeerAddress,
      peerKey: input.sharedKey,
      ...quickEntrySettings,
    },
    control: {
      instance,
      callers: addresses.callerAddress,
      entryPeers: addresses.entryPeerAddress,
      peers: addresses.controlPeerAddress,
      operators: input.operatorAddress,
      store: input.storeAddress,
      instanceList: input.instanceListAddress,
      seeds,
      peerKey: input.sharedKey,
      operatorTokens: [{name: 'demo', role: 'operator', tokenSha256}],
    },
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
