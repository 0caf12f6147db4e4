/**
 * The configuration: immutable snapshots, each with a version that only grows, and the changes that lead from one
 * version to the next.
 */
import type {ConfirmedIntent, Intent, RegionShare} from './intent';
import type {Demand, ServiceContract, Target} from './service';
import type {ClientBlock, FailureDomain, Link, Region} from './topology';

/** The regions, links, services and targets that the platform's operators maintain. */
export interface Catalog {
  readonly regions: readonly Region[];
  readonly failureDomains: readonly FailureDomain[];
  readonly links: readonly Link[];
  readonly services: readonly ServiceContract[];
  readonly targets: readonly Target[];
  readonly clientBlocks: readonly ClientBlock[];
  readonly demands: readonly Demand[];
}

/** The catalog and the confirmed intents that determine how traffic is steered, at one version. */
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

/** Adds one confirmed intent, or replaces the intent with the same id. */
export interface PutIntentChange {
  readonly kind: 'put-intent';
  readonly intent: Intent;
  /** Shares that applied before the change; see {@link ConfirmedIntent.previousShares}. */
  readonly previousShares: readonly RegionShare[];
}

/** Removes one intent, which then no longer applies. */
export interface RemoveIntentChange {
  readonly kind: 'remove-intent';
  readonly intentId: string;
}

/** The change itself, without its version, author and time. */
export type ConfigurationChangeBody = PutCatalogChange | PutIntentChange | RemoveIntentChange;

/** One record of the configuration log. */
export interface ConfigurationChange {
  /** Version that this change leads to. */
  readonly version: number;
  /** Name of the operator who confirmed the plan. */
  readonly author: string;
  /** Milliseconds since the Unix epoch, by the clock of the instance that accepted the change. */
  readonly acceptedAtMs: number;
  /** Digest of the confirmed plan, by which a repeated confirmation of the same plan is recognized. */
  readonly planDigest: string;
  readonly body: ConfigurationChangeBody;
}

/** The empty configuration that precedes the first change. */
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
