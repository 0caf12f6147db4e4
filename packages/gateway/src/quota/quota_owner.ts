/**
 * The owner's side of the quotas: which workspaces this gateway grants, and the answers to reports and claims. Holds no timers
 * and no sockets.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {OwnerRole} from './owner_term';
import {OwnerTerm} from './owner_term';
import type {QuotaRule} from './owned_workspace';
import {OwnedWorkspace} from './owned_workspace';
import {PauseDetector} from './pause_detector';
import type {QuotaFleet} from './quota_fleet';
import {ranksBefore} from './quota_fleet';
import type {ClaimAnswer, QuotaClaim, QuotaGrant, QuotaReport} from './quota_messages';
import {countedHeartbeatAgeMs} from './quota_rules';

/** A role that needs no claims is updated this often without reports. */
const idleUpdateMs = 1_000;
/** Bounds the work of finding newly owned workspaces: 100 with 300 gateways take about 2 ms. */
const examinedPerRound = 100;

/** Time after the start of the process within which the heartbeats of all others arrive. */
const startupMs = 2_000;

/** What the owner uses of the gateway. */
export interface QuotaOwnerPorts {
  readonly time: TimeSource;
  readonly fleet: QuotaFleet;
  /** The limit of a workspace in the configuration in force; undefined when there is none. */
  ruleOf(workspace: string): QuotaRule | undefined;
  /** Names of the limited workspaces; the same array while the configuration is the same. */
  limitedWorkspaces(): readonly string[];
  sendClaim(receiver: string, claim: QuotaClaim): void;
}

/** A workspace on the status page. */
export interface OwnedStatus {
  readonly workspace: string;
  readonly role: OwnerRole;
  readonly level: number;
  readonly outstanding: number;
  readonly ageMs: number;
}

/** Grants tokens of the workspaces that this gateway owns. */
export class QuotaOwner {
  private readonly owned = new Map<string, OwnedWorkspace>();
  private readonly updatedAtMs = new Map<string, number>();
  private readonly pauses: PauseDetector;
  private readonly fractions: {readonly atMs: number; readonly fraction: number}[] = [];
  private examinedCount = 0;
  private examinedAtMs = Number.NEGATIVE_INFINITY;
  private nextClaimId: number;
  private readonly startedAtMs: number;

  constructor(private readonly ports: QuotaOwnerPorts) {
    this.pauses = new PauseDetector(ports.time);
    this.nextClaimId = Math.floor(ports.time.nowMs());
    this.startedAtMs = ports.time.monotonicMs();
  }

  /** Sends due claims and looks for workspaces that this gateway owns now; called every 100 ms or more often. */
  tick(): void {
    this.observe();
    const nowMs = this.ports.time.monotonicMs();
    for (const [workspace, owned] of this.owned) {
      const rule = this.ports.ruleOf(workspace);
      if (rule === undefined) this.forget(workspace);
      else if (owned.role === 'claiming' || this.isUpdateDue(workspace, nowMs)) {
        this.update(workspace, owned, rule);
      }
    }
    if (nowMs - this.examinedAtMs >= idleUpdateMs) this.examineNext(nowMs);
  }

  /** Answers a report; undefined when it is a late duplicate or the workspace has no limit here. */
  answerReport(sender: string, report: QuotaReport): QuotaGrant | undefined {
    this.observe();
    const rule = this.ports.ruleOf(report.workspace);
    if (rule === undefined) return undefined;
    const owned = this.ensureOwned(report.workspace);
    this.update(report.workspace, owned, rule);
    return owned.answerReport(sender, report, this.ports.time.monotonicMs(), rule);
  }

  /** Answers the claim of another gateway; undefined when the workspace has no limit here. */
  answerClaim(sender: string, {workspace, claim, share}: QuotaClaim): ClaimAnswer | undefined {
    this.observe();
    const {fleet, time} = this.ports;
    const rule = this.ports.ruleOf(workspace);
    if (rule === undefined) return undefined;
    const nowMs = time.monotonicMs();
    const owned = this.ensureOwned(workspace);
    this.update(workspace, owned, rule);
    if (ranksBefore(workspace, sender, fleet.ownName) || fleet.isLeaving()) {
      return owned.yieldTo(sender, claim, nowMs);
    }
    owned.recordClaim(sender, share, nowMs);
    return {workspace, claim, hasYielded: false, level: 0, outstanding: 0};
  }

  /** Records the answer to a claim of this gateway. */
  recordAnswer(sender: string, answer: ClaimAnswer): void {
    this.observe();
    const owned = this.owned.get(answer.workspace);
    owned?.recordAnswer(sender, answer, this.ports.time.monotonicMs());
  }

  /** The workspaces that this gateway grants as their owner. */
  status(): readonly OwnedStatus[] {
    const nowMs = this.ports.time.monotonicMs();
    return [...this.owned]
      .filter(([, {role}]) => role === 'owner' || role === 'claiming')
      .map(([workspace, owned]) => ({
        workspace,
        role: owned.role,
        level: Number(owned.level.toFixed(1)),
        outstanding: owned.outstanding(nowMs),
        ageMs: Math.round(owned.ageMs(nowMs)),
      }));
  }

  /** After a pause, another gateway may own the workspaces, so all begin again with an empty bucket. */
  private observe(): void {
    if (this.pauses.checkPaused()) {
      this.owned.clear();
      this.updatedAtMs.clear();
    }
    const nowMs = this.ports.time.monotonicMs();
    const last = this.fractions.at(-1);
    if (last !== undefined && nowMs - last.atMs < 50) return;
    const {fleet} = this.ports;
    const size = fleet.size();
    const fraction =
      size === undefined ? 0 : Math.min(1, fleet.countAlive(countedHeartbeatAgeMs) / size);
    this.fractions.push({atMs: nowMs, fraction});
    const keptForMs = nowMs - this.startedAtMs < startupMs ? 0 : countedHeartbeatAgeMs;
    while (nowMs - (this.fractions[0]?.atMs ?? nowMs) > keptForMs) {
      this.fractions.shift();
    }
  }

  /**
   * The lowest fraction in the last while. It rises late, because after the end of a partition the other side's owner grants
   * until it has heard of this one. A process that has just started counts each heartbeat at once: after a restart of all
   * gateways nobody grants, and every workspace would be refused meanwhile.
   */
  private aliveFraction(): number {
    return Math.min(1, ...this.fractions.map(({fraction}) => fraction));
  }

  private isUpdateDue(workspace: string, nowMs: number): boolean {
    const updatedAtMs = this.updatedAtMs.get(workspace) ?? Number.NEGATIVE_INFINITY;
    return nowMs - updatedAtMs >= idleUpdateMs;
  }

  private update(workspace: string, owned: OwnedWorkspace, rule: QuotaRule): void {
    const nowMs = this.ports.time.monotonicMs();
    this.updatedAtMs.set(workspace, nowMs);
    owned.update(nowMs, rule, this.aliveFraction(), this.ports.fleet.size() ?? 1);
  }

  /** Lets the buckets of owned workspaces fill before their first report. */
  private examineNext(nowMs: number): void {
    this.examinedAtMs = nowMs;
    const workspaces = this.ports.limitedWorkspaces();
    const peers = this.ports.fleet.peers();
    const {ownName} = this.ports.fleet;
    const count = Math.min(examinedPerRound, workspaces.length);
    for (let index = 0; index < count; index += 1) {
      const workspace = workspaces[(this.examinedCount + index) % workspaces.length];
      if (workspace === undefined || this.owned.has(workspace)) continue;
      const hasSuperior = peers.some(
        ({name, heartbeatAgeMs}) =>
          heartbeatAgeMs <= countedHeartbeatAgeMs && ranksBefore(workspace, name, ownName),
      );
      if (!hasSuperior) this.ensureOwned(workspace);
    }
    this.examinedCount += count;
  }

  private ensureOwned(workspace: string): OwnedWorkspace {
    const known = this.owned.get(workspace);
    if (known !== undefined) return known;
    const {fleet, time} = this.ports;
    this.nextClaimId += 1;
    const term = new OwnerTerm(workspace, fleet, this.nextClaimId, (receiver, claim) =>
      this.ports.sendClaim(receiver, claim),
    );
    const owned = new OwnedWorkspace(workspace, term, time.monotonicMs());
    this.owned.set(workspace, owned);
    return owned;
  }

  private forget(workspace: string): void {
    this.owned.delete(workspace);
    this.updatedAtMs.delete(workspace);
  }
}
