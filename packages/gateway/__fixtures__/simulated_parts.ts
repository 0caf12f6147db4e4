/** Data of the parts of a simulated service. */
import type {RegionalShare} from '../src/regional_shares';
import type {Placement} from '../src/targets/placement';
import type {RoundTripTimes} from '../src/targets/round_trip_times';
import type {ServiceTimeEstimator} from '../src/targets/service_time_estimator';
import type {Target} from '../src/targets/target';

/** A request at one target. */
export interface Attempt {
  readonly objectKey: string;
  readonly arrivedAtMs: number;
  readonly gateway: SimulatedGateway;
  readonly placement: Placement;
  readonly attemptedIds: ReadonlySet<string>;
  readonly sentAtMs: number;
}

/** A target with its cache and queue. */
export interface SimulatedTarget {
  readonly id: string;
  readonly region: string;
  readonly cache: Map<string, true>;
  readonly queue: QueuedAttempt[];
  running: number;
  slowUntilMs: number;
}

/** A gateway with its own view of the targets. */
export interface SimulatedGateway {
  readonly name: string;
  readonly region: string;
  readonly targets: readonly Target[];
  readonly serviceTime: ServiceTimeEstimator;
  readonly roundTripTimes: RoundTripTimes;
  readonly regionalShare: RegionalShare;
}

/** A request that waits at a target. */
export interface QueuedAttempt {
  readonly attempt: Attempt;
  readonly queuedAtMs: number;
}

/** Requests of a region's callers by interval. */
export interface RegionRequestCounts {
  readonly totals: number[];
  readonly outOfRegion: number[];
}
