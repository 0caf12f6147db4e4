/** Target reports and poison suspicions that instances gossip. */
import type {PoisonSuspicion, TargetReport} from '@cuminsill/types';
import {UpdateQueue} from './update_queue';
import {maxTargetsPerSuspicion} from './wire_conversion';

/** Maximum age of a report. Entries ignore older ones, so these are neither kept nor sent. */
const maxReportAgeMs = 10_000;

/** Maximum number of suspicions; beyond it, the one that ends first is dropped. */
const maxHeldSuspicions = 4_096;

interface QueuedReport {
  readonly report: TargetReport;
  /** True when the health differs from the one in the previous report. */
  readonly healthChanged: boolean;
}

/** Holds the newest report per target and the merged suspicions per fingerprint, and queues them for gossip. */
export class Observations {
  private readonly reports = new Map<string, TargetReport>();
  private readonly suspicions = new Map<string, PoisonSuspicion>();
  private readonly reportQueue = new UpdateQueue<QueuedReport>();
  private readonly suspicionQueue = new UpdateQueue<PoisonSuspicion>();

  /** The newest report of each target. */
  currentReports(): readonly TargetReport[] {
    return [...this.reports.values()];
  }

  /** One merged suspicion per fingerprint. */
  currentSuspicions(): readonly PoisonSuspicion[] {
    return [...this.suspicions.values()];
  }

  /** Stores a report if it is newer than the stored one of its target and not too old; returns whether it was. */
  addReportIfNewer(report: TargetReport, nowMs: number): boolean {
    const previous = this.reports.get(report.targetId);
    if (previous !== undefined && previous.observedAtMs >= report.observedAtMs) return false;
    if (report.observedAtMs < nowMs - maxReportAgeMs) return false;
    this.reports.set(report.targetId, report);
    const healthChanged = previous !== undefined && previous.health !== report.health;
    this.reportQueue.enqueue(report.targetId, {report, healthChanged});
    return true;
  }

  /** Merges a suspicion into the stored one; returns the merged suspicion, or undefined if nothing changed. */
  mergeSuspicion(suspicion: PoisonSuspicion, nowMs: number): PoisonSuspicion | undefined {
    if (suspicion.untilMs <= nowMs) return undefined;
    const known = this.suspicions.get(suspicion.fingerprint);
    const targetIds = unionOf(known?.targetIds, suspicion.targetIds);
    const repeatTargetIds = unionOf(known?.repeatTargetIds, suspicion.repeatTargetIds);
    const untilMs = Math.max(known?.untilMs ?? 0, suspicion.untilMs);
    const merged = {fingerprint: suspicion.fingerprint, targetIds, repeatTargetIds, untilMs};
    const isUnchanged =
      known !== undefined &&
      known.targetIds.length === merged.targetIds.length &&
      known.repeatTargetIds.length === merged.repeatTargetIds.length &&
      known.untilMs === untilMs;
    if (isUnchanged) return undefined;
    if (known === undefined && this.suspicions.size >= maxHeldSuspicions) this.dropEarliestEnding();
    this.suspicions.set(merged.fingerprint, merged);
    this.suspicionQueue.enqueue(merged.fingerprint, merged);
    return merged;
  }

  /**
   * Takes reports for one message, those with a changed health first. While more reports are queued than fit into one
   * message, other regions get only those with a changed health: most requests go to targets in the own region, and
   * the reports of a large fleet would exceed the traffic limit per instance.
   */
  takeReports(
    maxReports: number,
    sendLimit: number,
    toOtherRegion: boolean,
    nowMs: number,
  ): readonly TargetReport[] {
    const oldestMs = nowMs - maxReportAgeMs;
    const onlyHealthChanges = toOtherRegion && this.reportQueue.size > maxReports;
    const changed = this.reportQueue.take(
      maxReports,
      sendLimit,
      queued => queued.healthChanged && queued.report.observedAtMs >= oldestMs,
    );
    const others = onlyHealthChanges
      ? []
      : this.reportQueue.take(
          maxReports - changed.length,
          sendLimit,
          queued => !queued.healthChanged && queued.report.observedAtMs >= oldestMs,
        );
    return [...changed, ...others].map(queued => queued.report);
  }

  /** Takes suspicions for one message. */
  takeSuspicions(maxSuspicions: number, sendLimit: number): readonly PoisonSuspicion[] {
    return this.suspicionQueue.take(maxSuspicions, sendLimit);
  }

  /** Drops reports that are too old and suspicions that have ended. */
  dropExpired(nowMs: number): void {
    for (const [targetId, report] of this.reports) {
      if (report.observedAtMs >= nowMs - maxReportAgeMs) continue;
      this.reportQueue.remove(targetId);
      this.reports.delete(targetId);
    }
    for (const suspicion of this.suspicions.values()) {
      if (suspicion.untilMs <= nowMs) this.dropSuspicion(suspicion.fingerprint);
    }
  }

  private dropEarliestEnding(): void {
    let earliest: PoisonSuspicion | undefined;
    for (const suspicion of this.suspicions.values()) {
      if (earliest === undefined || suspicion.untilMs < earliest.untilMs) earliest = suspicion;
    }
    if (earliest !== undefined) this.dropSuspicion(earliest.fingerprint);
  }

  private dropSuspicion(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
    this.suspicionQueue.remove(fingerprint);
  }
}

/** Merges two lists of targets, up to the limit of one suspicion. */
function unionOf(known: readonly string[] = [], added: readonly string[]): readonly string[] {
  return [...new Set([...known, ...added])].slice(0, maxTargetsPerSuspicion);
}
