/**
 * The quotas of a gateway's own callers: finds the owner of each workspace, reports to it and applies its grants. Holds no timers
 * and no sockets.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {Instant} from './pause_detector';
import {readInstant} from './pause_detector';
import type {QuotaFleet} from './quota_fleet';
import {ranksBefore} from './quota_fleet';
import type {QuotaGrant, QuotaReport} from './quota_messages';
import {presumedDeadAgeMs, skipOwnerMs} from './quota_rules';
import type {WaitingRequest} from './quota_share';
import {QuotaShare} from './quota_share';
import type {QuotaVerdict} from './quota_verdict';

/** Events of the shares that are logged. */
export interface QuotaShareListener {
  /** A workspace begins or ceases to be limited here. */
  onLimited(workspace: string, isLimited: boolean): void;
  /** An owner begins or ceases to be unreachable. */
  onOwner(owner: string, isReachable: boolean): void;
}

/** What the shares use of the gateway. */
export interface QuotaSharePorts {
  readonly time: TimeSource;
  readonly fleet: QuotaFleet;
  readonly startedAtMs: number;
  random(): number;
  /** Sends a report to an owner, which may be this gateway. */
  sendReport(owner: string, report: QuotaReport): void;
  readonly listener: QuotaShareListener;
}

/** A workspace in use here, on the status page. */
export interface ShareStatus {
  readonly workspace: string;
  readonly allowance: number;
  readonly allowanceAgeMs: number;
  readonly isLimited: boolean;
}

interface OwnerChoice {
  readonly name: string;
  readonly hasSkipped: boolean;
}

/** Takes requests from the allowances. */
export class QuotaShares {
  private readonly shares = new Map<string, QuotaShare>();
  /** Owners that did not answer, with when they are asked again; monotonic. */
  private readonly skippedUntilMs = new Map<string, number>();
  private readonly redirects = new Map<
    string,
    {readonly owner: string; readonly untilMs: number}
  >();
  private sequence = 0;

  constructor(private readonly ports: QuotaSharePorts) {}

  /** Decides about a request, or lets it wait; undefined when it waits. */
  take(workspace: string, request: WaitingRequest): QuotaVerdict | undefined {
    const now = this.now();
    const share = this.shares.get(workspace) ?? new QuotaShare(now, () => this.ports.random());
    this.shares.set(workspace, share);
    const verdict = share.take(now, request);
    this.act(workspace, share);
    return verdict;
  }

  /** Removes a waiting request. */
  cancel(workspace: string, request: WaitingRequest): void {
    this.shares.get(workspace)?.cancel(request);
  }

  /** Returns a token of a request that was not run. */
  giveBack(workspace: string): void {
    this.shares.get(workspace)?.giveBack(this.now());
  }

  /** Sends due reports; called every 50 ms or more often. */
  tick(): void {
    const now = this.now();
    for (const [workspace, share] of this.shares) {
      this.act(workspace, share);
      const isLimited = share.takeLimitChange(now);
      if (isLimited !== undefined) this.ports.listener.onLimited(workspace, isLimited);
      if (share.isIdle(now)) this.shares.delete(workspace);
    }
  }

  /** Applies a grant. */
  applyGrant(sender: string, grant: QuotaGrant): void {
    const share = this.shares.get(grant.workspace);
    if (share?.applyGrant(this.now(), sender, grant) !== true) return;
    if (this.skippedUntilMs.delete(sender)) this.ports.listener.onOwner(sender, true);
    if (grant.owner !== undefined) {
      const untilMs = this.now().monotonicMs + skipOwnerMs;
      this.redirects.set(grant.workspace, {owner: grant.owner, untilMs});
    }
    this.act(grant.workspace, share);
  }

  /** The workspaces in use here. */
  status(): readonly ShareStatus[] {
    const now = this.now();
    return [...this.shares].map(([workspace, share]) => ({
      workspace,
      allowance: share.allowance(now),
      allowanceAgeMs: Math.round(share.allowanceAgeMs(now)),
      isLimited: share.isLimited(now),
    }));
  }

  private act(workspace: string, share: QuotaShare): void {
    const now = this.now();
    let action = share.nextAction(now);
    if (action.kind === 'owner-silent') {
      this.skip(action.owner, now);
      action = share.nextAction(now);
    }
    if (action.kind === 'send-again') this.ports.sendReport(action.owner, action.report);
    if (action.kind === 'report') this.report(workspace, share, now);
  }

  private report(workspace: string, share: QuotaShare, now: Instant): void {
    const {name, hasSkipped} = this.chooseOwner(workspace, now.monotonicMs);
    this.sequence += 1;
    const {startedAtMs} = this.ports;
    const head = {workspace, startedAtMs, sequence: this.sequence, hasSkipped};
    this.ports.sendReport(name, share.makeReport(now, name, head));
  }

  private skip(owner: string, now: Instant): void {
    const isNew = !this.skippedUntilMs.has(owner);
    this.skippedUntilMs.set(owner, now.monotonicMs + skipOwnerMs);
    if (isNew) this.ports.listener.onOwner(owner, false);
  }

  /** The highest-ranked live gateway that answers, this one included. */
  private chooseOwner(workspace: string, nowMs: number): OwnerChoice {
    const {fleet} = this.ports;
    const peers = fleet.peers().filter(({isLeaving}) => !isLeaving);
    let name = fleet.ownName;
    const skipped: string[] = [];
    for (const peer of peers) {
      if (peer.heartbeatAgeMs > presumedDeadAgeMs) continue;
      if ((this.skippedUntilMs.get(peer.name) ?? 0) > nowMs) skipped.push(peer.name);
      else if (ranksBefore(workspace, peer.name, name)) ({name} = peer);
    }
    const redirect = this.redirects.get(workspace);
    if (redirect !== undefined && redirect.untilMs <= nowMs) this.redirects.delete(workspace);
    else if (redirect !== undefined && peers.some(peer => peer.name === redirect.owner)) {
      const isSilent = (this.skippedUntilMs.get(redirect.owner) ?? 0) > nowMs;
      if (isSilent) skipped.push(redirect.owner);
      else name = redirect.owner;
    }
    return {name, hasSkipped: skipped.some(other => ranksBefore(workspace, other, name))};
  }

  private now(): Instant {
    return readInstant(this.ports.time);
  }
}
