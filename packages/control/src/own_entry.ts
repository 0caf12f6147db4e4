/** What the entry process of the same instance last reported. */
import type {Membership} from '@cuminsill/membership';
import {reportFromWire, suspicionFromWire} from '@cuminsill/membership';
import type {EntryReport, RefusalRecord as RefusalMessage} from '@cuminsill/protocol';
import type {InstanceState} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';

/** Without a report for this long, the entry counts as not serving. */
const entryLostAfterMs = 3500;
const rememberedRefusals = 4096;

const knownStates: ReadonlySet<string> = new Set(['starting', 'serving', 'leaving']);

/** The own entry as its control process sees it. */
export class OwnEntry {
  private report: EntryReport | undefined;
  private reportedAtMs = 0;
  private readonly refusals = new Map<string, RefusalMessage>();
  private controlLeaving = false;

  constructor(
    private readonly membership: Membership,
    private readonly time: TimeSource,
  ) {}

  /** Takes a report and passes on what other instances need. */
  receive(report: EntryReport): void {
    const nowMs = this.time.nowMs();
    this.report = report;
    this.reportedAtMs = this.time.monotonicMs();
    this.membership.addTargetReports(
      report.targetReports.flatMap(wire => reportFromWire(wire, nowMs) ?? []),
    );
    this.membership.addSuspicions(
      report.suspicions.flatMap(wire => suspicionFromWire(wire, nowMs) ?? []),
    );
    for (const refusal of report.refusals) this.remember(refusal);
    this.updateState();
  }

  /** The last report; undefined before the first one. */
  lastReport(): EntryReport | undefined {
    return this.report;
  }

  /** Age of the last report in milliseconds. */
  reportAgeMs(): number {
    return this.time.monotonicMs() - this.reportedAtMs;
  }

  /** A refusal that the entry reported. */
  findRefusal(requestId: string): RefusalMessage | undefined {
    return this.refusals.get(requestId);
  }

  /** Says that this instance leaves, whatever its entry reports. */
  leave(): void {
    this.controlLeaving = true;
    this.updateState();
  }

  /** True once this instance has begun to stop. */
  isLeaving(): boolean {
    return this.controlLeaving;
  }

  /** Tells the other instances the state of this one; called when it may have changed. */
  updateState(): void {
    this.membership.setOwnState(this.currentState());
  }

  private currentState(): InstanceState {
    if (this.controlLeaving) return 'leaving';
    const state = this.report?.state ?? 'starting';
    if (!knownStates.has(state) || this.reportAgeMs() > entryLostAfterMs) return 'starting';
    const ready = state !== 'serving' || (this.report?.configVersion ?? 0n) > 0n;
    return ready ? (state as InstanceState) : 'starting';
  }

  private remember(refusal: RefusalMessage): void {
    this.refusals.set(refusal.requestId, refusal);
    if (this.refusals.size <= rememberedRefusals) return;
    const [oldest] = this.refusals.keys();
    if (oldest !== undefined) this.refusals.delete(oldest);
  }
}
