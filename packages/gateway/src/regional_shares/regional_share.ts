/**
 * Plans which fraction of the objects of a region is kept at targets near it. The number of slots decides it as long as
 * the near targets bear the load. When reports show that another request costs more there than at far targets, more
 * objects go far, slowly: an object that moves is a cache miss, and many of them at once fill the receiving targets.
 *
 * Gateways decide without communicating. They hear reports of the same targets, so their fractions are similar, and a
 * difference concerns only objects whose hash lies between two fractions.
 */
import type {CostModel} from './queueing_cost';
import {bearableUtilization} from './queueing_cost';
import {UtilizationEstimate} from './utilization_estimate';

/** Slots of a service and the part of its callers in the region. */
export interface RegionCapacity {
  readonly nearSlots: number;
  readonly allSlots: number;
  /** Fraction of all callers that are in the region, between 0 and 1. */
  readonly ownCallerFraction: number;
}

/** Latest report of a target. */
export interface UtilizationReport {
  readonly isNear: boolean;
  readonly utilization: number;
  readonly reportedAtMs: number;
}

/** State of the service's targets at the time of an update. */
export interface RegionObservation extends CostModel {
  readonly capacity: RegionCapacity;
  /** Latest report of each target; those of earlier updates are ignored. */
  readonly reports: readonly UtilizationReport[];
}

/**
 * Fraction of all slots that is busy at the planned load. A region with enough slots for its callers' part of it keeps
 * all its objects while its targets bear the load.
 */
const plannedUtilization = 0.6;
const updateIntervalMs = 500;
/** Longer gaps between updates count as this long, so that a service without requests does not change by a large step. */
const maxElapsedMs = 1_000;
/**
 * Maximum change of the fraction in a second. At most 0.15 of a region's requests may change region within 2 s; the rest
 * is for the requests that leave full targets and for the random number of requests of each object.
 */
const maxDecreasePerS = 0.03;
/** Objects return more slowly than they leave, so that a demand that rises again finds them far already. */
const maxIncreasePerS = 0.015;
/** Fraction of the distance to the wanted fraction that is covered in a second. */
const approachPerS = 0.3;
/** Smaller differences are within the standard error of the estimates. */
const toleratedDifference = 0.02;
/** With fewer reports of near targets within the decay time, the slots alone decide. */
const minNearReports = 4;
/** The assumption that callers of other regions send as much weighs as many reports as this. */
const farPriorWeight = 4;
const maxAssumedUtilization = 0.95;
const minUtilization = 0.01;
/** A smaller fraction counts as none; the approach to none would otherwise never end. */
const minSentAwayFraction = 0.002;

/** Fraction of objects that the region's slots suffice for at the planned load; above 1 when they suffice for all. */
export function plannedNearFraction(capacity: RegionCapacity): number {
  const {nearSlots, allSlots, ownCallerFraction} = capacity;
  return nearSlots / (allSlots * ownCallerFraction * plannedUtilization);
}

/** Part of the region's need that its slots cover when all targets of the service are equally full. */
function coverage({nearSlots, allSlots, ownCallerFraction}: RegionCapacity): number {
  return nearSlots / (allSlots * ownCallerFraction);
}

/**
 * Smallest fraction that is kept near. The more slots a region lacks, the more it may send away; at the boundary of a
 * region without a lack the bound is 1, so that nothing changes abruptly when a gateway or target is added.
 */
function minNearFraction(capacity: RegionCapacity): number {
  return Math.min(1, coverage(capacity)) ** 2;
}

/** Regional share of one service at one gateway. */
export class RegionalShare {
  private readonly near = new UtilizationEstimate();
  private readonly far = new UtilizationEstimate();
  private updatedAtMs = Number.NEGATIVE_INFINITY;
  /** Fraction of objects that go far beyond those for which the slots do not suffice at the planned load. */
  private sentAwayFraction = 0;

  /** Objects with a hash below this fraction of all hashes are kept near. */
  nearFraction(capacity: RegionCapacity): number {
    const planned = plannedNearFraction(capacity);
    if (this.sentAwayFraction === 0 || coverage(capacity) >= 1) return planned;
    const sentAway = Math.min(this.sentAwayFraction, maxSentAwayFraction(capacity));
    return Math.min(1, planned) - sentAway;
  }

  /** True when the last update is long enough ago. */
  isUpdateDue(nowMs: number): boolean {
    return nowMs - this.updatedAtMs >= updateIntervalMs;
  }

  /** Adds the reports since the last update, and moves the fraction by a small step. */
  update(nowMs: number, observation: RegionObservation): void {
    const formerMs = this.updatedAtMs;
    this.updatedAtMs = nowMs;
    if (formerMs === Number.NEGATIVE_INFINITY) return;
    this.addReports(observation, formerMs, nowMs);
    const {capacity} = observation;
    const maxAway = maxSentAwayFraction(capacity);
    const elapsedS = Math.min(maxElapsedMs, nowMs - formerMs) / 1_000;
    const wanted = this.wantedAwayFraction(observation);
    const current = Math.min(this.sentAwayFraction, maxAway);
    const difference = Math.min(maxAway, Math.max(0, wanted)) - current;
    const isTolerated = Math.abs(difference) < toleratedDifference && wanted > 0;
    const step = isTolerated ? 0 : difference * approachPerS * elapsedS;
    const next = current + clamp(step, -maxIncreasePerS * elapsedS, maxDecreasePerS * elapsedS);
    this.sentAwayFraction = next < minSentAwayFraction ? 0 : next;
  }

  private addReports(observation: RegionObservation, sinceMs: number, nowMs: number): void {
    this.near.decay(nowMs - sinceMs);
    this.far.decay(nowMs - sinceMs);
    const nearFraction = Math.min(1, this.nearFraction(observation.capacity));
    for (const {isNear, utilization, reportedAtMs} of observation.reports) {
      if (reportedAtMs <= sinceMs) continue;
      (isNear ? this.near : this.far).add(utilization, nearFraction);
    }
  }

  private wantedAwayFraction(observation: RegionObservation): number {
    const {capacity} = observation;
    const {nearSlots, allSlots, ownCallerFraction} = capacity;
    const farSlots = allSlots - nearSlots;
    if (nearSlots <= 0 || farSlots <= 0) return 0;
    // Few reports do not show that the near targets cannot bear the load.
    if (this.near.weight < minNearReports) return 0;
    const utilization = Math.max(minUtilization, this.near.mean(0, 0));
    // Utilization of the near targets if all objects were kept there. Comparing with the fraction at the time of the
    // reports keeps the delay of the reports from making the fraction oscillate.
    const demand = utilization / Math.max(minUtilization, this.near.nearFraction);
    const othersDemand = (demand * nearSlots) / ownCallerFraction - utilization * nearSlots;
    const assumedFar = clamp(othersDemand / farSlots, 0, maxAssumedUtilization);
    const farUtilization = this.far.mean(assumedFar, farPriorWeight);
    const wantedNear = bearableUtilization(farUtilization, observation) / demand;
    return Math.min(1, plannedNearFraction(capacity)) - wantedNear;
  }
}

function maxSentAwayFraction(capacity: RegionCapacity): number {
  const planned = Math.min(1, plannedNearFraction(capacity));
  return Math.max(0, planned - minNearFraction(capacity));
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** The regional shares of all services. */
export class RegionalShares {
  private readonly byService = new Map<string, RegionalShare>();

  of(service: string): RegionalShare {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const share = new RegionalShare();
    this.byService.set(service, share);
    return share;
  }
}
