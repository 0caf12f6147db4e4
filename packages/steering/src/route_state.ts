/** State of one route at one entry: the ramp, the assignment of requests to regions and the overflow budget. */
import type {AppliedShare} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {OverflowBudget} from './overflow_budget';
import {RegionAssignment} from './region_assignment';
import type {EffectiveRoute} from './routes';
import {ShareRamp} from './share_ramp';

/** Share of one route that its ramp at one entry has moved within the window, and the cap. */
export interface RouteMovedShare {
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly movedShare: number;
  readonly maxMovedShare: number;
}

/** State of the route of one service and caller region. */
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

  /** Adopts the shares and the cap of a new configuration. */
  setRoute(route: EffectiveRoute): void {
    this.route = route;
    this.ramp.setRoute(route);
  }

  /** Advances the ramp by the time since the last call; a frozen ramp does not move. */
  advance(frozen: boolean): void {
    if (this.ramp.isMoving()) this.ramp.advance(frozen);
    this.rampMovedShare = this.ramp.movedShareInWindow();
  }

  /** Assigns the next request to a region. Returns undefined if the service has no targets. */
  nextRegionId(): string | undefined {
    this.overflowBudget.countRequest(this.route.cap.maxMovedShare, this.rampMovedShare);
    return this.assignment.nextRegionId(this.ramp.shares());
  }

  /** True if the cap allows one more request to overflow. */
  mayOverflow(): boolean {
    return this.overflowBudget.hasCredit();
  }

  /** Charges one overflow to the overflow budget. */
  countOverflow(): void {
    this.overflowBudget.spend();
  }

  /** The share that the ramp has moved within the window, and the cap. */
  movedShare(): RouteMovedShare {
    const {serviceId, callerRegionId, cap} = this.route;
    const {rampMovedShare: movedShare} = this;
    return {serviceId, callerRegionId, movedShare, maxMovedShare: cap.maxMovedShare};
  }

  /** The shares that the ramp applies now. */
  appliedShares(): readonly AppliedShare[] {
    const {serviceId, callerRegionId} = this.route;
    return this.ramp
      .shares()
      .map(({regionId, share}) => ({serviceId, callerRegionId, targetRegionId: regionId, share}));
  }
}
