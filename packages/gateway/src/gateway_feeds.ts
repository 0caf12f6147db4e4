/** What a gateway follows in the store, at which pace, and where it goes. */
import type {GatewayParts} from './gateway_parts';
import type {GatewayPorts} from './gateway_ports';
import type {FeedPace, FeedSink} from './object_feed';
import {ObjectFeed} from './object_feed';
import type {ObjectSource} from './object_source';

/** A silent connection to the store is noticed within the wait and the time-out of a call. */
const watchWaitMs = 3_000;
/** Configurations and evacuations change seldom and count at once. */
const rarePace: FeedPace = {waitMs: watchWaitMs, gapMs: 50};
/** Targets change often; several changes are fetched together. */
const targetPace: FeedPace = {waitMs: watchWaitMs, gapMs: 600};
/** Other gateways are told apart by their heartbeats, so their list may lag. */
const gatewayPace: FeedPace = {waitMs: 20_000, gapMs: 500};

/** A view that takes lists and changes and does not care about outages. */
type View<Content> = Pick<FeedSink<Content>, 'replace' | 'apply'>;

/** Makes the feeds of a gateway; each runs until interrupted. */
export function makeFeeds(
  parts: GatewayParts,
  ports: GatewayPorts,
): ReadonlyArray<ObjectFeed<unknown>> {
  const {configuration, targets, evacuations, peers} = parts;
  const targetSink = {
    replace: targets.replace.bind(targets),
    apply: targets.apply.bind(targets),
    regained: (outageMs: number) => targets.storeRegained(outageMs),
  };
  return [
    makeFeed(parts, ports.configurations, rarePace, sinkOf(configuration)),
    makeFeed(parts, ports.evacuations, rarePace, sinkOf(evacuations)),
    makeFeed(parts, ports.targets, targetPace, targetSink),
    makeFeed(parts, ports.gateways, gatewayPace, sinkOf(peers)),
  ];
}

/** A feed that logs when the store is lost and regained. */
function makeFeed<Content>(
  {log, time}: GatewayParts,
  source: ObjectSource<Content>,
  pace: FeedPace,
  sink: Omit<FeedSink<Content>, 'lost'>,
): ObjectFeed<unknown> {
  const logged: FeedSink<Content> = {
    ...sink,
    regained: outageMs => {
      sink.regained(outageMs);
      log.belief('store', {kind: source.kind, connected: true, outageMs: Math.round(outageMs)});
    },
    lost: error =>
      log.belief('store', {kind: source.kind, connected: false, reason: error.message}),
  };
  return new ObjectFeed(source, pace, logged, time) as ObjectFeed<unknown>;
}

function sinkOf<Content>(view: View<Content>): Omit<FeedSink<Content>, 'lost'> {
  return {
    replace: list => view.replace(list),
    apply: changes => view.apply(changes),
    regained: () => undefined,
  };
}
