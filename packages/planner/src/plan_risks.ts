/** The promises that a plan would put at risk, one rule each. */
import type {PlanRisk, ShareChange} from '@cuminsill/types';
import type {HeadroomFigures, LiveLoads} from './plan_headroom';
import {shareOf, shareTolerance} from './traffic_view';
import type {TrafficView} from './traffic_view';

/** Free part of a region's capacity below which a plan warns. */
const lowHeadroomShare = 0.15;

/** Reports older than this are not used for steering (design page, section 4.3). */
const measuredMaxAgeMs = 10_000;

/** Loads that differ by less are equal. */
const rateTolerance = 1e-6;

/** What the rules look at. */
export interface RiskInput {
  readonly before: TrafficView;
  readonly after: TrafficView;
  readonly serviceIds: readonly string[];
  readonly shareChanges: readonly ShareChange[];
  readonly headroom: readonly HeadroomFigures[];
  readonly live: LiveLoads;
  readonly nowMs: number;
}

type RiskRule = (input: RiskInput) => readonly PlanRisk[];

const rules: readonly RiskRule[] = [
  overloadRisks,
  noTargetRisks,
  lowHeadroomRisks,
  failoverRisks,
  coldTargetRisks,
  overlapRisks,
  oldFigureRisks,
];

/** All risks of a change, the blocking ones first. */
export function planRisks(input: RiskInput): readonly PlanRisk[] {
  const risks = rules.flatMap(rule => rule(input));
  const blocking = risks.filter(risk => risk.severity === 'blocking');
  return [...blocking, ...risks.filter(risk => risk.severity === 'warning')];
}

/** True when a share change or a drain takes away the region's last usable target for the service. */
export function losesRegion(change: ShareChange, after: TrafficView): boolean {
  return change.before.some(
    ({regionId, share}) =>
      share > shareOf(change.after, regionId) + shareTolerance &&
      after.usableTargets(change.serviceId, regionId).length === 0,
  );
}

/** An overload that the plan neither causes nor raises does not block it, so that a plan can relieve it. */
function overloadRisks(input: RiskInput): readonly PlanRisk[] {
  return input.headroom.filter(isOverloaded).map(figures => {
    const {serviceId, regionId, afterRequestsPerS: load, capacityRequestsPerS: capacity} = figures;
    const worse =
      load > figures.unchangedRequestsPerS + rateTolerance ||
      capacity < figures.unchangedCapacityRequestsPerS - rateTolerance;
    const text =
      `Region ${regionId} would carry ${rate(load)} of service ${serviceId} with a capacity of ` +
      `${rate(capacity)}; now it carries ${rate(figures.beforeRequestsPerS)}. `;
    if (!worse) {
      return warning(`${text}The change does not raise this. ${remedy(input, figures)}`);
    }
    return {severity: 'blocking', text: `${text}${remedy(input, figures)}`};
  });
}

function remedy(input: RiskInput, figures: HeadroomFigures): string {
  const {serviceId, regionId} = figures;
  const excess = figures.afterRequestsPerS - figures.capacityRequestsPerS;
  const parts = [`add capacity for ${rate(excess)} in ${regionId}`];
  const roomiest = input.headroom
    .filter(row => row.serviceId === serviceId && row.regionId !== regionId)
    .map(row => ({id: row.regionId, free: row.capacityRequestsPerS - row.afterRequestsPerS}))
    .sort((a, b) => b.free - a.free)[0];
  if (roomiest !== undefined && roomiest.free > rateTolerance) {
    const free = `${roomiest.id} would have ${rate(roomiest.free)} free`;
    parts.push(`first move ${rate(excess)} to another region with a route intent (${free})`);
  }
  const drains = drainsThatHold(input.before, serviceId, regionId);
  if (drains.length > 0) parts.push(`end a drain that is in force there (${drains.join(', ')})`);
  return `What would help: ${parts.join('; ')}.`;
}

/** Ids of intents in force that drain targets of the service in the region. */
function drainsThatHold(view: TrafficView, serviceId: string, regionId: string): readonly string[] {
  const sites = new Set(
    view.configuration.catalog.targets
      .filter(target => target.serviceId === serviceId && target.regionId === regionId)
      .map(target => target.siteId),
  );
  return view.configuration.intents
    .filter(({intent}) => intent.kind !== 'route' && sites.has(intent.siteId))
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
        `${usableCount(input.before, id)} targets would remain. What would help: add targets for it at ` +
        `another site, or end another drain first.`,
    }));
}

function usableCount(view: TrafficView, serviceId: string): number {
  return view
    .usableRegionIds(serviceId)
    .reduce((sum, regionId) => sum + view.usableTargets(serviceId, regionId).length, 0);
}

function lowHeadroomRisks(input: RiskInput): readonly PlanRisk[] {
  return input.headroom
    .filter(row => row.capacityRequestsPerS > 0 && !isOverloaded(row))
    .filter(row => row.headroomShare < lowHeadroomShare)
    .map(row =>
      warning(
        `Region ${row.regionId} would have ${percent(row.headroomShare)} headroom for service ` +
          `${row.serviceId}, below ${percent(lowHeadroomShare)}: ${rate(row.afterRequestsPerS)} with a ` +
          `capacity of ${rate(row.capacityRequestsPerS)}.`,
      ),
    );
}

function failoverRisks(input: RiskInput): readonly PlanRisk[] {
  return input.shareChanges
    .filter(change => losesRegion(change, input.after))
    .map(change =>
      warning(
        `Callers in ${change.callerRegionId} lose a region of service ${change.serviceId}: ` +
          `${percent(change.movedShare)} of their requests move at once and not at the ramp's rate. ` +
          `To keep the cap, move them with a route intent first.`,
      ),
    );
}

/** Targets are cold when they return from a drain, when they started lately, and when their region is unused. */
function coldTargetRisks(input: RiskInput): readonly PlanRisk[] {
  const cold = new Set(input.live.coldTargetIds);
  return input.headroom.flatMap(row => {
    const takesMore =
      row.afterRequestsPerS > row.beforeRequestsPerS + rateTolerance ||
      row.capacityRequestsPerS < row.unchangedCapacityRequestsPerS - rateTolerance;
    const unused = row.beforeRequestsPerS <= rateTolerance;
    const targets = input.after.usableTargets(row.serviceId, row.regionId);
    const count = targets.filter(
      target =>
        input.before.isDrained(target.siteId) || (takesMore && (unused || cold.has(target.id))),
    ).length;
    if (count === 0) return [];
    return warning(
      `${count} of ${targets.length} targets of service ${row.serviceId} in ${row.regionId} are cold; ` +
        `they answer more slowly at first and take traffic in steps.`,
    );
  });
}

function overlapRisks(input: RiskInput): readonly PlanRisk[] {
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

function oldFigureRisks(input: RiskInput): readonly PlanRisk[] {
  const concerned = new Set(input.serviceIds);
  return input.live.loads
    .filter(load => concerned.has(load.serviceId))
    .filter(load => input.nowMs - load.measuredAtMs > measuredMaxAgeMs)
    .map(load => {
      const ageS = Math.round((input.nowMs - load.measuredAtMs) / 1000);
      return warning(
        `The measured load of service ${load.serviceId} in ${load.regionId}, ` +
          `${rate(load.requestsPerS)}, is ${ageS} s old.`,
      );
    });
}

function isOverloaded(row: HeadroomFigures): boolean {
  return row.afterRequestsPerS > row.capacityRequestsPerS + rateTolerance;
}

function warning(text: string): PlanRisk {
  return {severity: 'warning', text};
}

function rate(requestsPerS: number): string {
  return `${requestsPerS.toFixed(1)} requests/s`;
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}
