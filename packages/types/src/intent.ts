/**
 * An intent is a change of traffic that an operator asks for; a plan shows what an intent would change. An intent
 * takes effect only when its plan is confirmed.
 */

/** Share of traffic for one target region, from 0 to 1. */
export interface RegionShare {
  readonly regionId: string;
  readonly share: number;
}

/** Splits the requests for one service from the callers of one region among target regions. */
export interface RouteIntent {
  readonly kind: 'route';
  readonly id: string;
  readonly serviceId: string;
  readonly callerRegionId: string;
  /** Shares per target region; they add up to 1. */
  readonly shares: readonly RegionShare[];
  /** Maximum share of requests that may change region within any window, above 0 and at most 1. */
  readonly maxMovedShare: number;
  /** Length of the window in seconds. */
  readonly windowS: number;
}

/** Sends no new requests to the targets of a site, for example before maintenance. */
export interface DrainIntent {
  readonly kind: 'drain';
  readonly id: string;
  readonly siteId: string;
}

/** Drains a site whose targets will be stopped afterwards. */
export interface StopIntent {
  readonly kind: 'stop';
  readonly id: string;
  readonly siteId: string;
}

/** Any kind of intent. */
export type Intent = RouteIntent | DrainIntent | StopIntent;

/** An intent that applies, with the operator who confirmed it and the time. */
export interface ConfirmedIntent {
  readonly intent: Intent;
  /** Configuration version that added this intent. */
  readonly version: number;
  readonly confirmedBy: string;
  /** Milliseconds since the Unix epoch. */
  readonly confirmedAtMs: number;
  /** For a route: shares of the same service and caller region before this intent. Empty for other kinds. */
  readonly previousShares: readonly RegionShare[];
}
