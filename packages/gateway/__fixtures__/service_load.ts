/** Input and results of the simulation of a service. */

/** Load and targets to simulate. */
export interface ServiceLoad {
  readonly seed: number;
  readonly regions: ReadonlyArray<{readonly gateways: number; readonly targets: number}>;
  readonly requestsPerS: number;
  readonly durationMs: number;
  readonly slots: number;
  readonly queueLength: number;
  /** Maximum number of objects that a target caches. */
  readonly cacheSize: number;
  readonly objectCount: number;
  /** True when each region requests its own objects; `objectCount` is then their number per region. */
  readonly hasObjectsPerRegion: boolean;
  readonly serviceTimeMs: number;
  /** Fraction of the service time that a cache hit saves. */
  readonly cachedSavingFraction: number;
  readonly interRegionDelayMs: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  /** Requests at each target at the start, as an earlier overload would leave them. */
  readonly initialQueueLength: number;
  /** Interval in which targets reject a fraction of the requests although they have free capacity. */
  readonly fault?: {
    readonly fromMs: number;
    readonly toMs: number;
    readonly fraction: number;
  };
  /** Demand of each region as a wave, shifted by an equal part of the period from region to region. */
  readonly wave?: {readonly periodMs: number; readonly amplitude: number};
  /** Targets that are slower for a time: at any time this fraction of them. */
  readonly slowdown?: {
    readonly fraction: number;
    readonly factor: number;
    readonly durationMs: number;
  };
  /** Fraction of the requests that take a multiple of the service time. */
  readonly longRequests?: {readonly fraction: number; readonly factor: number};
}

/** Results of a simulation. */
export interface ServiceOutcome {
  readonly requestCount: number;
  readonly inTimeCount: number;
  readonly lateCount: number;
  readonly refusedCount: number;
  /** Fraction of requests answered in time, by second of arrival. */
  readonly inTimeFractionBySecond: readonly number[];
  readonly cachedFraction: number;
  /** Fraction of each region's requests that were sent to other regions, by interval of two seconds. */
  readonly outOfRegionFractions: ReadonlyArray<readonly number[]>;
  /** Fraction of the slots of each region that are busy, by second. */
  readonly utilizationsBySecond: ReadonlyArray<readonly number[]>;
  /** Fraction of the requests that waited for a slot. */
  readonly waitedFraction: number;
  readonly meanWaitMs: number;
}
