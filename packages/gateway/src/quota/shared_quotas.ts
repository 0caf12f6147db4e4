/** Runs the quotas of a gateway: timers, messages of the coordination channel, log lines and counters. */
import type {JsonObject, TimeSource} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {ConfigurationView} from '../store/configuration_view';
import type {DecisionLog} from '../logs/decision_log';
import type {GatewayMetrics} from '../logs/gateway_metrics';
import type {QuotaBounds} from '../gateway_types';
import type {CoordinationChannel, CoordinationMessage} from '../peers/coordination_channel';
import type {PeerTable} from '../peers/peer_table';
import type {QuotaRule} from './owned_workspace';
import type {QuotaReport} from './quota_messages';
import {
  decodeClaim,
  decodeClaimAnswer,
  decodeGrant,
  decodeReport,
  encodeClaimAnswer,
  encodeReport,
  quotaFeature,
  quotaGrantKind,
  quotaReportKind,
} from './quota_messages';
import {fleetOf} from './listed_fleet';
import {QuotaOwner} from './quota_owner';
import {QuotaShares} from './quota_shares';
import type {QuotaVerdict} from './quota_verdict';
import type {Quotas, QuotaStatus} from './quotas';

const tickMs = 50;

/** The parts of a gateway that the quotas use. */
export interface SharedQuotaParts {
  readonly startedAtMs: number;
  readonly time: TimeSource;
  readonly peers: PeerTable;
  readonly coordination: CoordinationChannel;
  readonly configuration: () => ConfigurationView;
  readonly bounds: () => QuotaBounds | undefined;
  readonly isLeaving: () => boolean;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** Quotas that the gateways enforce together. */
export class SharedQuotas implements Quotas {
  private readonly owner: QuotaOwner;
  private readonly shares: QuotaShares;
  private limited: {readonly version: number; readonly names: readonly string[]} | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: SharedQuotaParts) {
    const {time, startedAtMs, log, coordination} = parts;
    const windowMs = () => parts.bounds()?.windowMs ?? 0;
    const fleet = fleetOf(parts.peers, windowMs, parts.isLeaving);
    this.owner = new QuotaOwner({
      time,
      fleet,
      ruleOf: workspace => this.ruleOf(workspace),
      limitedWorkspaces: () => this.limitedWorkspaces(),
      sendClaim: (receiver, claim) => this.send(receiver, quotaReportKind, {...claim}, 'claim'),
    });
    this.shares = new QuotaShares({
      time,
      fleet,
      startedAtMs,
      random: Math.random,
      sendReport: (owner, report) => this.sendReport(owner, report),
      listener: {
        onLimited: (workspace, isLimited) =>
          log.event('quota', {workspace, state: isLimited ? 'limited' : 'not limited'}),
        onOwner: (owner, isReachable) =>
          log.event('quota', {owner, state: isReachable ? 'owner answers' : 'owner silent'}),
      },
    });
    coordination.handle(quotaReportKind, message => this.onReport(message));
    coordination.handle(quotaGrantKind, message => this.onGrant(message));
  }

  /** Starts to report and to claim. */
  start(): void {
    this.timer = setInterval(() => {
      this.owner.tick();
      this.shares.tick();
    }, tickMs);
  }

  close(): void {
    clearInterval(this.timer);
  }

  take(workspace: string): Effect.Effect<QuotaVerdict> {
    const wait = Effect.async<QuotaVerdict>(resume => {
      const request = {resolve: (verdict: QuotaVerdict) => resume(Effect.succeed(verdict))};
      const verdict = this.shares.take(workspace, request);
      if (verdict !== undefined) resume(Effect.succeed(verdict));
      return Effect.sync(() => this.shares.cancel(workspace, request));
    });
    return Effect.tap(wait, ({kind}) => Effect.sync(() => this.parts.metrics.quotaVerdict(kind)));
  }

  giveBack(workspace: string): void {
    this.shares.giveBack(workspace);
  }

  status(): QuotaStatus {
    return {owned: this.owner.status(), used: this.shares.status()};
  }

  private ruleOf(workspace: string): QuotaRule | undefined {
    const quota = this.parts.configuration().workspaces.findByName(workspace)?.quota;
    const bounds = this.parts.bounds();
    return quota === undefined || bounds === undefined ? undefined : {quota, bounds};
  }

  private limitedWorkspaces(): readonly string[] {
    const {routes, version} = this.parts.configuration();
    if (this.limited?.version !== version) {
      const workspaces = routes?.configuration.workspaces ?? [];
      const names = workspaces.filter(({quota}) => quota !== undefined).map(({name}) => name);
      this.limited = {version, names};
    }
    return this.limited.names;
  }

  private sendReport(owner: string, report: QuotaReport): void {
    const {ownRecord} = this.parts.peers;
    if (owner !== ownRecord.name) {
      this.send(owner, quotaReportKind, encodeReport(report), 'report');
      return;
    }
    const grant = this.owner.answerReport(owner, report);
    // A grant may lead to the next report, so it is applied after the report is recorded.
    if (grant !== undefined) queueMicrotask(() => this.shares.applyGrant(owner, grant));
  }

  private onReport({fields, sender, reply}: CoordinationMessage): void {
    const report = decodeReport(fields);
    if (report !== undefined) {
      const grant = this.owner.answerReport(sender.name, report);
      if (grant !== undefined) this.reply(reply, {...grant}, 'grant');
      return;
    }
    const claim = decodeClaim(fields);
    const answer = claim === undefined ? undefined : this.owner.answerClaim(sender.name, claim);
    if (answer !== undefined) this.reply(reply, encodeClaimAnswer(answer), 'claim-answer');
  }

  private onGrant({fields, sender}: CoordinationMessage): void {
    const grant = decodeGrant(fields);
    if (grant !== undefined) this.shares.applyGrant(sender.name, grant);
    const answer = grant === undefined ? decodeClaimAnswer(fields) : undefined;
    if (answer !== undefined) this.owner.recordAnswer(sender.name, answer);
  }

  private send(receiver: string, kind: string, fields: JsonObject, label: string): void {
    const record = this.parts.peers.findGateway(receiver);
    if (record === undefined) return;
    this.parts.coordination.send(record, quotaFeature, kind, fields);
    this.parts.metrics.quotaMessage(label);
  }

  private reply(reply: CoordinationMessage['reply'], fields: JsonObject, label: string): void {
    reply(quotaGrantKind, fields);
    this.parts.metrics.quotaMessage(label);
  }
}
