/** Summarizes the state of a service's targets for its regional share. */
import type {RegionCapacity, RegionObservation} from '../regional_shares';
import type {RoundTripTimes} from './round_trip_times';
import type {ServiceTimeEstimator} from './service_time_estimator';
import type {Target} from './target';

interface ObservedService {
  readonly serviceTime: ServiceTimeEstimator;
  readonly roundTripTimes: RoundTripTimes;
}

/** Returns the latest reports of the targets, the average service time and the cost of the round trip to far targets. */
export function observeRegion(
  targets: readonly Target[],
  isNear: (target: Target) => boolean,
  capacity: RegionCapacity,
  {serviceTime, roundTripTimes}: ObservedService,
): Omit<RegionObservation, 'latencyObjectiveMs'> {
  const averageRoundTripMs = (isCounted: (target: Target) => boolean) => {
    const counted = targets.filter(isCounted);
    const totalMs = counted.reduce(
      (sum, {failureDomain}) => sum + roundTripTimes.expectedMs(failureDomain),
      0,
    );
    return totalMs / Math.max(1, counted.length);
  };
  const farMs = averageRoundTripMs(target => !isNear(target));
  return {
    capacity,
    reports: targets.flatMap(target => {
      const report = target.load.reportedUtilization;
      return report === undefined ? [] : [{...report, isNear: isNear(target)}];
    }),
    serviceTimeMs: serviceTime.averageMs(),
    slotsPerTarget: Math.max(1, capacity.allSlots / Math.max(1, targets.length)),
    extraRoundTripMs: Math.max(0, farMs - averageRoundTripMs(isNear)),
  };
}
