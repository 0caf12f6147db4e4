/** Running state of one route at one entry: its ramp, the assignment of requests to regions and the overflow. */
import type {AppliedShare} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {OverflowBudget} from './overflow_budget';
import {RegionAssignment} from './region_assignment';
import type {EffectiveRoute} from './routes';
import {ShareRamp} from './share_ramp';

/** Moved share of one route at one entry. */
export interface RouteMovedShare {
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly movedShare: number;
  readonly maxMovedShare: number;
}

/** One service and caller region at one entry. */
export class RouteState {
  private readonly ramp: ShareRamp;
  private readonly assignment = new RegionAssignment();
  private readonly overflowBudget = new OverflowBudget();
  private rampMovedShare = 0;

  constructor(
    public route: EffectiveRoute,
    time: TimeSource,
  ) {
    this.ramp = new ShareRamp(route, time);
  }

  /** Adopts a new target and cap. */
  setRoute(route: EffectiveRoute): void {
    this.route = route;
    this.ramp.setRoute(route);
  }

  /** Advances the ramp. */
  advance(frozen: boolean): void {
    if (this.ramp.isMoving()) this.ramp.advance(frozen);
    this.rampMovedShare = this.ramp.movedShareInWindow();
  }

  /** Counts a request and returns its region; undefined when the service has no targets. */
  nextRegionId(): string | undefined {
    this.overflowBudget.countRequest(this.route.cap.maxMovedShare, this.rampMovedShare);
    return this.assignment.nextRegionId(this.ramp.shares());
  }

  /** True when the cap lets one more request overflow. */
  mayOverflow(): boolean {
    return this.overflowBudget.hasCredit();
  }

  /** Counts an overflow. */
  countOverflow(): void {
    this.overflowBudget.spend();
  }

  /** Share that the ramp has moved within the window, and its cap. */
  movedShare(): RouteMovedShare {
    const {serviceId, callerRegionId, cap: limit} = this.route;
    const {rampMovedShare: movedShare} = this;
    return {serviceId, callerRegionId, movedShare, maxMovedShare: limit.maxMovedShare};
  }

  /** Shares in force. */
  appliedShares(): readonly AppliedShare[] {
    const {serviceId, callerRegionId} = this.route;
    return this.ramp
      .shares()
      .map(({regionId, share}) => ({serviceId, callerRegionId, targetRegionId: regionId, share}));
  }
}
