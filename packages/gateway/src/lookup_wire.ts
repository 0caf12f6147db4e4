/** How callers and the platform ask a gateway about itself. Paths and formats belong to the platform's adapter. */
import type {SocketAddress} from '@cuminsill/types';

/** Where the caller is that asks for gateways. */
export interface LookupQuery {
  readonly region: string | undefined;
  readonly failureDomain: string | undefined;
}

/** Answer to a look-up. */
export interface LookupAnswer {
  readonly addresses: readonly SocketAddress[];
  /** Time for which the caller may use the answer, in milliseconds. */
  readonly ttlMs: number;
}

/** Reads questions and writes answers. */
export interface LookupWire {
  readonly lookupPath: string;
  readonly readinessPath: string;
  readQuery(query: URLSearchParams): LookupQuery;
  /** The answer as JSON text. */
  writeAnswer(answer: LookupAnswer): string;
}
