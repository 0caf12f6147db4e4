/** The fleet of the quotas, from the gateways that the store lists and their heartbeats. */
import type {PeerTable} from '../peers/peer_table';
import type {QuotaFleet} from './quota_fleet';
import {quotaFeature} from './quota_messages';

/**
 * Returns the fleet as the peer table has it now.
 * @param windowMs Window of the limits, in milliseconds.
 */
export function fleetOf(
  peers: PeerTable,
  windowMs: () => number,
  isLeaving: () => boolean,
): QuotaFleet {
  return {
    ownName: peers.ownRecord.name,
    peers: () =>
      peers
        .otherGateways()
        .filter(({features}) => features?.includes(quotaFeature) === true)
        .map(({name}) => ({
          name,
          heartbeatAgeMs: peers.heartbeatAgeMs(name),
          isLeaving: peers.isLeaving(name),
        })),
    countAlive: maxHeartbeatAgeMs =>
      1 +
      peers.otherGateways().filter(({name}) => peers.heartbeatAgeMs(name) <= maxHeartbeatAgeMs)
        .length,
    size: () => peers.fleetSize(windowMs()),
    isLeaving,
  };
}
