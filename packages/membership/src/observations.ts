/** Target reports and poison suspicions that instances tell each other. */
import type {PoisonSuspicion, TargetReport} from '@cuminsill/types';
import {UpdateQueue} from './update_queue';
import {maxSuspectedTargets} from './wire_checks';

/** Age after which entries ignore a report; an older one is not passed on. */
const maxReportAgeMs = 10_000;

/** Suspicions held at most; the one that ends first is dropped. */
const maxSuspicions = 4_096;

interface QueuedReport {
  readonly report: TargetReport;
  /** True when the health differs from the report before. */
  readonly healthChanged: boolean;
}

/** Holds the newest report per target and the union of suspicions per fingerprint. */
export class Observations {
  private readonly reports = new Map<string, TargetReport>();
  private readonly suspicions = new Map<string, PoisonSuspicion>();
  private readonly reportQueue = new UpdateQueue<QueuedReport>();
  private readonly suspicionQueue = new UpdateQueue<PoisonSuspicion>();

  /** Reports held, newest per target. */
  currentReports(): readonly TargetReport[] {
    return [...this.reports.values()];
  }

  /** Suspicions held. */
  currentSuspicions(): readonly PoisonSuspicion[] {
    return [...this.suspicions.values()];
  }

  /** Keeps a report if it is newer than the one held; returns whether it was. */
  addReport(report: TargetReport, nowMs: number): boolean {
    const known = this.reports.get(report.targetId);
    if (known !== undefined && known.observedAtMs >= report.observedAtMs) return false;
    if (report.observedAtMs < nowMs - maxReportAgeMs) return false;
    this.reports.set(report.targetId, report);
    const healthChanged = known !== undefined && known.health !== report.health;
    this.reportQueue.enqueue(report.targetId, {report, healthChanged});
    return true;
  }

  /** Adds a suspicion to what is known; returns the result if it says anything new. */
  addSuspicion(suspicion: PoisonSuspicion, nowMs: number): PoisonSuspicion | undefined {
    if (suspicion.untilMs <= nowMs) return undefined;
    const known = this.suspicions.get(suspicion.fingerprint);
    const targetIds = [...new Set([...(known?.targetIds ?? []), ...suspicion.targetIds])];
    const untilMs = Math.max(known?.untilMs ?? 0, suspicion.untilMs);
    const merged = {
      fingerprint: suspicion.fingerprint,
      targetIds: targetIds.slice(0, maxSuspectedTargets),
      untilMs,
    };
    const unchanged =
      known !== undefined &&
      known.targetIds.length === merged.targetIds.length &&
      known.untilMs === untilMs;
    if (unchanged) return undefined;
    if (known === undefined && this.suspicions.size >= maxSuspicions) this.dropFirstEnding();
    this.suspicions.set(merged.fingerprint, merged);
    this.suspicionQueue.enqueue(merged.fingerprint, merged);
    return merged;
  }

  /**
   * Takes reports for one message, changes of health first. While more reports wait than one message holds, other
   * regions get changes of health only: most requests go to targets of the own region, and all reports of a large
   * fleet would exceed the traffic allowed per node.
   */
  takeReports(
    limit: number,
    sendLimit: number,
    toOtherRegion: boolean,
    nowMs: number,
  ): readonly TargetReport[] {
    const oldestMs = nowMs - maxReportAgeMs;
    const healthOnly = toOtherRegion && this.reportQueue.size > limit;
    const changed = this.reportQueue.take(
      limit,
      sendLimit,
      queued => queued.healthChanged && queued.report.observedAtMs >= oldestMs,
    );
    const others = healthOnly
      ? []
      : this.reportQueue.take(
          limit - changed.length,
          sendLimit,
          queued => !queued.healthChanged && queued.report.observedAtMs >= oldestMs,
        );
    return [...changed, ...others].map(queued => queued.report);
  }

  /** Takes suspicions for one message. */
  takeSuspicions(limit: number, sendLimit: number): readonly PoisonSuspicion[] {
    return this.suspicionQueue.take(limit, sendLimit);
  }

  /** Drops what is too old to matter. */
  expire(nowMs: number): void {
    for (const [targetId, report] of this.reports) {
      if (report.observedAtMs >= nowMs - maxReportAgeMs) continue;
      this.reportQueue.remove(targetId);
      this.reports.delete(targetId);
    }
    for (const suspicion of this.suspicions.values()) {
      if (suspicion.untilMs <= nowMs) this.dropSuspicion(suspicion.fingerprint);
    }
  }

  private dropFirstEnding(): void {
    let first: PoisonSuspicion | undefined;
    for (const suspicion of this.suspicions.values()) {
      if (first === undefined || suspicion.untilMs < first.untilMs) first = suspicion;
    }
    if (first !== undefined) this.dropSuspicion(first.fingerprint);
  }

  private dropSuspicion(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
    this.suspicionQueue.remove(fingerprint);
  }
}
