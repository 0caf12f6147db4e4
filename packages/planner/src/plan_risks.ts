/** Finds the risks of a plan, such as overload, missing targets or low headroom, with one rule for each kind. */
import type {PlanRisk, ShareChange} from '@cuminsill/types';
import type {HeadroomForecast, LiveLoads} from './plan_headroom';
import {shareOf, shareTolerance} from './traffic_view';
import type {TrafficView} from './traffic_view';

/** Free fraction of a region's capacity below which a plan warns. */
const minHeadroomFraction = 0.15;

/** Steering does not use reports that are older than this (docs/design.md, section 4.3). */
const maxLoadAgeMs = 10_000;

/** Request rates that differ by less than this count as equal. */
const rateToleranceRequestsPerS = 1e-6;

/** The data that the risk rules evaluate. */
export interface RiskInput {
  readonly before: TrafficView;
  readonly after: TrafficView;
  readonly serviceIds: readonly string[];
  readonly shareChanges: readonly ShareChange[];
  readonly headroom: readonly HeadroomForecast[];
  readonly live: LiveLoads;
  readonly nowMs: number;
}

type RiskRule = (input: RiskInput) => readonly PlanRisk[];

const riskRules: readonly RiskRule[] = [
  overloadRisks,
  noTargetRisks,
  lowHeadroomRisks,
  lostRegionRisks,
  coldTargetRisks,
  overlappingMoveRisks,
  staleLoadRisks,
];

/** Returns all risks of a change, the blocking ones first. */
export function planRisks(input: RiskInput): readonly PlanRisk[] {
  const risks = riskRules.flatMap(rule => rule(input));
  const blocking = risks.filter(risk => risk.severity === 'blocking');
  return [...blocking, ...risks.filter(risk => risk.severity === 'warning')];
}

/** Returns true when a region loses share and has no usable target for the service after the change. */
export function losesRegion(change: ShareChange, after: TrafficView): boolean {
  return change.before.some(
    ({regionId, share}) =>
      share > shareOf(change.after, regionId) + shareTolerance &&
      after.usableTargets(change.serviceId, regionId).length === 0,
  );
}

/** An overload that the plan neither causes nor increases is only a warning, so that a plan can relieve it. */
function overloadRisks(input: RiskInput): readonly PlanRisk[] {
  return input.headroom.filter(isOverloaded).map(row => {
    const {serviceId, regionId, afterRequestsPerS: load, capacityRequestsPerS: capacity} = row;
    const isWorse =
      load > row.baselineRequestsPerS + rateToleranceRequestsPerS ||
      capacity < row.baselineCapacityRequestsPerS - rateToleranceRequestsPerS;
    const text =
      `Region ${regionId} would carry ${formatRate(load)} of service ${serviceId} with a capacity of ` +
      `${formatRate(capacity)}; now it carries ${formatRate(row.beforeRequestsPerS)}. `;
    if (!isWorse) {
      return warning(`${text}The change does not raise this. ${remedyText(input, row)}`);
    }
    return {severity: 'blocking', text: `${text}${remedyText(input, row)}`};
  });
}

function remedyText(input: RiskInput, overloaded: HeadroomForecast): string {
  const {serviceId, regionId} = overloaded;
  const excess = overloaded.afterRequestsPerS - overloaded.capacityRequestsPerS;
  const parts = [`add capacity for ${formatRate(excess)} in ${regionId}`];
  const mostFreeRegion = input.headroom
    .filter(row => row.serviceId === serviceId && row.regionId !== regionId)
    .map(row => ({id: row.regionId, free: row.capacityRequestsPerS - row.afterRequestsPerS}))
    .sort((a, b) => b.free - a.free)[0];
  if (mostFreeRegion !== undefined && mostFreeRegion.free > rateToleranceRequestsPerS) {
    const free = `${mostFreeRegion.id} would have ${formatRate(mostFreeRegion.free)} free`;
    parts.push(`first move ${formatRate(excess)} to another region with a route intent (${free})`);
  }
  const drains = drainIntentIds(input.before, serviceId, regionId);
  if (drains.length > 0) parts.push(`end a drain that is in force there (${drains.join(', ')})`);
  return `What would help: ${parts.join('; ')}.`;
}

/** Ids of intents in force that drain targets of the service in the region. */
function drainIntentIds(view: TrafficView, serviceId: string, regionId: string): readonly string[] {
  const siteIds = new Set(
    view.configuration.catalog.targets
      .filter(target => target.serviceId === serviceId && target.regionId === regionId)
      .map(target => target.siteId),
  );
  return view.configuration.intents
    .filter(({intent}) => intent.kind !== 'route' && siteIds.has(intent.siteId))
    .map(({intent}) => intent.id);
}

function noTargetRisks(input: RiskInput): readonly PlanRisk[] {
  return input.serviceIds
    .filter(id => input.before.usableRegionIds(id).length > 0)
    .filter(id => input.after.usableRegionIds(id).length === 0)
    .map(id => ({
      severity: 'blocking',
      text:
        `Service ${id} would have no target left in any region: 0 of ` +
        `${usableTargetCount(input.before, id)} targets would remain. What would help: add targets for it at ` +
        `another site, or end another drain first.`,
    }));
}

function usableTargetCount(view: TrafficView, serviceId: string): number {
  return view
    .usableRegionIds(serviceId)
    .reduce((sum, regionId) => sum + view.usableTargets(serviceId, regionId).length, 0);
}

function lowHeadroomRisks(input: RiskInput): readonly PlanRisk[] {
  return input.headroom
    .filter(row => row.capacityRequestsPerS > 0 && !isOverloaded(row))
    .filter(row => row.headroomShare < minHeadroomFraction)
    .map(row =>
      warning(
        `Region ${row.regionId} would have ${formatPercent(row.headroomShare)} headroom for service ` +
          `${row.serviceId}, below ${formatPercent(minHeadroomFraction)}: ${formatRate(row.afterRequestsPerS)} with a ` +
          `capacity of ${formatRate(row.capacityRequestsPerS)}.`,
      ),
    );
}

function lostRegionRisks(input: RiskInput): readonly PlanRisk[] {
  return input.shareChanges
    .filter(change => losesRegion(change, input.after))
    .map(change =>
      warning(
        `Callers in ${change.callerRegionId} lose a region of service ${change.serviceId}: ` +
          `${formatPercent(change.movedShare)} of their requests move at once and not at the ramp's rate. ` +
          `To keep the cap, move them with a route intent first.`,
      ),
    );
}

/** Targets are cold when they return from a drain, started recently, or are in a region without load. */
function coldTargetRisks(input: RiskInput): readonly PlanRisk[] {
  const coldTargetIds = new Set(input.live.coldTargetIds);
  return input.headroom.flatMap(row => {
    const takesMoreTraffic =
      row.afterRequestsPerS > row.beforeRequestsPerS + rateToleranceRequestsPerS ||
      row.capacityRequestsPerS < row.baselineCapacityRequestsPerS - rateToleranceRequestsPerS;
    const isUnused = row.beforeRequestsPerS <= rateToleranceRequestsPerS;
    const targets = input.after.usableTargets(row.serviceId, row.regionId);
    const count = targets.filter(
      target =>
        input.before.isDrained(target.siteId) ||
        (takesMoreTraffic && (isUnused || coldTargetIds.has(target.id))),
    ).length;
    if (count === 0) return [];
    return warning(
      `${count} of ${targets.length} targets of service ${row.serviceId} in ${row.regionId} are cold; ` +
        `they answer more slowly at first and take traffic in steps.`,
    );
  });
}

function overlappingMoveRisks(input: RiskInput): readonly PlanRisk[] {
  if (input.shareChanges.length === 0) return [];
  const regionIds = input.before.configuration.catalog.regions.map(region => region.id);
  return input.serviceIds.flatMap(serviceId =>
    regionIds
      .filter(regionId => input.before.isMoving(serviceId, regionId, input.nowMs))
      .map(regionId => {
        const intentId = input.before.routesOf(serviceId, regionId).at(-1)?.intent.id;
        return warning(
          `The move of service ${serviceId} for callers in ${regionId} (intent ${intentId}) is not ` +
            `finished; the two moves overlap.`,
        );
      }),
  );
}

function staleLoadRisks(input: RiskInput): readonly PlanRisk[] {
  const affectedServiceIds = new Set(input.serviceIds);
  return input.live.loads
    .filter(load => affectedServiceIds.has(load.serviceId))
    .filter(load => input.nowMs - load.measuredAtMs > maxLoadAgeMs)
    .map(load => {
      const ageS = Math.round((input.nowMs - load.measuredAtMs) / 1000);
      return warning(
        `The measured load of service ${load.serviceId} in ${load.regionId}, ` +
          `${formatRate(load.requestsPerS)}, is ${ageS} s old.`,
      );
    });
}

function isOverloaded(row: HeadroomForecast): boolean {
  return row.afterRequestsPerS > row.capacityRequestsPerS + rateToleranceRequestsPerS;
}

function warning(text: string): PlanRisk {
  return {severity: 'warning', text};
}

function formatRate(requestsPerS: number): string {
  return `${requestsPerS.toFixed(1)} requests/s`;
}

function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}
