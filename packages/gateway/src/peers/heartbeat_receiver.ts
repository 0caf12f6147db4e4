/** Hands the content of received heartbeats to the parts of the gateway that use it. */
import type {DecisionLog} from '../logs/decision_log';
import type {PoisonTracker} from '../poison/poison_tracker';
import type {PeerMessage} from './peer_message';
import type {PeerTable} from './peer_table';

/** What heartbeats concern. */
export interface HeartbeatConsumers {
  readonly peers: PeerTable;
  readonly poison: PoisonTracker;
  readonly log: Pick<DecisionLog, 'event'>;
}

/** Receives the heartbeats of other gateways. */
export class HeartbeatReceiver {
  /** Start of the process of each gateway whose heartbeats were read only in part. */
  private readonly partlyReadSenders = new Map<string, number>();

  /** @param onNewSender Called when a gateway has started that knows nothing of what was sent before. */
  constructor(
    private readonly consumers: HeartbeatConsumers,
    private readonly onNewSender: () => void,
  ) {}

  /** Records the sender's state, the heartbeats that it passes on, and its evidence of poison requests. */
  receive(message: PeerMessage): void {
    const {peers, poison} = this.consumers;
    this.reportUnreadableEntries(message);
    const isNewSender = peers.recordHeartbeat(message);
    const isNewRelayed = peers.recordRelayed(message.relayed);
    if (isNewSender || isNewRelayed) this.onNewSender();
    poison.mergeSuspicions(message.suspicions, message.name);
    poison.mergeAnswers(message.answers, message.name);
  }

  /** Logs once per process of a sender that its heartbeats hold entries which this build cannot read. */
  private reportUnreadableEntries({name, startedAtMs, unreadableEntries}: PeerMessage): void {
    const {peers, log} = this.consumers;
    if (unreadableEntries === undefined || peers.findGateway(name) === undefined) return;
    if (this.partlyReadSenders.get(name) === startedAtMs) return;
    this.partlyReadSenders.set(name, startedAtMs);
    log.event('peer', {event: 'heartbeat read in part', from: name, unreadableEntries});
  }
}
