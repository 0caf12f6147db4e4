/** Settings files of the entry and control processes of a deployment's instances. */
import {createHash} from 'node:crypto';
import type {Instance, SocketAddress} from '@cuminsill/types';
import type {ControlSettingsSchema, EntrySettingsSchema} from '@cuminsill/validation';
import type {Schema} from 'effect';
import type {Deployment} from './example_deployments';

/** Content of a settings file of `cuminsill-entry`. */
export type EntrySettingsFile = Schema.Schema.Encoded<typeof EntrySettingsSchema>;

/** Content of a settings file of `cuminsill-control`. */
export type ControlSettingsFile = Schema.Schema.Encoded<typeof ControlSettingsSchema>;

/** Addresses and secrets that all instances of a deployment share. */
export interface SharedInstanceSettings {
  readonly store: SocketAddress;
  readonly instanceList: SocketAddress;
  readonly peerKey: string;
  /** Token of the operator named `operator`. */
  readonly operatorToken: string;
  /** Token of the read-only operator named `viewer`; undefined leaves this operator out. */
  readonly viewerToken?: string;
}

/** The part of a deployment from which its settings files are made. */
export type DeploymentInstances = Pick<Deployment, 'instances' | 'operatorPorts'>;

/** A few seeds are enough for an instance to discover all others. */
const maxSeeds = 3;

/** Makes the settings of an instance's entry process. */
export function entrySettingsFor(
  instance: Instance,
  shared: SharedInstanceSettings,
): EntrySettingsFile {
  return {
    instance: instanceIdentity(instance),
    callers: instance.callerAddress,
    peers: instance.entryPeerAddress,
    control: instance.controlPeerAddress,
    peerKey: shared.peerKey,
  };
}

/** Makes the settings of an instance's control process. */
export function controlSettingsFor(
  deployment: DeploymentInstances,
  instance: Instance,
  shared: SharedInstanceSettings,
): ControlSettingsFile {
  const index = deployment.instances.indexOf(instance);
  return {
    instance: instanceIdentity(instance),
    callers: instance.callerAddress,
    entryPeers: instance.entryPeerAddress,
    peers: instance.controlPeerAddress,
    operators: {host: instance.callerAddress.host, port: deployment.operatorPorts[index] ?? 0},
    store: shared.store,
    instanceList: shared.instanceList,
    seeds: deployment.instances
      .filter(other => other.id !== instance.id)
      .slice(0, maxSeeds)
      .map(seed => seed.controlPeerAddress),
    peerKey: shared.peerKey,
    operatorTokens: operatorTokensOf(shared),
  };
}

function operatorTokensOf({
  operatorToken,
  viewerToken,
}: SharedInstanceSettings): NonNullable<ControlSettingsFile['operatorTokens']> {
  const operator = {
    name: 'operator',
    role: 'operator',
    tokenSha256: sha256(operatorToken),
  } as const;
  if (viewerToken === undefined) return [operator];
  return [operator, {name: 'viewer', role: 'viewer', tokenSha256: sha256(viewerToken)}];
}

function instanceIdentity(instance: Instance) {
  return {
    id: instance.id,
    regionId: instance.regionId,
    failureDomainId: instance.failureDomainId,
  };
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
