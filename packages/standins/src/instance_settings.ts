/** Settings files of the instances of an example deployment. */
import {createHash} from 'node:crypto';
import type {Instance, SocketAddress} from '@cuminsill/types';
import type {ControlSettingsSchema, EntrySettingsSchema} from '@cuminsill/validation';
import type {Schema} from 'effect';
import type {Deployment} from './deployment';

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
  /** Token of the operator called `viewer`, who may only read. */
  readonly viewerToken: string;
}

/** Peers of the first instances of a deployment are enough to find all others. */
const seedInstances = 3;

/** Settings of the entry process of one instance. */
export function entrySettingsFor(
  instance: Instance,
  surroundings: InstanceSurroundings,
): EntrySettingsFile {
  return {
    instance: identityOf(instance),
    callers: instance.callerAddress,
    peers: instance.entryPeerAddress,
    control: instance.controlPeerAddress,
    peerKey: surroundings.peerKey,
  };
}

/** Settings of the control process of one instance. */
export function controlSettingsFor(
  deployment: Deployment,
  instance: Instance,
  surroundings: InstanceSurroundings,
): ControlSettingsFile {
  const index = deployment.instances.indexOf(instance);
  return {
    instance: identityOf(instance),
    callers: instance.callerAddress,
    entryPeers: instance.entryPeerAddress,
    peers: instance.controlPeerAddress,
    operators: {host: instance.callerAddress.host, port: deployment.operatorPorts[index] ?? 0},
    store: surroundings.store,
    instanceList: surroundings.instanceList,
    seeds: deployment.instances.slice(0, seedInstances).map(seed => seed.controlPeerAddress),
    peerKey: surroundings.peerKey,
    operatorTokens: [
      {name: 'operator', role: 'operator', tokenSha256: sha256(surroundings.operatorToken)},
      {name: 'viewer', role: 'viewer', tokenSha256: sha256(surroundings.viewerToken)},
    ],
  };
}

function identityOf(instance: Instance) {
  return {
    id: instance.id,
    regionId: instance.regionId,
    failureDomainId: instance.failureDomainId,
  };
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
