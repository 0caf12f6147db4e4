/**
 * Load of one target as one gateway sees it: its own requests in flight, and the load that the target reported last, which
 * includes the requests of the other gateways and grows stale.
 */
import type {ReportedLoad} from './request_wire';

/** A report says little once the requests that it counted have ended: its half-life as a part of the usual work. */
const halfLifeToServiceTimeRatio = 1.2;

/** Tracks the load of one target. */
export class TargetLoad {
  private ownInFlight = 0;
  private otherRequestsAtReport = 0;
  private reportedAtMs = Number.NEGATIVE_INFINITY;

  /** Requests of this gateway that the target has not answered. */
  get inFlight(): number {
    return this.ownInFlight;
  }

  /** Notes a request that is being sent. */
  recordStart(): void {
    this.ownInFlight += 1;
  }

  /** Notes that a request ended in any way. */
  recordEnd(): void {
    this.ownInFlight -= 1;
  }

  /** Notes a report that came with an answer; call it before `ended` of that answer's request. */
  recordReport(load: ReportedLoad, nowMs: number): void {
    // The report was made when the answer was complete, so it no longer counts that request.
    const own = Math.max(0, this.ownInFlight - 1);
    this.otherRequestsAtReport = Math.max(0, load.running + load.waiting - own);
    this.reportedAtMs = nowMs;
  }

  /**
   * Expected number of requests at the target now, running and waiting.
   * @param serviceTimeMs Usual time of a request at the target, in milliseconds.
   */
  estimateRequests(nowMs: number, serviceTimeMs: number): number {
    const ageMs = nowMs - this.reportedAtMs;
    const halfLifeMs = Math.max(1, serviceTimeMs * halfLifeToServiceTimeRatio);
    return this.ownInFlight + this.otherRequestsAtReport * 2 ** (-ageMs / halfLifeMs);
  }
}
