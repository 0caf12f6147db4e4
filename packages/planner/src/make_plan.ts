/** Makes plans, which show what adding or removing an intent would change. Making a plan changes nothing. */
import type {
  Configuration,
  ConfigurationChangeBody,
  Intent,
  Plan,
  PlanRequest,
  PlanRisk,
  RegionHeadroom,
  ShareChange,
} from '@cuminsill/types';
import {applyChange} from './apply_change';
import {checkPlanRequest} from './check_plan_request';
import {signPlan} from './confirm_plan';
import {computeHeadroom} from './plan_headroom';
import type {HeadroomForecast, LiveLoads} from './plan_headroom';
import {losesRegion, planRisks} from './plan_risks';
import {moveDurationS, planSteps} from './plan_steps';
import type {SigningKey} from './sign';
import {movedShare, shareTolerance, TrafficView} from './traffic_view';

interface PlanContext {
  readonly request: PlanRequest;
  readonly nowMs: number;
  readonly before: TrafficView;
  readonly after: TrafficView;
  /** Services whose targets or routes the change affects. */
  readonly serviceIds: readonly string[];
}

/**
 * Makes a signed plan. Throws ResultError with code invalidIntent when the intent is not valid for the catalog.
 * @param live Current measurements; the plan uses the larger of configured demand and measured load.
 * @param nowMs Milliseconds since the Unix epoch.
 */
export function makePlan(
  configuration: Configuration,
  request: PlanRequest,
  live: LiveLoads,
  nowMs: number,
  signingKey: SigningKey,
): Plan {
  checkPlanRequest(configuration.catalog, request);
  const before = new TrafficView(configuration);
  const change = proposeChange(before, request, nowMs);
  const after = viewAfterChange(configuration, change, nowMs);
  const context = {request, nowMs, before, after, serviceIds: affectedServiceIds(before, request)};
  const shareChanges = findShareChanges(context);
  const headroom = computeHeadroom({...context, live});
  const rampedChanges = shareChanges.filter(move => !losesRegion(move, after));
  const risks = hasNoEffect(context, shareChanges)
    ? [noEffectWarning(context)]
    : planRisks({...context, shareChanges, headroom, live});
  return signPlan(
    {
      configVersion: configuration.version,
      madeAtMs: nowMs,
      change,
      shareChanges,
      steps: rampedChanges
        .flatMap(move => planSteps(move, after.capOf(move.serviceId, move.callerRegionId)))
        .sort((a, b) => a.afterS - b.afterS),
      expectedDurationS: expectedDurationS(context, rampedChanges),
      headroom: headroom.map(toRegionHeadroom),
      risks,
    },
    signingKey,
  );
}

function proposeChange(
  before: TrafficView,
  request: PlanRequest,
  nowMs: number,
): ConfigurationChangeBody {
  if (request.action === 'remove') return {kind: 'remove-intent', intentId: request.intentId};
  const {intent} = request;
  const previousShares =
    intent.kind === 'route' ? before.sharesAt(intent.serviceId, intent.callerRegionId, nowMs) : [];
  return {kind: 'put-intent', intent, previousShares};
}

function viewAfterChange(
  configuration: Configuration,
  body: ConfigurationChangeBody,
  nowMs: number,
): TrafficView {
  const version = configuration.version + 1;
  const change = {version, author: '', acceptedAtMs: nowMs, planDigest: '', body};
  return new TrafficView(applyChange(configuration, change));
}

/** The intent in force that the change replaces or removes, and the intent that it puts into force. */
function affectedIntents({before, request}: Pick<PlanContext, 'before' | 'request'>): {
  readonly replaced: Intent | undefined;
  readonly requested: Intent | undefined;
} {
  const id = request.action === 'put' ? request.intent.id : request.intentId;
  const replaced = before.configuration.intents.find(entry => entry.intent.id === id)?.intent;
  return {replaced, requested: request.action === 'put' ? request.intent : undefined};
}

function affectedServiceIds(before: TrafficView, request: PlanRequest): readonly string[] {
  const {replaced, requested} = affectedIntents({before, request});
  const serviceIds = new Set<string>();
  for (const intent of [replaced, requested]) {
    if (intent?.kind === 'route') serviceIds.add(intent.serviceId);
    if (intent?.kind !== 'drain' && intent?.kind !== 'stop') continue;
    for (const target of before.configuration.catalog.targets) {
      if (target.siteId === intent.siteId) serviceIds.add(target.serviceId);
    }
  }
  return [...serviceIds].sort();
}

/** Finds the share changes that the request causes; moves that are already in progress are left out. */
function findShareChanges(context: PlanContext): readonly ShareChange[] {
  const {before, after, nowMs} = context;
  const regionIds = before.configuration.catalog.regions.map(region => region.id);
  const changes: ShareChange[] = [];
  for (const serviceId of context.serviceIds) {
    for (const callerRegionId of regionIds) {
      const finalSharesBefore = before.finalShares(serviceId, callerRegionId);
      const finalSharesAfter = after.finalShares(serviceId, callerRegionId);
      if (movedShare(finalSharesBefore, finalSharesAfter) < shareTolerance) continue;
      const currentShares = before.sharesAt(serviceId, callerRegionId, nowMs);
      const moved = movedShare(currentShares, finalSharesAfter);
      if (moved < shareTolerance) continue;
      changes.push({
        serviceId,
        callerRegionId,
        before: currentShares,
        after: finalSharesAfter,
        movedShare: moved,
      });
    }
  }
  return changes;
}

/** Returns true when shares, caps and drained sites are the same with and without the change. */
function hasNoEffect(context: PlanContext, shareChanges: readonly ShareChange[]): boolean {
  if (shareChanges.length > 0) return false;
  const {before, after} = context;
  return Object.values(affectedIntents(context)).every(intent => {
    if (intent === undefined) return true;
    if (intent.kind !== 'route') {
      return before.isDrained(intent.siteId) === after.isDrained(intent.siteId);
    }
    const {serviceId, callerRegionId} = intent;
    const capBefore = before.capOf(serviceId, callerRegionId);
    const capAfter = after.capOf(serviceId, callerRegionId);
    const sharesBefore = before.finalShares(serviceId, callerRegionId);
    return (
      capBefore.maxMovedShare === capAfter.maxMovedShare &&
      capBefore.windowS === capAfter.windowS &&
      movedShare(sharesBefore, after.finalShares(serviceId, callerRegionId)) < shareTolerance
    );
  });
}

function noEffectWarning(context: PlanContext): PlanRisk {
  const {request} = context;
  const {replaced, requested} = affectedIntents(context);
  const intent = requested ?? replaced;
  return {severity: 'warning', text: `Nothing would change: ${noEffectReason()}.`};

  function noEffectReason(): string {
    if (intent === undefined) return `no intent "${intentIdOf(request)}" is in force`;
    if (intent.kind === 'route') return 'the same shares and cap are in force already';
    return request.action === 'put'
      ? `site ${intent.siteId} is drained already`
      : `another intent keeps site ${intent.siteId} drained`;
  }
}

function intentIdOf(request: PlanRequest): string {
  return request.action === 'put' ? request.intent.id : request.intentId;
}

/** A drain lasts at most as long as the longest default timeout of a request in flight at the site. */
function expectedDurationS(context: PlanContext, rampedChanges: readonly ShareChange[]): number {
  const {before, after, request, serviceIds} = context;
  const moveDurationsS = rampedChanges.map(move =>
    moveDurationS(move, after.capOf(move.serviceId, move.callerRegionId)),
  );
  const intent = request.action === 'put' ? request.intent : undefined;
  const startsDrain =
    intent !== undefined && intent.kind !== 'route' && !before.isDrained(intent.siteId);
  const requestTimeoutsS = before.configuration.catalog.services
    .filter(service => startsDrain && serviceIds.includes(service.id))
    .map(service => service.defaultTimeoutMs / 1000);
  return [...moveDurationsS, ...requestTimeoutsS].reduce(
    (longest, next) => Math.max(longest, next),
    0,
  );
}

function toRegionHeadroom(forecast: HeadroomForecast): RegionHeadroom {
  return {
    serviceId: forecast.serviceId,
    regionId: forecast.regionId,
    capacityRequestsPerS: forecast.capacityRequestsPerS,
    beforeRequestsPerS: forecast.beforeRequestsPerS,
    afterRequestsPerS: forecast.afterRequestsPerS,
    headroomShare: forecast.headroomShare,
  };
}
