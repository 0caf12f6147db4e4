/**
 * Chooses to which gateways a heartbeat goes.
 *
 * The pattern: with hundreds of gateways, a gateway cannot send each heartbeat to all others, and one that is heard only in
 * turn counts as dead in between. Each heartbeat therefore goes to a few gateways and passes on what its sender has heard
 * since its last one, as in gossip-style failure detection (van Renesse 1998). Most receivers are in the sender's failure
 * domain, because bandwidth between regions is low: a domain sends a few heartbeats in an interval to the rest of its region,
 * and a region a few to other regions, whatever their sizes.
 */

import type {Random} from './shuffle';
import {sample} from './shuffle';

/** Where a gateway runs. */
export interface GatewayPlace {
  readonly region: string;
  readonly failureDomain: string;
}

/** With at most this many peers, each heartbeat goes to all of them and passes nothing on. */
export const maxDirectPeers = 12;
/** Receivers of a heartbeat in the sender's failure domain, and elsewhere as far as the domain has fewer gateways. */
const minReceivers = 8;
/** Heartbeats in an interval from one failure domain to the others of its region. */
const heartbeatsToRegion = 10;
/** Heartbeats in an interval from one region to all others. */
const heartbeatsToOtherRegions = 16;

/** True if a heartbeat reaches only a part of the peers, so that it has to pass on those of others. */
export function needsRelays(peerCount: number): boolean {
  return peerCount > maxDirectPeers;
}

/** Chooses the receivers of one heartbeat. */
export function chooseReceivers<Peer extends GatewayPlace>(
  peers: readonly Peer[],
  own: GatewayPlace,
  random: Random,
): readonly Peer[] {
  if (!needsRelays(peers.length)) return peers;
  const inRegion = peers.filter(({region}) => region === own.region);
  const inDomain = inRegion.filter(({failureDomain}) => failureDomain === own.failureDomain);
  const inOtherDomains = inRegion.filter(({failureDomain}) => failureDomain !== own.failureDomain);
  const inOtherRegions = peers.filter(({region}) => region !== own.region);
  const sendsToRegion = random() * (inDomain.length + 1) < heartbeatsToRegion;
  const sendsToOtherRegions = random() * (inRegion.length + 1) < heartbeatsToOtherRegions;
  const near = sample(inDomain, minReceivers, random);
  const missingNear = minReceivers - near.length;
  const around = sample(inOtherDomains, Math.max(missingNear, sendsToRegion ? 1 : 0), random);
  const missing = missingNear - around.length;
  const far = sample(inOtherRegions, Math.max(missing, sendsToOtherRegions ? 1 : 0), random);
  return [...near, ...around, ...far];
}
