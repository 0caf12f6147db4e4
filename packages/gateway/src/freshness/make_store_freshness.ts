/** Connects the freshness of the store's state with the other parts of a gateway. */
import {Cause, Effect} from 'effect';
import type {GatewayParts} from '../gateway_parts';
import type {GatewayRecord} from '../gateway_types';
import type {MessageFields} from '../peers/coordination_channel';
import {chooseReceivers, needsRelays} from '../peers/peer_gossip';
import type {ObjectFeed} from '../store/object_feed';
import type {GatewayFeeds} from '../store/gateway_feeds';
import type {ReadReport} from './read_failures';
import {ReadFailures} from './read_failures';
import {readerRank} from './reader_rank';
import type {StoreEvidence} from './store_evidence';
import {encodeEvidence} from './store_evidence';
import type {BoundedFeed} from './bounded_feed';
import type {FreshnessEnvironment} from './store_freshness';
import {StoreFreshness} from './store_freshness';

/** Feature of gateways that read the store for others and use what others have read. */
export const freshnessFeature = 'freshness';
const evidenceKind = 'store-evidence';
const tickIntervalMs = 100;

/** Freshness that is kept until it is stopped. */
export interface RunningStoreFreshness extends StoreFreshness {
  start(): void;
  stop(): void;
}

/** What the freshness needs of a gateway. */
export type FreshnessPorts = Pick<
  GatewayParts,
  'settings' | 'time' | 'peers' | 'coordination' | 'log' | 'metrics'
>;

/**
 * Keeps the feeds of a gateway fresh.
 * @param startedAtMs Start of the process in milliseconds since the Unix epoch.
 */
export function makeStoreFreshness(
  ports: FreshnessPorts,
  ownRecord: GatewayRecord,
  feeds: GatewayFeeds,
  startedAtMs: number,
): RunningStoreFreshness {
  const environment = makeEnvironment(ports, ownRecord, feeds);
  const freshness = new StoreFreshness(environment, startedAtMs);
  let timer: NodeJS.Timeout | undefined;
  return Object.assign(freshness, {
    start: () => {
      ports.coordination.handle(evidenceKind, ({fields}) => freshness.receive(fields));
      timer = setInterval(() => freshness.tick(), tickIntervalMs);
    },
    stop: () => clearInterval(timer),
  });
}

function makeEnvironment(
  ports: FreshnessPorts,
  ownRecord: GatewayRecord,
  {bounded, circuit}: GatewayFeeds,
): FreshnessEnvironment {
  const {settings, time, peers, coordination, log, metrics} = ports;
  const feeds = bounded.map(feed => boundedFeed(feed, report => log.event('store', report)));
  const send = (evidence: StoreEvidence, receivers: readonly GatewayRecord[]) => {
    const fields: MessageFields = encodeEvidence(evidence, time.monotonicMs());
    for (const receiver of receivers) {
      coordination.send(receiver, freshnessFeature, evidenceKind, fields);
    }
  };
  const receivers = () => chooseReceivers(peers.otherGateways(), ownRecord, Math.random);
  return {
    ownName: ownRecord.name,
    nowMs: () => time.monotonicMs(),
    boundMs: () => settings.value.bounds.changeMs,
    feeds: () => feeds,
    isStoreAvailable: () => circuit.isClosed,
    rank: () => readerRank(ownRecord, possibleReaders(ports)),
    send: evidence => send(evidence, receivers()),
    forward: evidence => {
      if (needsRelays(peers.otherGateways().length)) send(evidence, receivers());
    },
    onEvidence: result => metrics.storeEvidence(result),
    onBehind: (kind, revision, changedAtRevision) =>
      log.event('store', {event: 'behind', kind, revision, changedAtRevision}),
  };
}

function boundedFeed(feed: ObjectFeed<unknown>, report: (report: ReadReport) => void): BoundedFeed {
  const {kind} = feed.state();
  const failures = new ReadFailures(kind, report);
  return {
    kind,
    progress: () => feed.progress(),
    pollNow: () => feed.pollNow(),
    confirm: (reached, done) => {
      const read = Effect.matchCause(feed.confirm(reached), {
        onFailure: cause => {
          failures.onFailure(String(Cause.squash(cause)));
          done(false);
        },
        onSuccess: isConfirmed => {
          failures.onSuccess();
          done(isConfirmed);
        },
      });
      Effect.runFork(read);
    },
  };
}

/** The other gateways that may read for this one, with those that it has had no time to hear. */
function possibleReaders({peers}: FreshnessPorts): readonly GatewayRecord[] {
  return peers.presumedActiveGatewayNames().flatMap(name => {
    const record = peers.findGateway(name);
    return record?.features?.includes(freshnessFeature) === true ? [record] : [];
  });
}
