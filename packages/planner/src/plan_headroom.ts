/**
 * Load and capacity per service and region, before and after a change. The load of a region is the larger of
 * the configured demand and the measured load.
 */
import type {Region, RegionHeadroom, RegionShare, ServiceContract} from '@cuminsill/types';
import {shareOf} from './traffic_view';
import type {TrafficView} from './traffic_view';

/** Requests that one region receives for one service, summed over the instances. */
export interface MeasuredLoad {
  readonly serviceId: string;
  readonly regionId: string;
  readonly requestsPerS: number;
  /** Milliseconds since the Unix epoch of the oldest figure in the sum. */
  readonly measuredAtMs: number;
}

/** What the instances measure now. */
export interface LiveLoads {
  readonly loads: readonly MeasuredLoad[];
  /** Targets that have started or returned lately and are not yet at full speed. */
  readonly coldTargetIds: readonly string[];
}

/** Headroom with the figures that would hold without the change. */
export interface HeadroomFigures extends RegionHeadroom {
  /** Capacity in requests per second without the change. */
  readonly unchangedCapacityRequestsPerS: number;
  /** Load in requests per second without the change, when all moves under way are finished. */
  readonly unchangedRequestsPerS: number;
}

/** Everything that the headroom is computed from. */
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

/** Figures for each service and each region that has targets or load. */
export function headroomFigures(input: HeadroomInput): readonly HeadroomFigures[] {
  const services = new Map(
    input.before.configuration.catalog.services.map(service => [service.id, service]),
  );
  const measured = measuredByService(input.live);
  return input.serviceIds.flatMap(serviceId => {
    const service = services.get(serviceId);
    if (service === undefined) return [];
    return serviceFigures(input, service, measured.get(serviceId) ?? new Map());
  });
}

function serviceFigures(
  input: HeadroomInput,
  service: ServiceContract,
  measured: RatesByRegion,
): HeadroomFigures[] {
  const {before, after} = input;
  const {regions} = before.configuration.catalog;
  const flows = currentFlows(input, service.id, measured);
  const now = sumByRegion(flows, flow => flow.current);
  const unchanged = sumByRegion(flows, flow => flow.moveTo(before));
  const changed = sumByRegion(flows, flow => flow.moveTo(after));
  return regions.flatMap(({id: regionId}) => {
    const capacity = capacityOf(after, service, regionId);
    const unchangedCapacity = capacityOf(before, service, regionId);
    const load = changed.get(regionId) ?? 0;
    const loadBefore = now.get(regionId) ?? 0;
    if (capacity + unchangedCapacity + load + loadBefore === 0) return [];
    return {
      serviceId: service.id,
      regionId,
      capacityRequestsPerS: capacity,
      beforeRequestsPerS: loadBefore,
      afterRequestsPerS: load,
      headroomShare: headroomShare(capacity, load),
      unchangedCapacityRequestsPerS: unchangedCapacity,
      unchangedRequestsPerS: unchanged.get(regionId) ?? 0,
    };
  });
}

function currentFlows(
  input: HeadroomInput,
  serviceId: string,
  measured: RatesByRegion,
): readonly Flow[] {
  const {before, nowMs} = input;
  const demanded = demandFlows(before, serviceId, before.configuration.catalog.regions, nowMs);
  const configured = sumByRegion(demanded, flow => flow.current);
  const scaled = demanded.map(flow => flow.scaledTo(configured, measured));
  return [...scaled, ...unattributedFlows(serviceId, configured, measured)];
}

/** Free part of the capacity; -1 when there is load and no capacity at all. */
function headroomShare(capacity: number, load: number): number {
  if (capacity === 0) return load > 0 ? -1 : 0;
  return 1 - load / capacity;
}

/** A part of the load of one service. */
interface Flow {
  /** Requests per second now, per target region. */
  readonly current: RatesByRegion;
  /** The same when all moves of the view are finished. */
  moveTo(view: TrafficView): RatesByRegion;
}

/** The load that the callers of one region cause. */
class CallerFlow implements Flow {
  constructor(
    private readonly serviceId: string,
    private readonly callerRegionId: string,
    readonly current: RatesByRegion,
    private readonly shares: readonly RegionShare[],
    private readonly requestsPerS: number,
  ) {}

  /** Raises the flow in each region where more is measured than configured. */
  scaledTo(configured: RatesByRegion, measured: RatesByRegion): CallerFlow {
    const scaled: RatesByRegion = new Map();
    for (const [regionId, rate] of this.current) {
      const factor = Math.max(1, (measured.get(regionId) ?? 0) / (configured.get(regionId) ?? 1));
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

  /** Only load whose share moves changes region. */
  moveTo(view: TrafficView): RatesByRegion {
    const target = view.finalShares(this.serviceId, this.callerRegionId);
    const moved: RatesByRegion = new Map(this.current);
    let pool = this.shares.length === 0 ? this.requestsPerS : 0;
    for (const {regionId, share} of this.shares) {
      const lostPart = Math.max(0, share - shareOf(target, regionId)) / share;
      const rate = this.current.get(regionId) ?? 0;
      moved.set(regionId, rate * (1 - lostPart));
      pool += rate * lostPart;
    }
    const gains = target.map(({regionId, share}) => ({
      regionId,
      gain: Math.max(0, share - shareOf(this.shares, regionId)),
    }));
    const gainSum = gains.reduce((sum, entry) => sum + entry.gain, 0);
    for (const {regionId, gain} of gains) {
      if (gain > 0) moved.set(regionId, (moved.get(regionId) ?? 0) + (pool * gain) / gainSum);
    }
    return moved;
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
    add(demands, demand.callerRegionId, demand.requestsPerS);
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
 * Load measured in a region to which no configured demand leads. It stays there as long as the region has
 * usable targets, and otherwise goes where callers of that region go.
 */
class UnattributedFlow implements Flow {
  readonly current: RatesByRegion;

  constructor(
    private readonly serviceId: string,
    private readonly regionId: string,
    private readonly requestsPerS: number,
  ) {
    this.current = new Map([[regionId, requestsPerS]]);
  }

  moveTo(view: TrafficView): RatesByRegion {
    if (view.usableTargets(this.serviceId, this.regionId).length > 0) return this.current;
    const shares = view.finalShares(this.serviceId, this.regionId);
    return new Map(shares.map(({regionId, share}) => [regionId, this.requestsPerS * share]));
  }
}

function unattributedFlows(
  serviceId: string,
  configured: RatesByRegion,
  measured: RatesByRegion,
): readonly Flow[] {
  return [...measured]
    .filter(([regionId, rate]) => rate > 0 && (configured.get(regionId) ?? 0) === 0)
    .map(([regionId, rate]) => new UnattributedFlow(serviceId, regionId, rate));
}

/** Measured rates by service and region, grouped once per plan. */
function measuredByService(live: LiveLoads): ReadonlyMap<string, RatesByRegion> {
  const measured = new Map<string, RatesByRegion>();
  for (const load of live.loads) {
    const rates = measured.get(load.serviceId) ?? new Map<string, number>();
    add(rates, load.regionId, load.requestsPerS);
    measured.set(load.serviceId, rates);
  }
  return measured;
}

function sumByRegion(
  flows: readonly Flow[],
  ratesOf: (flow: Flow) => RatesByRegion,
): RatesByRegion {
  const sums: RatesByRegion = new Map();
  for (const flow of flows) {
    for (const [regionId, rate] of ratesOf(flow)) add(sums, regionId, rate);
  }
  return sums;
}

function add(rates: RatesByRegion, regionId: string, rate: number): void {
  rates.set(regionId, (rates.get(regionId) ?? 0) + rate);
}
