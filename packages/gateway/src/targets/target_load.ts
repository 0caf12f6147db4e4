/**
 * Estimates the load of one target: this gateway's requests in flight, plus those of other gateways from the target's
 * last report, which becomes stale.
 */
import type {ReportedLoad} from '../requests/request_wire';

/**
 * Half-life of a report as a multiple of the service time: a report is outdated once the requests that it counted
 * have ended.
 */
const halfLifeToServiceTimeRatio = 1.2;

/** A queue counts as at most this fraction of the slots, so that one target with a long queue does not decide alone. */
const maxWaitingFraction = 0.25;

/** Utilization of a target at its last report. */
export interface ReportedUtilization {
  /** Fraction of the slots that were busy; above 1 when requests were waiting too. */
  readonly utilization: number;
  readonly reportedAtMs: number;
}

/** Tracks the load of one target. */
export class TargetLoad {
  private ownInFlight = 0;
  private otherRequestsAtReport = 0;
  private reportedAtMs = Number.NEGATIVE_INFINITY;
  private latestUtilization: ReportedUtilization | undefined;

  /** Requests of this gateway at the target. */
  get inFlight(): number {
    return this.ownInFlight;
  }

  /** Utilization at the last report with a number of slots; undefined before the first. */
  get reportedUtilization(): ReportedUtilization | undefined {
    return this.latestUtilization;
  }

  /** Records that a request is being sent. */
  recordStart(): void {
    this.ownInFlight += 1;
  }

  /** Records the end of a request, whatever its result. */
  recordEnd(): void {
    this.ownInFlight -= 1;
  }

  /** Records the load report of an answer. Must be called before `recordEnd` for that answer's request. */
  recordReport(load: ReportedLoad, nowMs: number): void {
    // The target made the report after completing the request, so the report does not count it.
    const own = Math.max(0, this.ownInFlight - 1);
    this.otherRequestsAtReport = Math.max(0, load.running + load.waiting - own);
    this.reportedAtMs = nowMs;
    const {running, waiting, slots} = load;
    if (!(slots > 0) || !Number.isFinite(running + waiting + slots)) return;
    const waitingFraction = Math.min(maxWaitingFraction, waiting / slots);
    const utilization = Math.min(1, running / slots) + waitingFraction;
    this.latestUtilization = {utilization, reportedAtMs: nowMs};
  }

  /**
   * Expected number of requests at the target now, running and waiting.
   * @param serviceTimeMs Average service time at the target.
   */
  estimateRequests(nowMs: number, serviceTimeMs: number): number {
    const ageMs = nowMs - this.reportedAtMs;
    const halfLifeMs = Math.max(1, serviceTimeMs * halfLifeToServiceTimeRatio);
    return this.ownInFlight + this.otherRequestsAtReport * 2 ** (-ageMs / halfLifeMs);
  }
}
