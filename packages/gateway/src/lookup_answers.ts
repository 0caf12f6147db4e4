/**
 * Answers look-ups with the serving gateways of the caller's region, so that requests cross regions only between
 * gateway and target. When the region has none, the answer names all serving gateways.
 */
import type {GatewayRecord} from './gateway_types';
import type {LookupAnswer, LookupQuery} from './lookup_wire';

/** Maximum number of addresses that callers use. */
export const maxAddresses = 64;
/** Short, so that callers soon stop using a crashed gateway. */
const lookupTtlMs = 2_000;

/** Chooses the gateways to name in the answer. */
export function answerLookup(
  query: LookupQuery,
  servingGateways: readonly GatewayRecord[],
  maxTtlMs: number,
): LookupAnswer {
  const inCallerRegion = servingGateways.filter(({region}) => region === query.region);
  const named = inCallerRegion.length > 0 ? inCallerRegion : servingGateways;
  const ordered = [...named].sort((a, b) => (a.name < b.name ? -1 : 1));
  return {
    addresses: ordered.slice(0, maxAddresses).map(({callerAddress}) => callerAddress),
    ttlMs: Math.min(lookupTtlMs, maxTtlMs),
  };
}
