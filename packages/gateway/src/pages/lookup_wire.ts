/** Paths and formats of look-ups and readiness checks, which the platform's adapter defines. */
import type {SocketAddress} from '@cuminsill/types';

/** Location of the caller that makes a look-up. */
export interface LookupQuery {
  readonly region: string | undefined;
  readonly failureDomain: string | undefined;
}

/** Answer to a look-up. */
export interface LookupAnswer {
  readonly addresses: readonly SocketAddress[];
  /** How long the caller may use the answer, in milliseconds. */
  readonly ttlMs: number;
}

/** Reads look-up queries and writes answers. */
export interface LookupWire {
  readonly lookupPath: string;
  readonly readinessPath: string;
  readQuery(query: URLSearchParams): LookupQuery;
  /** Returns the answer as JSON text. */
  writeAnswer(answer: LookupAnswer): string;
}
