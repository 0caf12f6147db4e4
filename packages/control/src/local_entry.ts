/** The control process's record of the entry process of the same instance. */
import type {Membership} from '@cuminsill/membership';
import {reportFromWire, suspicionFromWire} from '@cuminsill/membership';
import type {EntryReport, RefusalRecord as RefusalMessage} from '@cuminsill/protocol';
import type {InstanceState} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';

/** If the entry does not report for this long, it counts as not serving. */
const entryReportTimeoutMs = 3500;
const maxRememberedRefusals = 4096;

const instanceStates: ReadonlySet<string> = new Set(['starting', 'serving', 'leaving']);

/** Keeps the last report and the recent refusals of the local entry and derives the state of this instance. */
export class LocalEntry {
  private latestReport: EntryReport | undefined;
  private reportedAtMs = 0;
  private readonly refusals = new Map<string, RefusalMessage>();
  private isControlLeaving = false;

  constructor(
    private readonly membership: Membership,
    private readonly time: TimeSource,
  ) {}

  /** Stores a report and passes target reports, suspicions and the state on to the membership. */
  receiveReport(report: EntryReport): void {
    const nowMs = this.time.nowMs();
    this.latestReport = report;
    this.reportedAtMs = this.time.monotonicMs();
    this.membership.addTargetReports(
      report.targetReports.flatMap(wire => reportFromWire(wire, nowMs) ?? []),
    );
    this.membership.addSuspicions(
      report.suspicions.flatMap(wire => suspicionFromWire(wire, nowMs) ?? []),
    );
    for (const refusal of report.refusals) this.rememberRefusal(refusal);
    this.updateState();
  }

  /** The last report; undefined before the first one. */
  lastReport(): EntryReport | undefined {
    return this.latestReport;
  }

  /** Age of the last report in milliseconds. */
  reportAgeMs(): number {
    return this.time.monotonicMs() - this.reportedAtMs;
  }

  /** A refusal that the entry reported; undefined if it is unknown or has been evicted. */
  findRefusal(requestId: string): RefusalMessage | undefined {
    return this.refusals.get(requestId);
  }

  /** Sets the state to leaving, whatever the entry reports. */
  startLeaving(): void {
    this.isControlLeaving = true;
    this.updateState();
  }

  /** True once this process has started to stop. */
  isLeaving(): boolean {
    return this.isControlLeaving;
  }

  /** Publishes the state of this instance to the others. Call it whenever the state may have changed. */
  updateState(): void {
    this.membership.setOwnState(this.currentState());
  }

  private currentState(): InstanceState {
    if (this.isControlLeaving) return 'leaving';
    const state = this.latestReport?.state ?? 'starting';
    if (!instanceStates.has(state) || this.reportAgeMs() > entryReportTimeoutMs) return 'starting';
    const isReady = state !== 'serving' || (this.latestReport?.configVersion ?? 0n) > 0n;
    return isReady ? (state as InstanceState) : 'starting';
  }

  private rememberRefusal(refusal: RefusalMessage): void {
    this.refusals.set(refusal.requestId, refusal);
    if (this.refusals.size <= maxRememberedRefusals) return;
    const [oldest] = this.refusals.keys();
    if (oldest !== undefined) this.refusals.delete(oldest);
  }
}
