/** Creates the feeds that keep a gateway's views up to date with the store. */
import type {GatewayParts} from './gateway_parts';
import type {GatewayPorts} from './gateway_ports';
import type {GatewayRecord} from './gateway_types';
import type {FeedTiming, FeedSink} from './object_feed';
import {ObjectFeed} from './object_feed';
import type {ObjectSource} from './object_source';

/** A dead connection to the store is detected within this wait plus the timeout of a call. */
const longPollMs = 3_000;
/** Configurations and evacuations change rarely and must take effect at once. */
const promptTiming: FeedTiming = {maxWaitMs: longPollMs, minIntervalMs: 50};
/** Targets change often; the interval lets one call fetch several changes. */
const targetTiming: FeedTiming = {maxWaitMs: longPollMs, minIntervalMs: 600};
/** Heartbeats show which gateways are alive, so their list may lag. */
const gatewayTiming: FeedTiming = {maxWaitMs: 20_000, minIntervalMs: 500};

/** A view that takes lists and changes but does not handle outages of the store. */
type ObjectView<Content> = Pick<FeedSink<Content>, 'replace' | 'apply'>;

/**
 * Makes the feeds of a gateway; each runs until interrupted.
 * @param onOwnRecord Called with whether the gateway's own record is listed, after each change of the gateways' records.
 */
export function makeFeeds(
  parts: GatewayParts,
  ports: GatewayPorts,
  onOwnRecord: (isListed: boolean) => void,
): ReadonlyArray<ObjectFeed<unknown>> {
  const {configuration, targets, evacuations, peers} = parts;
  const targetSink = {
    replace: targets.replace.bind(targets),
    apply: targets.apply.bind(targets),
    onConnected: (outageMs: number) => targets.onStoreConnected(outageMs),
  };
  const gatewaySink = sinkFor<GatewayRecord>({
    replace: list => {
      peers.replace(list);
      onOwnRecord(peers.isOwnRecordListed);
    },
    apply: changes => {
      peers.apply(changes);
      onOwnRecord(peers.isOwnRecordListed);
    },
  });
  return [
    makeFeed(parts, ports.configurations, promptTiming, sinkFor(configuration)),
    makeFeed(parts, ports.evacuations, promptTiming, sinkFor(evacuations)),
    makeFeed(parts, ports.targets, targetTiming, targetSink),
    makeFeed(parts, ports.gateways, gatewayTiming, gatewaySink),
  ];
}

/** Makes a feed that also logs when the store becomes unavailable and available. */
function makeFeed<Content>(
  {log, time}: GatewayParts,
  source: ObjectSource<Content>,
  timing: FeedTiming,
  sink: Omit<FeedSink<Content>, 'onDisconnected'>,
): ObjectFeed<unknown> {
  const loggingSink: FeedSink<Content> = {
    ...sink,
    onConnected: outageMs => {
      sink.onConnected(outageMs);
      log.event('store', {kind: source.kind, connected: true, outageMs: Math.round(outageMs)});
    },
    onDisconnected: ({message: reason}, {callMs, answerAgeMs}) =>
      log.event('store', {
        kind: source.kind,
        connected: false,
        reason,
        callMs: Math.round(callMs),
        answerAgeMs: answerAgeMs === undefined ? undefined : Math.round(answerAgeMs),
      }),
  };
  return new ObjectFeed(source, timing, loggingSink, time) as ObjectFeed<unknown>;
}

function sinkFor<Content>(view: ObjectView<Content>): Omit<FeedSink<Content>, 'onDisconnected'> {
  return {
    replace: list => view.replace(list),
    apply: changes => view.apply(changes),
    onConnected: () => undefined,
  };
}
