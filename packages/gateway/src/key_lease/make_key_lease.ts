/** Connects the lease on the keys with the other parts of a gateway. */
import {randomUUID} from 'node:crypto';
import type {TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {CurrentSettings} from '../gateway_settings';
import type {GatewayRecord} from '../gateway_types';
import type {CoordinationChannel} from '../peers/coordination_channel';
import type {PeerTable} from '../peers/peer_table';
import type {ConfigurationView} from '../store/configuration_view';
import type {ObjectFeed} from '../store/object_feed';
import {ElapsedClock} from './elapsed_clock';
import type {EvidenceResult, LeaseEnvironment, ReadResult} from './strict_key_lease';
import {StrictKeyLease} from './strict_key_lease';

/** Feature of gateways that supply evidence to others. */
export const leaseFeature = 'lease';
const queryKind = 'lease-query';
const evidenceKind = 'lease-evidence';
const tickIntervalMs = 100;

/** A lease that runs until it is stopped. */
export interface RunningKeyLease extends StrictKeyLease {
  start(): void;
  stop(): void;
}

/** What the lease needs of a gateway. */
export interface LeasePorts {
  readonly settings: CurrentSettings;
  readonly configuration: Pick<ConfigurationView, 'workspaces' | 'accountedVersion'>;
  readonly coordination: CoordinationChannel;
  readonly peers: Pick<PeerTable, 'livePeers'>;
  readonly metrics: {keyEvidence(result: EvidenceResult): void};
  readonly log: {event(line: 'lease', fields: Readonly<Record<string, unknown>>): void};
}

/** The part of the configuration's feed that the lease uses. */
type ConfigurationFeed = Pick<ObjectFeed<unknown>, 'confirm' | 'state'>;

/** Makes the lease of a gateway. The parts and the feed are asked for only after `start`. */
export function makeKeyLease(
  time: TimeSource,
  parts: () => LeasePorts,
  feed: () => ConfigurationFeed | undefined,
): RunningKeyLease {
  const lease = new StrictKeyLease(
    makeEnvironment(parts, feed),
    new ElapsedClock(time),
    randomUUID(),
  );
  let timer: NodeJS.Timeout | undefined;
  return Object.assign(lease, {
    start: () => {
      handleMessages(lease, parts());
      timer = setInterval(() => lease.tick(), tickIntervalMs);
    },
    stop: () => clearInterval(timer),
  });
}

function handleMessages(lease: StrictKeyLease, {coordination}: LeasePorts): void {
  coordination.handle(queryKind, ({fields, reply}) => {
    const answer = lease.answerQuery(fields);
    if (answer !== undefined) reply(evidenceKind, answer);
  });
  coordination.handle(evidenceKind, ({fields, sender}) =>
    lease.receiveEvidence(fields, sender.name),
  );
}

function makeEnvironment(
  parts: () => LeasePorts,
  feed: () => ConfigurationFeed | undefined,
): LeaseEnvironment {
  return {
    boundMs: () => parts().settings.value.bounds.keyRevocationMs,
    requiresKeys: () => parts().configuration.workspaces.requiresKeys,
    accountedVersion: () => parts().configuration.accountedVersion,
    isStoreConnected: () => feed()?.state().connected === true,
    peerCount: () => leasePeers(parts()).length,
    sendQuery: (fields, receiverCount) => {
      const {coordination} = parts();
      for (const peer of chooseAtRandom(leasePeers(parts()), receiverCount)) {
        coordination.send(peer, leaseFeature, queryKind, fields);
      }
    },
    read: done => readConfiguration(feed(), done),
    onEvidence: result => parts().metrics.keyEvidence(result),
    onChange: change => parts().log.event('lease', {...change}),
  };
}

function leasePeers({peers}: LeasePorts): readonly GatewayRecord[] {
  return peers.livePeers().filter(({features}) => features?.includes(leaseFeature) === true);
}

function chooseAtRandom<Item>(items: readonly Item[], count: number): readonly Item[] {
  const remaining = [...items];
  const chosenCount = Math.min(count, remaining.length);
  return Array.from({length: chosenCount}, () => {
    const index = Math.floor(Math.random() * remaining.length);
    return remaining.splice(index, 1);
  }).flat();
}

function readConfiguration(
  feed: ConfigurationFeed | undefined,
  done: (result: ReadResult) => void,
): void {
  const read = feed === undefined ? Effect.succeed(false) : feed.confirm();
  const result = Effect.match(read, {
    onFailure: (): ReadResult => 'failed',
    onSuccess: (isConfirmed): ReadResult => (isConfirmed ? 'confirmed' : 'skipped'),
  });
  Effect.runFork(
    Effect.catchAllCause(result, () => Effect.succeed<ReadResult>('failed')).pipe(
      Effect.tap(ended => Effect.sync(() => done(ended))),
    ),
  );
}
