/**
 * Answers look-ups with the serving gateways of the caller's region, so that requests cross regions only between
 * gateway and target. Gateways that have lost connectivity to the targets are named only when the region has no others; when it
 * has no gateway at all, the answer names those of all regions.
 */
import type {GatewayRecord} from '../gateway_types';
import type {LookupAnswer, LookupQuery} from './lookup_wire';

/** Maximum number of addresses that callers use. */
export const maxAddresses = 64;
/** Short, so that callers soon stop using a crashed gateway. */
const lookupTtlMs = 2_000;

/** The gateways that take requests of callers. */
export interface NamedGateways {
  readonly serving: readonly GatewayRecord[];
  /** Gateways that serve through others, because they do not reach the targets. */
  readonly isolated: readonly GatewayRecord[];
}

/** Chooses the gateways to name in the answer. */
export function answerLookup(
  query: LookupQuery,
  {serving, isolated}: NamedGateways,
  maxTtlMs: number,
): LookupAnswer {
  const inCallerRegion = ({region}: GatewayRecord) => region === query.region;
  const choices = [
    serving.filter(inCallerRegion),
    isolated.filter(inCallerRegion),
    serving,
    isolated,
  ];
  const named = choices.find(({length}) => length > 0) ?? [];
  const ordered = [...named].sort((a, b) => (a.name < b.name ? -1 : 1));
  return {
    addresses: ordered.slice(0, maxAddresses).map(({callerAddress}) => callerAddress),
    ttlMs: Math.min(lookupTtlMs, maxTtlMs),
  };
}
