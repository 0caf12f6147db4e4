/**
 * Which gateways a caller is told: those of its own region, so that requests cross regions only between gateway and
 * target, and all others when its region has none.
 */
import type {GatewayRecord} from './gateway_types';
import type {LookupAnswer, LookupQuery} from './lookup_wire';

/** Callers use at most this many addresses. */
export const maxAddresses = 64;
/** Short, so that callers soon stop using a gateway that lost power. */
const lookupTtlMs = 2_000;

/** Chooses the gateways to name. */
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
