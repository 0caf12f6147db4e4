/** Creates the feeds that keep a gateway's views up to date with the store. */
import type {GatewayParts} from '../gateway_parts';
import type {GatewayPorts} from '../gateway_ports';
import type {GatewayRecord} from '../gateway_types';
import type {FeedUrgency} from './feed_timing';
import {feedTiming} from './feed_timing';
import type {ConfirmationMode} from './confirmed_read';
import type {FeedSink, ReadConfirmation} from './feed_sink';
import {ObjectFeed} from './object_feed';
import type {ObjectSource} from './object_source';
import {StoreCircuit} from './store_circuit';

/** A view that takes lists and changes but does not handle outages of the store. */
type ObjectView<Content> = Pick<FeedSink<Content>, 'replace' | 'apply'>;

/** The feeds of a gateway. */
export interface GatewayFeeds {
  readonly all: ReadonlyArray<ObjectFeed<unknown>>;
  /** Feeds of objects whose changes must take effect within a bound. Heartbeats show which gateways are alive. */
  readonly bounded: ReadonlyArray<ObjectFeed<unknown>>;
  readonly circuit: Pick<StoreCircuit, 'isClosed'>;
}

/**
 * Makes the feeds of a gateway; each runs until interrupted.
 * @param onOwnRecord Called with whether the gateway's own record is listed, after each change of the gateways' records.
 */
export function makeFeeds(
  parts: GatewayParts,
  ports: GatewayPorts,
  onOwnRecord: (isListed: boolean) => void,
): GatewayFeeds {
  const {configuration, targets, evacuations, peers} = parts;
  const gatewayView: ObjectView<GatewayRecord> = {
    replace: list => {
      peers.replace(list);
      onOwnRecord(peers.isOwnRecordListed);
    },
    apply: changes => {
      peers.apply(changes);
      onOwnRecord(peers.isOwnRecordListed);
    },
  };
  const all: ObjectFeed<unknown>[] = [];
  const circuit = new StoreCircuit();
  const context: FeedContext = {
    parts,
    circuit,
    onOutageEnded: (outageMs, callStartedAtMs) => {
      targets.onStoreConnected(outageMs);
      for (const feed of all) feed.resync(callStartedAtMs);
    },
  };
  const bounded = [
    makeFeed(context, ports.configurations, 'prompt', configuration, parts.keyLease.confirmation),
    makeFeed(context, ports.evacuations, 'prompt', evacuations),
    makeFeed(context, ports.targets, 'batched', targets),
  ];
  all.push(...bounded, makeFeed(context, ports.gateways, 'relaxed', gatewayView));
  return {all, bounded, circuit};
}

/** Configurations and evacuations are few; there can be hundreds of targets. */
const confirmationModes: Readonly<Record<FeedUrgency, ConfirmationMode>> = {
  prompt: 'list',
  batched: 'changes',
  relaxed: 'changes',
};

/** What the feeds of a gateway share. */
interface FeedContext {
  readonly parts: GatewayParts;
  readonly circuit: StoreCircuit;
  /**
   * Called when the store has answered again after an outage that one feed has noticed.
   * @param callStartedAtMs Start of the call that was answered.
   */
  readonly onOutageEnded: (outageMs: number, callStartedAtMs: number) => void;
}

/** Makes a feed that also logs when the store becomes unavailable and available. */
function makeFeed<Content>(
  {parts, circuit, onOutageEnded}: FeedContext,
  source: ObjectSource<Content>,
  urgency: FeedUrgency,
  view: ObjectView<Content>,
  confirmation?: ReadConfirmation,
): ObjectFeed<unknown> {
  const {defects, log, settings, time} = parts;
  const {kind} = source;
  const sink: FeedSink<Content> = {
    confirmation,
    onDefect: error => defects.record('feed', error),
    replace: list => view.replace(list),
    apply: changes => view.apply(changes),
    onConnected: (outageMs, callStartedAtMs) => {
      log.event('store', {kind, connected: true, outageMs: Math.round(outageMs)});
      if (outageMs > 0) onOutageEnded(outageMs, callStartedAtMs);
    },
    onDisconnected: ({message: reason}, {callMs, answerAgeMs}) =>
      log.event('store', {
        kind,
        connected: false,
        reason,
        callMs: Math.round(callMs),
        answerAgeMs: answerAgeMs === undefined ? undefined : Math.round(answerAgeMs),
      }),
  };
  const timing = () => feedTiming(urgency, settings.value.bounds.resyncMs);
  const options = {circuit, confirmationMode: confirmationModes[urgency]};
  return new ObjectFeed(source, timing, sink, time, options) as ObjectFeed<unknown>;
}
