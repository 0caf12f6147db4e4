/** Settings files of the instances of an example deployment. */
import {createHash} from 'node:crypto';
import type {Instance, SocketAddress} from '@cuminsill/types';
import type {ControlSettingsSchema, EntrySettingsSchema} from '@cuminsill/validation';
import type {Schema} from 'effect';
import type {Deployment} from './example_deployments';

/** Contents of a settings file of `cuminsill-entry`. */
export type EntrySettingsFile = Schema.Schema.Encoded<typeof EntrySettingsSchema>;

/** Contents of a settings file of `cuminsill-control`. */
export type ControlSettingsFile = Schema.Schema.Encoded<typeof ControlSettingsSchema>;

/** What the instances of a deployment have in common. */
export interface InstanceSurroundings {
  readonly store: SocketAddress;
  readonly instanceList: SocketAddress;
  readonly peerKey: string;
  /** Token of the operator called `operator`. */
  readonly operatorToken: string;
  /** Token of the operator called `viewer`, who may only read; without it there is no such operator. */
  readonly viewerToken?: string;
}

/** The part of a deployment that the settings of its instances are made from. */
export type DeploymentInstances = Pick<Deployment, 'instances' | 'operatorPorts'>;

/** Peers of the first instances of a deployment are enough to find all others. */
const maxSeeds = 3;

/** Settings of the entry process of one instance. */
export function entrySettingsFor(
  instance: Instance,
  shared: InstanceSurroundings,
): EntrySettingsFile {
  return {
    instance: instanceIdentity(instance),
    callers: instance.callerAddress,
    peers: instance.entryPeerAddress,
    control: instance.controlPeerAddress,
    peerKey: shared.peerKey,
  };
}

/** Settings of the control process of one instance. */
export function controlSettingsFor(
  deployment: DeploymentInstances,
  instance: Instance,
  shared: InstanceSurroundings,
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
}: InstanceSurroundings): NonNullable<ControlSettingsFile['operatorTokens']> {
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
