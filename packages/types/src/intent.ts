/**
 * Intents are what operators ask for; a plan says what an intent would change. An intent takes effect only
 * when its plan is confirmed.
 */

/** Share of traffic for one target region, from 0 to 1. */
export interface RegionShare {
  readonly regionId: string;
  readonly share: number;
}

/** Serves the callers of one region, for one service, from the given regions. */
export interface RouteIntent {
  readonly kind: 'route';
  readonly id: string;
  readonly serviceId: string;
  readonly callerRegionId: string;
  /** Shares per target region; they add up to 1. */
  readonly shares: readonly RegionShare[];
  /** Largest share of requests that may change region within any window, above 0 and at most 1. */
  readonly maxMovedShare: number;
  /** Length of the window in seconds. */
  readonly windowS: number;
}

/** Sends no new work to the targets of a site, so that it can be maintained. */
export interface DrainIntent {
  readonly kind: 'drain';
  readonly id: string;
  readonly siteId: string;
}

/** Drains a site and says that its targets will be stopped afterwards. */
export interface StopIntent {
  readonly kind: 'stop';
  readonly id: string;
  readonly siteId: string;
}

/** Anything an operator can ask for. */
export type Intent = RouteIntent | DrainIntent | StopIntent;

/** An intent in force, with who confirmed it and when. */
export interface ConfirmedIntent {
  readonly intent: Intent;
  /** Configuration version that put this intent into force. */
  readonly version: number;
  readonly confirmedBy: string;
  /** Milliseconds since the Unix epoch. */
  readonly confirmedAtMs: number;
  /** Shares in force for the same service and caller region before this intent; empty for other kinds. */
  readonly previousShares: readonly RegionShare[];
}
