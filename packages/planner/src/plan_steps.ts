/** Expected duration and steps of a move. The ramp moves half the cap per window. */
import type {PlanStep, ShareChange} from '@cuminsill/types';
import {interpolateShares, rampRatePerS, shareTolerance} from './traffic_view';
import type {MoveCap} from './traffic_view';

/** A plan lists at most this many steps per move; at a cap of 0.001 a complete move takes 2,000 windows. */
const maxStepsPerMove = 60;

/** Time in seconds that the ramp takes to complete the move. */
export function moveDurationS(change: ShareChange, cap: MoveCap): number {
  return change.movedShare / rampRatePerS(cap);
}

/** Returns the shares at the end of each window, or of every n-th window of a long move. */
export function planSteps(change: ShareChange, cap: MoveCap): readonly PlanStep[] {
  const {serviceId, callerRegionId, before, after} = change;
  const durationS = moveDurationS(change, cap);
  const windowCount = Math.max(1, Math.ceil(durationS / cap.windowS - shareTolerance));
  const stride = Math.ceil(windowCount / maxStepsPerMove);
  const steps: PlanStep[] = [];
  for (let window = stride; window < windowCount + stride; window += stride) {
    const afterS = Math.min(window * cap.windowS, durationS);
    const fraction = window >= windowCount ? 1 : afterS / durationS;
    const shares = interpolateShares(before, after, fraction);
    steps.push({afterS, serviceId, callerRegionId, shares});
  }
  return steps;
}
