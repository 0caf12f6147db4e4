/** Quotas of workspaces, which hold over all gateways together. */
import {Effect} from 'effect';
import type {OwnedStatus} from './quota_owner';
import type {ShareStatus} from './quota_shares';
import type {QuotaVerdict} from './quota_verdict';

/** The quotas on the status page. */
export interface QuotaStatus {
  /** Workspaces whose tokens this gateway grants. */
  readonly owned: readonly OwnedStatus[];
  /** Workspaces with requests here. */
  readonly used: readonly ShareStatus[];
}

/** Decides about the quotas. */
export interface Quotas {
  /** Takes one request from the workspace's quota. */
  take(workspace: string): Effect.Effect<QuotaVerdict>;
  /** Returns a request that was taken and not run. */
  giveBack(workspace: string): void;
  status(): QuotaStatus;
  /** Starts to exchange messages with other gateways. */
  start(): void;
  close(): void;
}

/** The quotas of a deployment that limits no workspaces. */
export const unlimitedQuotas: Quotas = {
  take: () => Effect.succeed({kind: 'within'}),
  giveBack: () => undefined,
  status: () => ({owned: [], used: []}),
  start: () => undefined,
  close: () => undefined,
};
