/** The expected course of a move: the ramp runs at half the cap per window. */
import type {PlanStep, ShareChange} from '@cuminsill/types';
import {interpolateShares, rampRatePerS, shareTolerance} from './traffic_view';
import type {MoveCap} from './traffic_view';

/** A cap of 0.001 needs 2,000 windows for a whole move; a plan shows at most this many positions of each. */
const maxStepsPerMove = 60;

/** Seconds until the ramp has finished the move. */
export function moveDurationS(change: ShareChange, cap: MoveCap): number {
  return change.movedShare / rampRatePerS(cap);
}

/** Positions at the end of each window, or of every n-th window of a long move. */
export function planSteps(change: ShareChange, cap: MoveCap): readonly PlanStep[] {
  const {serviceId, callerRegionId, before, after} = change;
  const durationS = moveDurationS(change, cap);
  const windows = Math.max(1, Math.ceil(durationS / cap.windowS - shareTolerance));
  const stride = Math.ceil(windows / maxStepsPerMove);
  const steps: PlanStep[] = [];
  for (let window = stride; window < windows + stride; window += stride) {
    const afterS = Math.min(window * cap.windowS, durationS);
    const fraction = window >= windows ? 1 : afterS / durationS;
    const shares = interpolateShares(before, after, fraction);
    steps.push({afterS, serviceId, callerRegionId, shares});
  }
  return steps;
}
