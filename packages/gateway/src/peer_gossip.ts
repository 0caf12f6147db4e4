/**
 * Chooses to which gateways a heartbeat goes, and which heartbeats of other gateways it passes on.
 *
 * The pattern: with hundreds of gateways, a gateway cannot send each heartbeat to all others, and one that is heard only in
 * turn counts as dead in between. Each heartbeat therefore goes to a few gateways at random and carries the latest
 * heartbeats of others, as in gossip-style failure detection (van Renesse 1998). The number of messages does not grow with the
 * fleet; their size does, up to a bound.
 */

/** Number of gateways that a heartbeat goes to. */
export const maxReceivers = 12;
/**
 * Fraction of the fleet whose heartbeats are passed on with a heartbeat. With it the others hear of nearly every heartbeat of a
 * gateway, and a few lost ones do not make it count as dead.
 */
const relayedFraction = 0.35;
/** Bounds the size of a datagram; enough for 340 gateways. */
const maxRelayedHeartbeats = 120;

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/** Chooses receivers at random; all peers while they are few. */
export function chooseReceivers<Peer>(peers: readonly Peer[], random: Random): readonly Peer[] {
  return sample(peers, maxReceivers, random);
}

/** True if a heartbeat reaches only a part of the peers, so that it has to carry heartbeats of others. */
export function needsRelays(peerCount: number): boolean {
  return peerCount > maxReceivers;
}

/** Number of heartbeats of others that a heartbeat carries. */
export function relayedCount(peerCount: number): number {
  if (!needsRelays(peerCount)) return 0;
  return Math.min(maxRelayedHeartbeats, Math.ceil(peerCount * relayedFraction));
}

/** Returns up to `count` different elements at random, in random order. */
export function sample<Element>(
  elements: readonly Element[],
  count: number,
  random: Random,
): readonly Element[] {
  const pool = [...elements];
  const sampleSize = Math.min(count, pool.length);
  for (let index = 0; index < sampleSize; index += 1) {
    const other = index + Math.floor(random() * (pool.length - index));
    [pool[index], pool[other]] = [pool[other] as Element, pool[index] as Element];
  }
  return pool.slice(0, sampleSize);
}
