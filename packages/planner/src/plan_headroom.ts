/**
 * Computes load and capacity per service and region, before and after a change. The load of a region is the larger
 * of the configured demand and the measured load.
 */
import type {Region, RegionHeadroom, RegionShare, ServiceContract} from '@cuminsill/types';
import {shareOf} from './traffic_view';
import type {TrafficView} from './traffic_view';

/** Measured request rate of one service in one region, summed over the instances. */
export interface MeasuredLoad {
  readonly serviceId: string;
  readonly regionId: string;
  readonly requestsPerS: number;
  /** Time of the oldest measurement in the sum, in milliseconds since the Unix epoch. */
  readonly measuredAtMs: number;
}

/** Current measurements of the instances. */
export interface LiveLoads {
  readonly loads: readonly MeasuredLoad[];
  /** Targets that started or returned recently and do not yet run at full speed. */
  readonly coldTargetIds: readonly string[];
}

/** Headroom after a change, with the baseline: load and capacity without the change. */
export interface HeadroomForecast extends RegionHeadroom {
  /** Capacity in requests per second without the change. */
  readonly baselineCapacityRequestsPerS: number;
  /** Load in requests per second without the change, after all moves in progress have finished. */
  readonly baselineRequestsPerS: number;
}

/** The data from which the headroom is computed. */
export interface HeadroomInput {
  readonly serviceIds: readonly string[];
  /** The configuration without the change. */
  readonly before: TrafficView;
  /** The configuration with the change. */
  readonly after: TrafficView;
  readonly live: LiveLoads;
  readonly nowMs: number;
}

type RatesByRegion = Map<string, number>;

/** Capacity of a service in a region in requests per second: slots x 1000 / expectedServiceMs. */
export function capacityOf(view: TrafficView, service: ServiceContract, regionId: string): number {
  const targets = view.usableTargets(service.id, regionId);
  const slots = targets.reduce((sum, target) => sum + target.slots, 0);
  return (slots * 1000) / service.expectedServiceMs;
}

/** Computes the headroom of each service in each region that has targets or load. */
export function computeHeadroom(input: HeadroomInput): readonly HeadroomForecast[] {
  const services = new Map(
    input.before.configuration.catalog.services.map(service => [service.id, service]),
  );
  const measuredRates = measuredRatesByService(input.live);
  return input.serviceIds.flatMap(serviceId => {
    const service = services.get(serviceId);
    if (service === undefined) return [];
    return computeServiceHeadroom(input, service, measuredRates.get(serviceId) ?? new Map());
  });
}

function computeServiceHeadroom(
  input: HeadroomInput,
  service: ServiceContract,
  measuredRates: RatesByRegion,
): HeadroomForecast[] {
  const {before, after} = input;
  const {regions} = before.configuration.catalog;
  const flows = currentFlows(input, service.id, measuredRates);
  const currentRates = sumByRegion(flows, flow => flow.currentRates);
  const baselineRates = sumByRegion(flows, flow => flow.ratesAfterMoves(before));
  const ratesAfter = sumByRegion(flows, flow => flow.ratesAfterMoves(after));
  return regions.flatMap(({id: regionId}) => {
    const capacity = capacityOf(after, service, regionId);
    const baselineCapacity = capacityOf(before, service, regionId);
    const loadAfter = ratesAfter.get(regionId) ?? 0;
    const loadBefore = currentRates.get(regionId) ?? 0;
    if (capacity + baselineCapacity + loadAfter + loadBefore === 0) return [];
    return {
      serviceId: service.id,
      regionId,
      capacityRequestsPerS: capacity,
      beforeRequestsPerS: loadBefore,
      afterRequestsPerS: loadAfter,
      headroomShare: headroomShare(capacity, loadAfter),
      baselineCapacityRequestsPerS: baselineCapacity,
      baselineRequestsPerS: baselineRates.get(regionId) ?? 0,
    };
  });
}

function currentFlows(
  input: HeadroomInput,
  serviceId: string,
  measuredRates: RatesByRegion,
): readonly Flow[] {
  const {before, nowMs} = input;
  const callerFlows = demandFlows(before, serviceId, before.configuration.catalog.regions, nowMs);
  const configuredRates = sumByRegion(callerFlows, flow => flow.currentRates);
  const scaledFlows = callerFlows.map(flow =>
    flow.scaledToMeasured(configuredRates, measuredRates),
  );
  return [...scaledFlows, ...unattributedFlows(serviceId, configuredRates, measuredRates)];
}

/** Free fraction of the capacity; -1 when there is load but no capacity. */
function headroomShare(capacity: number, load: number): number {
  if (capacity === 0) return load > 0 ? -1 : 0;
  return 1 - load / capacity;
}

/** A part of one service's load that moves according to the same shares. */
interface Flow {
  /** Current requests per second by region of the targets. */
  readonly currentRates: RatesByRegion;
  /** Requests per second by region after all moves of the view have finished. */
  ratesAfterMoves(view: TrafficView): RatesByRegion;
}

/** The load from the callers of one region. */
class CallerFlow implements Flow {
  constructor(
    private readonly serviceId: string,
    private readonly callerRegionId: string,
    readonly currentRates: RatesByRegion,
    private readonly shares: readonly RegionShare[],
    private readonly requestsPerS: number,
  ) {}

  /** Scales the flow up in each region where the measured rate exceeds the configured rate. */
  scaledToMeasured(configuredRates: RatesByRegion, measuredRates: RatesByRegion): CallerFlow {
    const scaled: RatesByRegion = new Map();
    for (const [regionId, rate] of this.currentRates) {
      const factor = Math.max(
        1,
        (measuredRates.get(regionId) ?? 0) / (configuredRates.get(regionId) ?? 1),
      );
      scaled.set(regionId, rate * factor);
    }
    return new CallerFlow(
      this.serviceId,
      this.callerRegionId,
      scaled,
      this.shares,
      this.requestsPerS,
    );
  }

  /** Moves only the load of the regions whose share shrinks, to the regions whose share grows. */
  ratesAfterMoves(view: TrafficView): RatesByRegion {
    const newShares = view.finalShares(this.serviceId, this.callerRegionId);
    const rates: RatesByRegion = new Map(this.currentRates);
    let movedRate = this.shares.length === 0 ? this.requestsPerS : 0;
    for (const {regionId, share} of this.shares) {
      const lostFraction = Math.max(0, share - shareOf(newShares, regionId)) / share;
      const rate = this.currentRates.get(regionId) ?? 0;
      rates.set(regionId, rate * (1 - lostFraction));
      movedRate += rate * lostFraction;
    }
    const gains = newShares.map(({regionId, share}) => ({
      regionId,
      gain: Math.max(0, share - shareOf(this.shares, regionId)),
    }));
    const gainSum = gains.reduce((sum, entry) => sum + entry.gain, 0);
    for (const {regionId, gain} of gains) {
      if (gain > 0) rates.set(regionId, (rates.get(regionId) ?? 0) + (movedRate * gain) / gainSum);
    }
    return rates;
  }
}

function demandFlows(
  before: TrafficView,
  serviceId: string,
  regions: readonly Region[],
  nowMs: number,
): readonly CallerFlow[] {
  const demands: RatesByRegion = new Map();
  for (const demand of before.demandsOf(serviceId)) {
    addRate(demands, demand.callerRegionId, demand.requestsPerS);
  }
  return regions.flatMap(({id}) => {
    const rate = demands.get(id) ?? 0;
    if (rate === 0) return [];
    const shares = before.sharesAt(serviceId, id, nowMs);
    const current = new Map(shares.map(entry => [entry.regionId, entry.share * rate]));
    return [new CallerFlow(serviceId, id, current, shares, rate)];
  });
}

/**
 * Load measured in a region that no configured demand is routed to. It stays in the region while the region has
 * usable targets, and otherwise follows the shares of the callers in that region.
 */
class UnattributedFlow implements Flow {
  readonly currentRates: RatesByRegion;

  constructor(
    private readonly serviceId: string,
    private readonly regionId: string,
    private readonly requestsPerS: number,
  ) {
    this.currentRates = new Map([[regionId, requestsPerS]]);
  }

  ratesAfterMoves(view: TrafficView): RatesByRegion {
    if (view.usableTargets(this.serviceId, this.regionId).length > 0) return this.currentRates;
    const shares = view.finalShares(this.serviceId, this.regionId);
    return new Map(shares.map(({regionId, share}) => [regionId, this.requestsPerS * share]));
  }
}

function unattributedFlows(
  serviceId: string,
  configuredRates: RatesByRegion,
  measuredRates: RatesByRegion,
): readonly Flow[] {
  return [...measuredRates]
    .filter(([regionId, rate]) => rate > 0 && (configuredRates.get(regionId) ?? 0) === 0)
    .map(([regionId, rate]) => new UnattributedFlow(serviceId, regionId, rate));
}

/** Groups measured rates by service and region, once per plan. */
function measuredRatesByService(live: LiveLoads): ReadonlyMap<string, RatesByRegion> {
  const measuredRates = new Map<string, RatesByRegion>();
  for (const load of live.loads) {
    const rates = measuredRates.get(load.serviceId) ?? new Map<string, number>();
    addRate(rates, load.regionId, load.requestsPerS);
    measuredRates.set(load.serviceId, rates);
  }
  return measuredRates;
}

function sumByRegion(
  flows: readonly Flow[],
  ratesOf: (flow: Flow) => RatesByRegion,
): RatesByRegion {
  const sums: RatesByRegion = new Map();
  for (const flow of flows) {
    for (const [regionId, rate] of ratesOf(flow)) addRate(sums, regionId, rate);
  }
  return sums;
}

function addRate(rates: RatesByRegion, regionId: string, rate: number): void {
  rates.set(regionId, (rates.get(regionId) ?? 0) + rate);
}
