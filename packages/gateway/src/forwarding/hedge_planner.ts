/** Plans when an attempt is hedged and where its hedges go, within the retry budget. */
import type {GatewayParts} from '../gateway_parts';
import type {Placement} from '../targets/placement';
import type {Target} from '../targets/target';
import type {ForwardedRequest} from './forwarded_request';
import type {RequestPlacement} from './request_placement';
import {hasProbablyLost, isInTime, lostAnswerDelayMs} from './second_try';

/**
 * A hedge in time for the deadline starts after this multiple of the service time for an uncached object. The time for a
 * cached object would be too short: when the target has evicted the object, its answer takes longer without being lost.
 */
const hedgeDelayFactor = 3;
const minHedgeDelayMs = 300;

/** A hedge that starts if the attempt has not ended by then and a target for it is found. */
export interface PlannedHedge {
  /** Time after the attempt's start, or after the planned hedge before it. */
  readonly delayMs: number;
  readonly choose: () => Placement | undefined;
}

/** Plans the hedges of one request. */
export class HedgePlanner {
  /** @param mayHedge Returns whether the request may be sent to another target. */
  constructor(
    private readonly parts: GatewayParts,
    private readonly forwarded: ForwardedRequest,
    private readonly placements: RequestPlacement,
    private readonly mayHedge: () => boolean,
  ) {}

  /** A hedge in time for the target latency, if there may be one, and a later one in time for the deadline. */
  plan(placement: Placement): readonly PlannedHedge[] {
    const sentAtMs = this.parts.time.monotonicMs();
    const times = this.placements.secondTryTimes(placement.target);
    const inTimeDelayMs = lostAnswerDelayMs(placement, times);
    const lateDelayMs = this.lateDelayMs(placement);
    const late = {delayMs: lateDelayMs, choose: () => this.chooseLate()};
    if (inTimeDelayMs === undefined || inTimeDelayMs >= lateDelayMs) return [late];
    const inTime = {delayMs: inTimeDelayMs, choose: () => this.chooseInTime(sentAtMs)};
    return [inTime, {...late, delayMs: lateDelayMs - inTimeDelayMs}];
  }

  private lateDelayMs(placement: Placement): number {
    const {service} = this.forwarded;
    const uncachedMs = this.parts.serviceTimes.of(service).expectedMs(false) + placement.waitMs;
    const roundTripMs = this.parts.roundTripTimes.expectedMs(placement.target.failureDomain);
    return Math.max(minHedgeDelayMs, hedgeDelayFactor * uncachedMs + roundTripMs);
  }

  /** Chooses a target that holds the object: also the same one, if it has lost the answer rather than being slow. */
  private chooseInTime(sentAtMs: number): Placement | undefined {
    if (!this.mayHedge()) return undefined;
    const nowMs = this.parts.time.monotonicMs();
    const isOpen = (target: Target) => hasProbablyLost(target, sentAtMs, nowMs);
    const placement = this.placements.choose(isOpen);
    if (placement === undefined) return undefined;
    const times = this.placements.secondTryTimes(placement.target);
    return isInTime(placement, times) ? this.withinBudget(placement) : undefined;
  }

  private chooseLate(): Placement | undefined {
    if (!this.mayHedge()) return undefined;
    const placement = this.placements.choose();
    const remainingMs = this.forwarded.deadlineMs - this.parts.time.monotonicMs();
    if (placement === undefined || placement.expectedMs > remainingMs) return undefined;
    // A hedge that has to wait would take capacity from requests that have no attempt yet.
    return placement.waitMs > 0 ? undefined : this.withinBudget(placement);
  }

  private withinBudget(placement: Placement): Placement | undefined {
    return this.parts.retryBudget.tryTake(this.forwarded.service) ? placement : undefined;
  }
}
