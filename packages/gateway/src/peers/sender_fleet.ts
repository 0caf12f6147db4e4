/**
 * The gateways among which a bound on the requests of all of them is divided by rank.
 *
 * The bound counts the requests of every gateway, also of one that is cut off or was just started. Membership therefore comes
 * from the store's list and not from heartbeats: silence gives no rank to another gateway, because the silent one may go on
 * sending. A gateway whose record was removed keeps its rank for a while, and one that is heard without a record has one.
 *
 * A gateway sends by rank only once all others that may do so know it. So any two senders know each other, and of those that
 * send within one interval the last in rank has counted all others.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {PeerTable} from './peer_table';

/** Times after which gateways know each other. */
export interface SenderFleetTiming {
  /** Minimum time between two requests of a sender. */
  readonly sendIntervalMs: number;
  /** Time within which gateways that reach the store have read a new record. */
  readonly maxListLagMs: number;
}

/** The fleet as one gateway knows it. */
export class SenderFleet {
  constructor(
    private readonly peers: Pick<PeerTable, 'knownGatewayNames' | 'ownListing'>,
    private readonly time: TimeSource,
    private readonly timing: SenderFleetTiming,
  ) {}

  /** Names of the gateways that are ranked, including this one; undefined while this gateway may not send by rank. */
  names(): readonly string[] | undefined {
    const {ownListing} = this.peers;
    if (ownListing === undefined) return undefined;
    const {sendIntervalMs, maxListLagMs} = this.timing;
    // A former process may have sent just before this one started, and the others know its record. They have yet to read a
    // new record, and a gateway that loses its rank by it may have sent just before.
    const waitMs = ownListing.isFromFormerProcess ? sendIntervalMs : sendIntervalMs + maxListLagMs;
    if (this.time.monotonicMs() - ownListing.sinceMs < waitMs) return undefined;
    return this.peers.knownGatewayNames();
  }
}
