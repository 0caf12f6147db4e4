/**
 * The configuration: one immutable snapshot with a version that only grows, and the changes that lead from
 * one version to the next.
 */
import type {ConfirmedIntent, Intent, RegionShare} from './intent';
import type {Demand, ServiceContract, Target} from './service';
import type {ClientBlock, FailureDomain, Link, Region} from './topology';

/** What the platform's operators maintain: places, services and targets. */
export interface Catalog {
  readonly regions: readonly Region[];
  readonly failureDomains: readonly FailureDomain[];
  readonly links: readonly Link[];
  readonly services: readonly ServiceContract[];
  readonly targets: readonly Target[];
  readonly clientBlocks: readonly ClientBlock[];
  readonly demands: readonly Demand[];
}

/** Everything that steers traffic, at one version. */
export interface Configuration {
  /** Position in the configuration log; 0 before the first change. */
  readonly version: number;
  readonly catalog: Catalog;
  readonly intents: readonly ConfirmedIntent[];
}

/** Replaces the catalog. */
export interface PutCatalogChange {
  readonly kind: 'put-catalog';
  readonly catalog: Catalog;
}

/** Puts one intent into force, replacing an intent with the same id. */
export interface PutIntentChange {
  readonly kind: 'put-intent';
  readonly intent: Intent;
  /** Shares in force before the change; see {@link ConfirmedIntent.previousShares}. */
  readonly previousShares: readonly RegionShare[];
}

/** Takes one intent out of force. */
export interface RemoveIntentChange {
  readonly kind: 'remove-intent';
  readonly intentId: string;
}

/** What one record of the configuration log changes. */
export type ConfigurationChangeBody = PutCatalogChange | PutIntentChange | RemoveIntentChange;

/** One record of the configuration log. */
export interface ConfigurationChange {
  /** Version that this change leads to. */
  readonly version: number;
  readonly author: string;
  /** Milliseconds since the Unix epoch, by the clock of the instance that accepted the change. */
  readonly acceptedAtMs: number;
  /** Digest of the confirmed plan; confirming the same plan again finds it. */
  readonly planDigest: string;
  readonly body: ConfigurationChangeBody;
}

/** A configuration without content, before the first change. */
export const emptyConfiguration: Configuration = {
  version: 0,
  catalog: {
    regions: [],
    failureDomains: [],
    links: [],
    services: [],
    targets: [],
    clientBlocks: [],
    demands: [],
  },
  intents: [],
};
