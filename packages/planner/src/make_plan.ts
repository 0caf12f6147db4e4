/** Makes plans: what an intent, or its removal, would change. Making a plan changes nothing. */
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
import {checkRequest} from './check_request';
import {signPlan} from './confirm_plan';
import {headroomFigures} from './plan_headroom';
import type {HeadroomFigures, LiveLoads} from './plan_headroom';
import {losesRegion, planRisks} from './plan_risks';
import {moveDurationS, planSteps} from './plan_steps';
import type {SigningKey} from './sign';
import {movedShare, shareTolerance, TrafficView} from './traffic_view';

interface PlanContext {
  readonly request: PlanRequest;
  readonly nowMs: number;
  readonly before: TrafficView;
  readonly after: TrafficView;
  /** Services whose targets or routes the change concerns. */
  readonly serviceIds: readonly string[];
}

/**
 * Makes a signed plan. Throws ResultError with code invalidIntent when the intent refers to something that
 * does not exist.
 * @param live Loads as measured now; the larger of configured demand and measured load counts.
 * @param nowMs Milliseconds since the Unix epoch.
 */
export function makePlan(
  configuration: Configuration,
  request: PlanRequest,
  live: LiveLoads,
  nowMs: number,
  signingKey: SigningKey,
): Plan {
  checkRequest(configuration.catalog, request);
  const before = new TrafficView(configuration);
  const change = changeFor(before, request, nowMs);
  const after = viewAfter(configuration, change, nowMs);
  const context = {request, nowMs, before, after, serviceIds: concernedServices(before, request)};
  const shareChanges = findShareChanges(context);
  const headroom = headroomFigures({...context, live});
  const ramped = shareChanges.filter(move => !losesRegion(move, after));
  const risks = changesNothing(context, shareChanges)
    ? [nothingChanges(context)]
    : planRisks({...context, shareChanges, headroom, live});
  return signPlan(
    {
      configVersion: configuration.version,
      madeAtMs: nowMs,
      change,
      shareChanges,
      steps: ramped
        .flatMap(move => planSteps(move, after.capOf(move.serviceId, move.callerRegionId)))
        .sort((a, b) => a.afterS - b.afterS),
      expectedDurationS: expectedDurationS(context, ramped),
      headroom: headroom.map(publicFigures),
      risks,
    },
    signingKey,
  );
}

function changeFor(
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

function viewAfter(
  configuration: Configuration,
  body: ConfigurationChangeBody,
  nowMs: number,
): TrafficView {
  const version = configuration.version + 1;
  const change = {version, author: '', acceptedAtMs: nowMs, planDigest: '', body};
  return new TrafficView(applyChange(configuration, change));
}

/** The intent as it is in force before the change, and as it is asked for. */
function concernedIntents({before, request}: Pick<PlanContext, 'before' | 'request'>): {
  readonly replaced: Intent | undefined;
  readonly wanted: Intent | undefined;
} {
  const id = request.action === 'put' ? request.intent.id : request.intentId;
  const replaced = before.configuration.intents.find(entry => entry.intent.id === id)?.intent;
  return {replaced, wanted: request.action === 'put' ? request.intent : undefined};
}

function concernedServices(before: TrafficView, request: PlanRequest): readonly string[] {
  const {replaced, wanted} = concernedIntents({before, request});
  const serviceIds = new Set<string>();
  for (const intent of [replaced, wanted]) {
    if (intent?.kind === 'route') serviceIds.add(intent.serviceId);
    if (intent?.kind !== 'drain' && intent?.kind !== 'stop') continue;
    for (const target of before.configuration.catalog.targets) {
      if (target.siteId === intent.siteId) serviceIds.add(target.serviceId);
    }
  }
  return [...serviceIds].sort();
}

/** Moves that the change causes; a move that is under way anyway is not among them. */
function findShareChanges(context: PlanContext): readonly ShareChange[] {
  const {before, after, nowMs} = context;
  const regionIds = before.configuration.catalog.regions.map(region => region.id);
  const changes: ShareChange[] = [];
  for (const serviceId of context.serviceIds) {
    for (const callerRegionId of regionIds) {
      const unchanged = before.finalShares(serviceId, callerRegionId);
      const wanted = after.finalShares(serviceId, callerRegionId);
      if (movedShare(unchanged, wanted) < shareTolerance) continue;
      const current = before.sharesAt(serviceId, callerRegionId, nowMs);
      const moved = movedShare(current, wanted);
      if (moved < shareTolerance) continue;
      changes.push({serviceId, callerRegionId, before: current, after: wanted, movedShare: moved});
    }
  }
  return changes;
}

/** True when shares, caps and drained sites are the same with and without the change. */
function changesNothing(context: PlanContext, shareChanges: readonly ShareChange[]): boolean {
  if (shareChanges.length > 0) return false;
  const {before, after} = context;
  return Object.values(concernedIntents(context)).every(intent => {
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

function nothingChanges(context: PlanContext): PlanRisk {
  const {request} = context;
  const {replaced, wanted} = concernedIntents(context);
  const intent = wanted ?? replaced;
  return {severity: 'warning', text: `Nothing would change: ${cause()}.`};

  function cause(): string {
    if (intent === undefined) return `no intent "${idOf(request)}" is in force`;
    if (intent.kind === 'route') return 'the same shares and cap are in force already';
    return request.action === 'put'
      ? `site ${intent.siteId} is drained already`
      : `another intent keeps site ${intent.siteId} drained`;
  }
}

function idOf(request: PlanRequest): string {
  return request.action === 'put' ? request.intent.id : request.intentId;
}

/** A drain lasts at most as long as the longest default deadline of a request in flight at the site. */
function expectedDurationS(context: PlanContext, ramped: readonly ShareChange[]): number {
  const {before, after, request, serviceIds} = context;
  const moves = ramped.map(move =>
    moveDurationS(move, after.capOf(move.serviceId, move.callerRegionId)),
  );
  const intent = request.action === 'put' ? request.intent : undefined;
  const drains =
    intent !== undefined && intent.kind !== 'route' && !before.isDrained(intent.siteId);
  const deadlines = before.configuration.catalog.services
    .filter(service => drains && serviceIds.includes(service.id))
    .map(service => service.defaultTimeoutMs / 1000);
  return [...moves, ...deadlines].reduce((longest, next) => Math.max(longest, next), 0);
}

function publicFigures(figures: HeadroomFigures): RegionHeadroom {
  return {
    serviceId: figures.serviceId,
    regionId: figures.regionId,
    capacityRequestsPerS: figures.capacityRequestsPerS,
    beforeRequestsPerS: figures.beforeRequestsPerS,
    afterRequestsPerS: figures.afterRequestsPerS,
    headroomShare: figures.headroomShare,
  };
}
